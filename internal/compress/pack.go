// Package compress packs values of the state service: JSON, zstd, base64. It knows nothing of what
// they hold. Encoders are made once, with a small window, as the memory of a controller is small.
package compress

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"

	"switchferry/tuning"
)

func encoder(level zstd.EncoderLevel) func() (*zstd.Encoder, error) {
	return sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(level), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(64<<10))
	})
}

var fastest, smaller = encoder(zstd.SpeedFastest), encoder(zstd.SpeedDefault)

// EncodeFast is the text of a value that is packed often.
func EncodeFast(v any) (string, error) { return text(v, fastest) }

// EncodeSmall is the text of a value that is packed now and then, and should take little room.
func EncodeSmall(v any) (string, error) { return text(v, smaller) }

func text(v any, encoder func() (*zstd.Encoder, error)) (string, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	z, err := encoder()
	if err != nil {
		return "", err
	}
	return base64.RawStdEncoding.EncodeToString(z.EncodeAll(raw, nil)), nil
}

// Decode is the reverse of both. It takes bounded memory, whatever the text.
func Decode(text string, v any) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("packed value: %w", err)
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(tuning.PackMemory))
	if err != nil {
		return err
	}
	defer z.Close()
	if raw, err = z.DecodeAll(raw, nil); err != nil {
		return fmt.Errorf("packed value: %w", err)
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("packed value: %w", err)
	}
	return nil
}
