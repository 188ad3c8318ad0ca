// Package compress encodes values for the state service as text: JSON, compressed with zstd, in base64. It does not know
// what the values mean. Encoders are made once and have a small window, since the memory of a controller is small.
package compress

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"

	"switchferry/tuning"
)

// windowBytes is the window of the encoders, which bounds their memory.
const windowBytes = 64 << 10

// lazyEncoder returns a function that makes an encoder of a level with the first call, and returns the same one afterwards.
func lazyEncoder(level zstd.EncoderLevel) func() (*zstd.Encoder, error) {
	return sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(level), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowBytes))
	})
}

var fastEncoder, smallEncoder = lazyEncoder(zstd.SpeedFastest), lazyEncoder(zstd.SpeedDefault)

// EncodeFast encodes a value that is written often: fast rather than small. It is safe for concurrent use.
func EncodeFast(value any) (string, error) { return encode(value, fastEncoder) }

// EncodeSmall encodes a value that is written rarely: small rather than fast. It is safe for concurrent use.
func EncodeSmall(value any) (string, error) { return encode(value, smallEncoder) }

func encode(value any, encoder func() (*zstd.Encoder, error)) (string, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return "", fmt.Errorf("encoding a compressed value: %w", err)
	}
	zstdEncoder, err := encoder()
	if err != nil {
		return "", fmt.Errorf("making a zstd encoder: %w", err)
	}
	return base64.RawStdEncoding.EncodeToString(zstdEncoder.EncodeAll(raw, nil)), nil
}

// Decode decodes a text of either function into value, a pointer. Its memory is bounded by tuning.PackMemory, whatever
// the text.
func Decode(text string, value any) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("packed value: %w", err)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(tuning.PackMemory))
	if err != nil {
		return fmt.Errorf("making a zstd decoder: %w", err)
	}
	defer decoder.Close()
	if raw, err = decoder.DecodeAll(raw, nil); err != nil {
		return fmt.Errorf("packed value: %w", err)
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("packed value: %w", err)
	}
	return nil
}
