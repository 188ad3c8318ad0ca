package dataset

import (
	"encoding/json"
	"errors"
	"fmt"

	"switchferry/tuning"
)

// Format is the only version of the manifest format that is read and written.
const Format = 1

// Chunk describes a contiguous range of a dataset's bytes. Bytes is its size.
type Chunk struct {
	Digest Digest `json:"digest"`
	Bytes  int64  `json:"bytes"`
}

// Manifest lists the chunks of a dataset in the order of their bytes. Its methods may be called only
// on manifests returned by Parse or Build, which are valid.
type Manifest struct {
	Format int     `json:"format"`
	Name   string  `json:"name"`
	Chunks []Chunk `json:"chunks"`
	// ChunksPerPart holds the number of chunks in each part, in order. If it is empty, each chunk is a
	// part. In a job whose tasks each use their own part, task k gets part k.
	ChunksPerPart []int `json:"parts,omitempty"`

	// partStarts holds the index of the first chunk of each part, followed by the number of chunks.
	partStarts []int
	// chunkOffsets holds the offset in bytes of each chunk, followed by the size of the dataset.
	chunkOffsets []int64
}

// Parse decodes and validates a manifest. The error of an invalid manifest names each invalid field,
// up to tuning.MaxReportedErrors of them.
func Parse(raw []byte) (*Manifest, error) {
	if len(raw) > tuning.MaxManifestBytes {
		return nil, fmt.Errorf("manifest: %d bytes, at most %d are read; use larger chunks", len(raw), tuning.MaxManifestBytes)
	}
	var manifest Manifest
	if err := json.Unmarshal(raw, &manifest); err != nil {
		return nil, fmt.Errorf("manifest: %w", err)
	}
	if err := manifest.validate(); err != nil {
		return nil, err
	}
	return &manifest, nil
}

// validate checks the manifest and computes partStarts and chunkOffsets. The error names each invalid
// field, up to tuning.MaxReportedErrors of them.
func (manifest *Manifest) validate() error {
	var problems problemList
	if manifest.Format != Format {
		problems.addf("manifest: format: must be %d, not %d", Format, manifest.Format)
	}
	if !ValidName(manifest.Name) {
		problems.addf("manifest: name: %.80q %s", manifest.Name, nameRequirement)
	}
	if len(manifest.Chunks) == 0 {
		problems.addf("manifest: chunks: at least one is needed")
	}
	manifest.indexChunks(&problems)
	manifest.indexParts(&problems)
	return errors.Join(problems...)
}

// indexChunks validates the sizes of the chunks and computes chunkOffsets.
func (manifest *Manifest) indexChunks(problems *problemList) {
	manifest.chunkOffsets = make([]int64, len(manifest.Chunks)+1)
	for i, chunk := range manifest.Chunks {
		if chunk.Bytes <= 0 || chunk.Bytes > tuning.MaxChunkBytes {
			problems.addf("manifest: chunks[%d].bytes: must be 1 to %d, not %d", i, tuning.MaxChunkBytes, chunk.Bytes)
			chunk.Bytes = 0
		}
		manifest.chunkOffsets[i+1] = manifest.chunkOffsets[i] + chunk.Bytes
	}
}

// indexParts validates the sizes of the parts and computes partStarts.
func (manifest *Manifest) indexParts(problems *problemList) {
	manifest.partStarts = []int{0}
	if len(manifest.ChunksPerPart) == 0 {
		for i := range manifest.Chunks {
			manifest.partStarts = append(manifest.partStarts, i+1)
		}
		return
	}
	assigned := 0
	for i, count := range manifest.ChunksPerPart {
		remaining := len(manifest.Chunks) - assigned
		if count <= 0 || count > remaining {
			problems.addf("manifest: parts[%d]: must be 1 to %d, the number of remaining chunks, not %d", i, remaining, count)
			return
		}
		assigned += count
		manifest.partStarts = append(manifest.partStarts, assigned)
	}
	if assigned != len(manifest.Chunks) {
		problems.addf("manifest: parts: cover %d of %d chunks; every chunk must be in a part", assigned, len(manifest.Chunks))
	}
}

// problemList collects at most tuning.MaxReportedErrors validation errors.
type problemList []error

// addf adds a formatted error unless the list is full.
func (problems *problemList) addf(format string, arguments ...any) {
	if len(*problems) < tuning.MaxReportedErrors {
		*problems = append(*problems, fmt.Errorf(format, arguments...))
	}
}

// Encode returns the encoded manifest and its digest, which identifies the content of the dataset.
func (manifest *Manifest) Encode() ([]byte, Digest, error) {
	raw, err := json.Marshal(manifest)
	return raw, Sum(raw), err
}

// Bytes returns the size of the dataset in bytes.
func (manifest *Manifest) Bytes() int64 { return manifest.chunkOffsets[len(manifest.Chunks)] }

// PartCount returns the number of parts.
func (manifest *Manifest) PartCount() int { return len(manifest.partStarts) - 1 }

// PartChunks returns the range of a part's chunks: start is the index of the first chunk, end the
// index after the last one. PartChunks panics unless part is at least 0 and less than PartCount.
func (manifest *Manifest) PartChunks(part int) (start, end int) {
	return manifest.partStarts[part], manifest.partStarts[part+1]
}

// PartBytes returns the size of a part in bytes. It panics unless part is at least 0 and less than
// PartCount.
func (manifest *Manifest) PartBytes(part int) int64 {
	from, to := manifest.PartChunks(part)
	return manifest.chunkOffsets[to] - manifest.chunkOffsets[from]
}

// ChunkOffset returns the offset in bytes of a chunk in the dataset.
func (manifest *Manifest) ChunkOffset(chunk int) int64 { return manifest.chunkOffsets[chunk] }
