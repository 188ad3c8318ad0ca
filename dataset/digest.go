package dataset

import (
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// Digest is the 32-byte BLAKE3 digest of the bytes of a chunk or a manifest. Its text form is 64
// hexadecimal digits.
type Digest [32]byte

// Sum returns the BLAKE3 digest of content.
func Sum(content []byte) Digest { return blake3.Sum256(content) }

// ParseDigest parses the text form of a digest.
func ParseDigest(text string) (digest Digest, err error) {
	if len(text) != hex.EncodedLen(len(digest)) {
		return digest, fmt.Errorf("digest %.80q: must be %d hexadecimal digits", text, hex.EncodedLen(len(digest)))
	}
	if _, err = hex.Decode(digest[:], []byte(text)); err != nil {
		return digest, fmt.Errorf("digest %q: %w", text, err)
	}
	return digest, nil
}

// String returns the text form of the digest.
func (digest Digest) String() string { return hex.EncodeToString(digest[:]) }

// MarshalText returns the text form of the digest. The error is always nil.
func (digest Digest) MarshalText() ([]byte, error) { return []byte(digest.String()), nil }

// UnmarshalText parses the text form of a digest.
func (digest *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	*digest = parsed
	return err
}

// Hasher computes the digest of content that is written in several pieces. The zero value is not
// usable; use NewHasher.
type Hasher struct{ hasher *blake3.Hasher }

// NewHasher returns a Hasher to which nothing has been written.
func NewHasher() Hasher { return Hasher{blake3.New()} }

// Write appends content to the hashed content. The error is always nil.
func (h Hasher) Write(content []byte) (int, error) { return h.hasher.Write(content) }

// Digest returns the digest of the content written so far.
func (h Hasher) Digest() (digest Digest) {
	h.hasher.Sum(digest[:0])
	return digest
}
