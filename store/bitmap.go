package store

import (
	"encoding/base64"
	"fmt"
)

// TaskBitmap is the set of the completed tasks of a job, one bit per task.
type TaskBitmap []byte

// NewTaskBitmap returns an empty bitmap for a job with the given number of tasks.
func NewTaskBitmap(tasks int) TaskBitmap { return make(TaskBitmap, (tasks+7)/8) }

// Has reports whether a task is in the set.
func (b TaskBitmap) Has(task int) bool { return b[task/8]&(1<<(task%8)) != 0 }

// Set adds a task to the set.
func (b TaskBitmap) Set(task int) { b[task/8] |= 1 << (task % 8) }

// Pack encodes the part of the bitmap that belongs to a shard in base64, without trailing zero bytes.
func (b TaskBitmap) Pack(s Shard) string {
	from := min(len(b), s.Index*s.Size/8)
	to := min(len(b), from+s.Size/8)
	packed := b[from:to]
	for len(packed) > 0 && packed[len(packed)-1] == 0 {
		packed = packed[:len(packed)-1]
	}
	return base64.RawStdEncoding.EncodeToString(packed)
}

// Unpack adds the tasks of a shard that Pack encoded to the set. It returns an error if packed is not valid base64 or
// exceeds the bitmap.
func (b TaskBitmap) Unpack(s Shard, packed string) error {
	decoded, err := base64.RawStdEncoding.DecodeString(packed)
	if err != nil {
		return fmt.Errorf("bitmap of shard %d of %d tasks each: %w", s.Index, s.Size, err)
	}
	from := s.Index * s.Size / 8
	if from+len(decoded) > len(b) {
		return fmt.Errorf("shard %d of %d tasks each is longer than its job", s.Index, s.Size)
	}
	for i, bits := range decoded {
		b[from+i] |= bits
	}
	return nil
}
