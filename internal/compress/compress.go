// Package compress encodes values for the state service as text: JSON, compressed with zstd, encoded as base64. It does
// not interpret the values. Encoders are shared and have a small window, since a controller has little memory.
package compress

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"

	"switchferry/tuning"
)

// windowBytes is the window size of the encoders in bytes; it bounds their memory.
const windowBytes = 64 << 10

// lazyEncoder returns a function that creates an encoder of the given level on its first call and returns the same
// encoder on every later call.
func lazyEncoder(level zstd.EncoderLevel) func() (*zstd.Encoder, error) {
	return sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(level), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowBytes))
	})
}

var fastEncoder, smallEncoder = lazyEncoder(zstd.SpeedFastest), lazyEncoder(zstd.SpeedDefault)

// EncodeFast encodes a value at the fastest compression level, for values that are written often. It is safe for
// concurrent use.
func EncodeFast(value any) (string, error) { return encode(value, fastEncoder) }

// EncodeSmall encodes a value at a higher compression level, for values that are written rarely. It is safe for
// concurrent use.
func EncodeSmall(value any) (string, error) { return encode(value, smallEncoder) }

func encode(value any, encoder func() (*zstd.Encoder, error)) (string, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return "", fmt.Errorf("encoding a compressed value: %w", err)
	}
	zstdEncoder, err := encoder()
	if err != nil {
		return "", fmt.Errorf("creating a zstd encoder: %w", err)
	}
	return base64.RawStdEncoding.EncodeToString(zstdEncoder.EncodeAll(raw, nil)), nil
}

// Decode decodes text from EncodeFast or EncodeSmall into value, a pointer. The decoder uses at most
// tuning.MaxDecompressedBytes bytes of memory, whatever the text.
func Decode(text string, value any) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("decoding a compressed value: %w", err)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(tuning.MaxDecompressedBytes))
	if err != nil {
		return fmt.Errorf("creating a zstd decoder: %w", err)
	}
	defer decoder.Close()
	if raw, err = decoder.DecodeAll(raw, nil); err != nil {
		return fmt.Errorf("decoding a compressed value: %w", err)
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("decoding a compressed value: %w", err)
	}
	return nil
}
