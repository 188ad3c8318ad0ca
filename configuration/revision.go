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

// Format is the version of stored revisions that this program writes and the highest that it reads.
const Format = 1

// Keys of the state service.
const (
	// HeadKey names the newest revision.
	HeadKey = "sf/config/head"
	// PartPrefix holds the parts of revisions, PartKey one of them.
	PartPrefix = "sf/config/r/"
)

// PartKey is the key of one part of a revision.
func PartKey(revision uint64, part int) string {
	return fmt.Sprintf("%s%08d/%d", PartPrefix, revision, part)
}

// ParsePartKey is the revision that a part's key names; false: it is no such key.
func ParsePartKey(key string) (uint64, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, PartPrefix), "/")
	number, err := strconv.ParseUint(text, 10, 64)
	return number, ok && err == nil
}

// Revision is a document that was applied, with who did so and why.
type Revision struct {
	Number uint64 `json:"number"`
	By     string `json:"by"`
	Why    string `json:"why"`
	// AtMS is when it was applied, by the leader's time of day.
	AtMS     int64  `json:"at_ms"`
	Document string `json:"document"`
}

// Head is the value of HeadKey.
type Head struct {
	Number uint64 `json:"number"`
	// Digest is that of the revision's packed text.
	Digest string `json:"digest"`
}

// Part is one value of a revision's text.
type Part struct {
	Format int `json:"format"`
	// Of is how many parts there are.
	Of     int    `json:"of"`
	Digest string `json:"digest"`
	Text   string `json:"text"`
}

// Why a stored revision is not taken.
var (
	ErrDamaged = errors.New("the stored revision is damaged")
	ErrNewer   = errors.New("the stored revision is of a newer format than this program knows")
)

// Encode is a revision as it is stored, in parts of at most so many bytes each.
func Encode(r *Revision, valueBytes int) (Head, []Part, error) {
	text, err := compress.EncodeSmall(r)
	if err != nil {
		return Head{}, nil, err
	}
	partBytes := valueBytes - tuning.ConfigurationPartMargin
	if partBytes < 1 {
		return Head{}, nil, fmt.Errorf("values of %d bytes are too small for a revision", valueBytes)
	}
	digest := digestOf(text)
	count := (len(text) + partBytes - 1) / partBytes
	if count > tuning.ConfigurationPartsMost {
		return Head{}, nil, fmt.Errorf("the document takes %d values of %d bytes, at most %d are stored; shorten it", count, valueBytes, tuning.ConfigurationPartsMost)
	}
	var parts []Part
	for rest := text; rest != ""; {
		n := min(partBytes, len(rest))
		parts = append(parts, Part{Format: Format, Of: count, Digest: digest, Text: rest[:n]})
		rest = rest[n:]
	}
	return Head{r.Number, digest}, parts, nil
}

// Decode is the reverse of Encode; digest is what the revision must have, empty where only the parts tell. The error is
// ErrDamaged or ErrNewer, with the reason.
func Decode(number uint64, digest string, parts []Part) (*Revision, error) {
	var text strings.Builder
	for i, part := range parts {
		switch {
		case part.Format > Format:
			return nil, fmt.Errorf("%w: revision %d has format %d, this program knows %d", ErrNewer, number, part.Format, Format)
		case part.Of != len(parts) || part.Digest != parts[0].Digest:
			return nil, fmt.Errorf("%w: part %d of revision %d belongs to another", ErrDamaged, i, number)
		}
		text.WriteString(part.Text)
	}
	found := digestOf(text.String())
	if len(parts) == 0 || found != parts[0].Digest || digest != "" && found != digest {
		return nil, fmt.Errorf("%w: the digest of revision %d is wrong", ErrDamaged, number)
	}
	var revision Revision
	if err := compress.Decode(text.String(), &revision); err != nil {
		return nil, fmt.Errorf("%w: revision %d: %v", ErrDamaged, number, err)
	}
	if revision.Number != number {
		return nil, fmt.Errorf("%w: revision %d calls itself %d", ErrDamaged, number, revision.Number)
	}
	return &revision, nil
}

// ParsePart reads a stored part.
func ParsePart(raw json.RawMessage) (Part, error) {
	var part Part
	if err := json.Unmarshal(raw, &part); err != nil || part.Of < 1 || part.Of > tuning.ConfigurationPartsMost {
		return part, fmt.Errorf("%w: a part cannot be read", ErrDamaged)
	}
	return part, nil
}

// ParseHead reads the stored head.
func ParseHead(raw json.RawMessage) (Head, error) {
	var head Head
	if err := json.Unmarshal(raw, &head); err != nil || head.Number == 0 {
		return head, fmt.Errorf("%w: the head cannot be read", ErrDamaged)
	}
	return head, nil
}

func digestOf(text string) string {
	sum := blake3.Sum256([]byte(text))
	return base64.RawStdEncoding.EncodeToString(sum[:18])
}
