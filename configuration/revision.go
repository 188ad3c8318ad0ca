package configuration

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/blake3"

	"switchferry/internal/compress"
	"switchferry/tuning"
)

// Format is the version of the storage format that this program writes, and the highest that it can
// read.
const Format = 1

// Keys in the state service.
const (
	// HeadKey is the key of the Head, which identifies the newest revision.
	HeadKey = "sf/config/head"
	// PartPrefix is the prefix of the keys of all parts.
	PartPrefix = "sf/config/r/"
)

// PartKey returns the key of a part of a revision. Parts are numbered from 0.
func PartKey(revision uint64, part int) string {
	return fmt.Sprintf("%s%08d/%d", PartPrefix, revision, part)
}

// ParsePartKey returns the revision to which the key of a part belongs, and false if the key is not one
// of a part.
func ParsePartKey(key string) (uint64, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, PartPrefix), "/")
	number, err := strconv.ParseUint(text, 10, 64)
	return number, ok && err == nil
}

// Revision is a document that was applied, with the operator who applied it and the reason for the change.
type Revision struct {
	Number   uint64 `json:"number"`
	Operator string `json:"by"`
	Reason   string `json:"why"`
	// AtMS is the time of the change by the leader's clock, in milliseconds of Unix time.
	AtMS     int64  `json:"at_ms"`
	Document string `json:"document"`
}

// Head is the value of HeadKey. It identifies the newest revision.
type Head struct {
	Number uint64 `json:"number"`
	// Digest is the digest of the revision's compressed text.
	Digest string `json:"digest"`
}

// Part is one value of a stored revision.
type Part struct {
	// Format is the version of the storage format.
	Format int `json:"format"`
	// PartCount is the total number of parts of the revision.
	PartCount int `json:"of"`
	// Digest is the digest of the concatenated texts of all parts.
	Digest string `json:"digest"`
	// Text is this part's section of the compressed text.
	Text string `json:"text"`
}

// The reasons why a stored revision cannot be used.
var (
	// ErrDamaged reports that the stored revision is incomplete or inconsistent.
	ErrDamaged = errors.New("the stored revision is damaged")
	// ErrNewerFormat reports that the revision was stored by a newer version of the program, in a format
	// that this version does not know.
	ErrNewerFormat = errors.New("the stored revision is of a newer format than this program knows")
)

// Encode returns the stored form of a revision: its head, and parts that each fit into a value of
// valueBytes bytes. It fails if the revision takes more than tuning.MaxConfigurationParts parts.
func Encode(revision *Revision, valueBytes int) (Head, []Part, error) {
	text, err := compress.EncodeSmall(revision)
	if err != nil {
		return Head{}, nil, fmt.Errorf("compressing revision %d: %w", revision.Number, err)
	}
	partBytes := valueBytes - tuning.ConfigurationPartMarginBytes
	if partBytes < 1 {
		return Head{}, nil, fmt.Errorf("values of %d bytes are too small for a revision", valueBytes)
	}
	digest := digestOf(text)
	count := (len(text) + partBytes - 1) / partBytes
	if count > tuning.MaxConfigurationParts {
		return Head{}, nil, fmt.Errorf("the document takes %d values of %d bytes, at most %d are stored; shorten it", count, valueBytes, tuning.MaxConfigurationParts)
	}
	var parts []Part
	for rest := text; rest != ""; {
		length := min(partBytes, len(rest))
		parts = append(parts, Part{Format: Format, PartCount: count, Digest: digest, Text: rest[:length]})
		rest = rest[length:]
	}
	return Head{revision.Number, digest}, parts, nil
}

// Decode is the inverse of Encode. The digest is that of the Head, or empty if it is not known; then the
// parts only need to be consistent with each other. The error wraps ErrDamaged or ErrNewerFormat.
func Decode(number uint64, digest string, parts []Part) (*Revision, error) {
	var text strings.Builder
	for i, part := range parts {
		switch {
		case part.Format > Format:
			return nil, fmt.Errorf("%w: revision %d has format %d, this program knows %d", ErrNewerFormat, number, part.Format, Format)
		case part.PartCount != len(parts) || part.Digest != parts[0].Digest:
			return nil, fmt.Errorf("%w: part %d of revision %d belongs to another revision", ErrDamaged, i, number)
		}
		text.WriteString(part.Text)
	}
	actualDigest := digestOf(text.String())
	if len(parts) == 0 || actualDigest != parts[0].Digest || digest != "" && actualDigest != digest {
		return nil, fmt.Errorf("%w: the digest of revision %d is wrong", ErrDamaged, number)
	}
	var revision Revision
	if err := compress.Decode(text.String(), &revision); err != nil {
		return nil, fmt.Errorf("%w: revision %d: %w", ErrDamaged, number, err)
	}
	if revision.Number != number {
		return nil, fmt.Errorf("%w: revision %d contains the number %d", ErrDamaged, number, revision.Number)
	}
	return &revision, nil
}

// ParsePart parses the stored value of a part. The error wraps ErrDamaged.
func ParsePart(raw json.RawMessage) (Part, error) {
	var part Part
	if err := json.Unmarshal(raw, &part); err != nil || part.PartCount < 1 || part.PartCount > tuning.MaxConfigurationParts {
		return part, fmt.Errorf("%w: a part cannot be read", ErrDamaged)
	}
	return part, nil
}

// ParseHead parses the stored value of the head. The error wraps ErrDamaged.
func ParseHead(raw json.RawMessage) (Head, error) {
	var head Head
	if err := json.Unmarshal(raw, &head); err != nil || head.Number == 0 {
		return head, fmt.Errorf("%w: the head cannot be read", ErrDamaged)
	}
	return head, nil
}

// digestBytes is the length in bytes to which a hash is truncated to form a digest.
const digestBytes = 18

// digestOf returns the base64-encoded digest of a compressed text.
func digestOf(text string) string {
	sum := blake3.Sum256([]byte(text))
	return base64.RawStdEncoding.EncodeToString(sum[:digestBytes])
}
