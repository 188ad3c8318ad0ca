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
	Name     string `json:"name"`
	Manifest Digest `json:"manifest"`
	Bytes    int64  `json:"bytes"`
	Parts    int    `json:"parts"`
	// Usual is the size in bytes of each part that is not in Odd.
	Usual int64 `json:"part_bytes"`
	// Odd maps the index of each part of another size to its size in bytes.
	Odd map[int]int64 `json:"odd,omitempty"`
}

// Summarize returns the summary of a manifest; raw is its encoded form as it was published, from which
// the digest is computed. The error is that of Check, for example if too many parts differ in size.
func Summarize(manifest *Manifest, raw []byte) (Summary, error) {
	summary := Summary{
		Name:     manifest.Name,
		Manifest: Sum(raw),
		Bytes:    manifest.Bytes(),
		Parts:    manifest.PartCount(),
		Odd:      map[int]int64{},
	}
	// Usual is the most frequent part size, or the smallest of those that are equally frequent.
	count := map[int64]int{}
	for part := range summary.Parts {
		size := manifest.PartBytes(part)
		count[size]++
		if count[size] > count[summary.Usual] || count[size] == count[summary.Usual] && size < summary.Usual {
			summary.Usual = size
		}
	}
	for part := range summary.Parts {
		if size := manifest.PartBytes(part); size != summary.Usual {
			summary.Odd[part] = size
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
	if summary.Parts < 1 || summary.Parts > tuning.MaxParts {
		fail("parts: must be 1 to %d, not %d; put more chunks in a part", tuning.MaxParts, summary.Parts)
	}
	if summary.Usual < 1 || summary.Usual > partBytesLimit {
		fail("part_bytes: must be 1 or more, not %d", summary.Usual)
	}
	if len(summary.Odd) > tuning.MaxOddParts {
		fail("odd: %d parts differ in size from the others, at most %d may; make the parts equal in size", len(summary.Odd), tuning.MaxOddParts)
	}
	for part, size := range summary.Odd {
		if part < 0 || part >= summary.Parts || size < 1 || size > partBytesLimit {
			fail("odd: part %d of %d bytes is not possible", part, size)
			break
		}
	}
	// With invalid part sizes the sum would be meaningless and could overflow.
	if len(problems) == 0 {
		sum := summary.Usual * int64(summary.Parts-len(summary.Odd))
		for _, size := range summary.Odd {
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
	if size, ok := summary.Odd[part]; ok {
		return size
	}
	return summary.Usual
}

// Equal returns whether both summaries have the same JSON encoding, and so describe the same content.
func (summary *Summary) Equal(other *Summary) bool {
	encoded, err := json.Marshal(summary)
	otherEncoded, otherErr := json.Marshal(other)
	return err == nil && otherErr == nil && bytes.Equal(encoded, otherEncoded)
}
