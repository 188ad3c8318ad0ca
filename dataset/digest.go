package dataset

import (
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// Digest is the BLAKE3 digest, 32 bytes, of a chunk's or a manifest's bytes. Its text form is 64
// hexadecimal digits.
type Digest [32]byte

// Sum returns the digest of content.
func Sum(content []byte) Digest { return blake3.Sum256(content) }

// ParseDigest reads a digest's text form.
func ParseDigest(text string) (digest Digest, err error) {
	if len(text) != hex.EncodedLen(len(digest)) {
		return digest, fmt.Errorf("digest %.80q: must be %d hexadecimal digits", text, hex.EncodedLen(len(digest)))
	}
	if _, err = hex.Decode(digest[:], []byte(text)); err != nil {
		return digest, fmt.Errorf("digest %q: %w", text, err)
	}
	return digest, nil
}

// String returns the text form.
func (digest Digest) String() string { return hex.EncodeToString(digest[:]) }

// MarshalText returns the text form.
func (digest Digest) MarshalText() ([]byte, error) { return []byte(digest.String()), nil }

// UnmarshalText reads the text form.
func (digest *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	*digest = parsed
	return err
}

// Hasher computes the digest of content that is written piece by piece. NewHasher returns one; the
// zero value is not usable.
type Hasher struct{ hasher *blake3.Hasher }

// NewHasher returns a hasher of no content.
func NewHasher() Hasher { return Hasher{blake3.New()} }

// Write adds content. It never fails.
func (h Hasher) Write(content []byte) (int, error) { return h.hasher.Write(content) }

// Digest returns the digest of the content written so far.
func (h Hasher) Digest() (digest Digest) {
	h.hasher.Sum(digest[:0])
	return digest
}
