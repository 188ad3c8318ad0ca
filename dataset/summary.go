package dataset

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"switchferry/tuning"
)

// partBytesLimit is the largest size of a part in bytes. It keeps the sum of the sizes of all parts
// within an int64.
const partBytesLimit = math.MaxInt64 / tuning.MaxParts

// Summary describes a dataset and the sizes of its parts without listing its chunks, so that it fits
// into one record whatever the number of chunks.
type Summary struct {
	Name           string `json:"name"`
	ManifestDigest Digest `json:"manifest"`
	Bytes          int64  `json:"bytes"`
	PartCount      int    `json:"parts"`
	// CommonPartBytes is the size in bytes of each part that is not in OtherPartBytes.
	CommonPartBytes int64 `json:"part_bytes"`
	// OtherPartBytes maps the index of each part of another size to its size in bytes.
	OtherPartBytes map[int]int64 `json:"odd,omitempty"`
}

// Summarize returns the summary of a manifest; raw is its encoded form as it was published, from which
// the digest is computed. The error is that of Check, for example if too many parts differ in size.
func Summarize(manifest *Manifest, raw []byte) (Summary, error) {
	summary := Summary{
		Name:           manifest.Name,
		ManifestDigest: Sum(raw),
		Bytes:          manifest.Bytes(),
		PartCount:      manifest.PartCount(),
		OtherPartBytes: map[int]int64{},
	}
	// CommonPartBytes is the most frequent part size, or the smallest of those that are equally frequent.
	count := map[int64]int{}
	for part := range summary.PartCount {
		size := manifest.PartBytes(part)
		count[size]++
		if count[size] > count[summary.CommonPartBytes] || count[size] == count[summary.CommonPartBytes] && size < summary.CommonPartBytes {
			summary.CommonPartBytes = size
		}
	}
	for part := range summary.PartCount {
		if size := manifest.PartBytes(part); size != summary.CommonPartBytes {
			summary.OtherPartBytes[part] = size
		}
	}
	return summary, summary.Check()
}

// Check validates a summary that was received from a client or read from a record. The error lists
// the invalid fields.
func (summary *Summary) Check() error {
	var problems []error
	fail := func(format string, arguments ...any) { problems = append(problems, fmt.Errorf(format, arguments...)) }
	if !ValidName(summary.Name) {
		fail("name: %.80q %s", summary.Name, nameRequirement)
	}
	if summary.PartCount < 1 || summary.PartCount > tuning.MaxParts {
		fail("parts: must be 1 to %d, not %d; put more chunks in a part", tuning.MaxParts, summary.PartCount)
	}
	if summary.CommonPartBytes < 1 || summary.CommonPartBytes > partBytesLimit {
		fail("part_bytes: must be 1 or more, not %d", summary.CommonPartBytes)
	}
	if len(summary.OtherPartBytes) > tuning.MaxOddParts {
		fail("odd: %d parts differ in size from the others, at most %d may; make the parts equal in size", len(summary.OtherPartBytes), tuning.MaxOddParts)
	}
	for part, size := range summary.OtherPartBytes {
		if part < 0 || part >= summary.PartCount || size < 1 || size > partBytesLimit {
			fail("odd: part %d of %d bytes is not possible", part, size)
			break
		}
	}
	// With invalid part sizes the sum would be meaningless and could overflow.
	if len(problems) == 0 {
		sum := summary.CommonPartBytes * int64(summary.PartCount-len(summary.OtherPartBytes))
		for _, size := range summary.OtherPartBytes {
			sum += size
		}
		if sum != summary.Bytes {
			fail("bytes: the parts add up to %d, not %d", sum, summary.Bytes)
		}
	}
	return errors.Join(problems...)
}

// PartBytes returns the size of a part in bytes.
func (summary *Summary) PartBytes(part int) int64 {
	if size, ok := summary.OtherPartBytes[part]; ok {
		return size
	}
	return summary.CommonPartBytes
}

// Equal returns whether both summaries have the same JSON encoding, and so describe the same content.
func (summary *Summary) Equal(other *Summary) bool {
	encoded, err := json.Marshal(summary)
	otherEncoded, otherErr := json.Marshal(other)
	return err == nil && otherErr == nil && bytes.Equal(encoded, otherEncoded)
}
