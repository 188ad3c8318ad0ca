package dataset

import (
	"fmt"
	"io"

	"switchferry/tuning"
)

// Build splits the content of a reader into chunks of chunkBytes bytes and groups every chunksPerPart
// chunks into a part. The last chunk and the last part may be smaller. If storeChunk is not nil, it
// is called with each chunk and must not retain the bytes. Build stops at the first error of the
// reader or of storeChunk and returns it wrapped.
func Build(name string, reader io.Reader, chunkBytes, chunksPerPart int, storeChunk func(Chunk, []byte) error) (*Manifest, error) {
	if chunkBytes < 1 || chunkBytes > tuning.MaxChunkBytes {
		return nil, fmt.Errorf("chunk size: must be 1 to %d bytes, not %d", tuning.MaxChunkBytes, chunkBytes)
	}
	if chunksPerPart < 1 {
		return nil, fmt.Errorf("chunks per part: must be 1 or more, not %d", chunksPerPart)
	}
	chunks, err := splitChunks(reader, chunkBytes, storeChunk)
	if err != nil {
		return nil, err
	}
	manifest := &Manifest{Format: Format, Name: name, Chunks: chunks}
	if chunksPerPart > 1 {
		for remaining := len(chunks); remaining > 0; remaining -= chunksPerPart {
			manifest.ChunksPerPart = append(manifest.ChunksPerPart, min(remaining, chunksPerPart))
		}
	}
	return manifest, manifest.validate()
}

// splitChunks reads the reader to its end and returns the chunks of its content.
func splitChunks(reader io.Reader, chunkBytes int, storeChunk func(Chunk, []byte) error) ([]Chunk, error) {
	var chunks []Chunk
	buffer := make([]byte, chunkBytes)
	for {
		size, readErr := io.ReadFull(reader, buffer)
		if size > 0 {
			chunk := Chunk{Digest: Sum(buffer[:size]), Bytes: int64(size)}
			if storeChunk != nil {
				if err := storeChunk(chunk, buffer[:size]); err != nil {
					return nil, fmt.Errorf("store chunk %d: %w", len(chunks), err)
				}
			}
			chunks = append(chunks, chunk)
		}
		if readErr == io.EOF || readErr == io.ErrUnexpectedEOF {
			return chunks, nil
		}
		if readErr != nil {
			return nil, fmt.Errorf("read chunk %d: %w", len(chunks), readErr)
		}
	}
}
