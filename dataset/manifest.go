package dataset

import (
	"encoding/json"
	"errors"
	"fmt"

	"switchferry/tuning"
)

// Format is the version of the manifest format that this program reads and writes.
const Format = 1

// Chunk is a run of a dataset's bytes.
type Chunk struct {
	Digest Digest `json:"digest"`
	Bytes  int64  `json:"bytes"`
}

// Manifest lists a dataset's chunks in the order of its bytes. Parse and Build return valid ones;
// the methods must not be called on others.
type Manifest struct {
	Format int     `json:"format"`
	Name   string  `json:"name"`
	Chunks []Chunk `json:"chunks"`
	// Parts holds the number of chunks of each part, in order. If it is empty, each chunk is a
	// part. Task k of a job that uses its own part gets part k.
	Parts []int `json:"parts,omitempty"`

	// partStarts holds the index of each part's first chunk, and the number of chunks at its end.
	partStarts []int
	// chunkOffsets holds the index of each chunk's first byte, and the number of bytes at its end.
	chunkOffsets []int64
}

// Parse reads and validates a manifest. The error lists all mistakes, up to a limit, by field.
func Parse(raw []byte) (*Manifest, error) {
	if len(raw) > tuning.ManifestLimit {
		return nil, fmt.Errorf("manifest: %d bytes, at most %d are read; use larger chunks", len(raw), tuning.ManifestLimit)
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

// validate checks the manifest and computes where chunks and parts begin. The error lists all
// mistakes, up to a limit.
func (manifest *Manifest) validate() error {
	var problems problemList
	if manifest.Format != Format {
		problems.addf("manifest: format: must be %d, not %d", Format, manifest.Format)
	}
	if !ValidName(manifest.Name) {
		problems.addf("manifest: name: %.80q %s", manifest.Name, nameRule)
	}
	if len(manifest.Chunks) == 0 {
		problems.addf("manifest: chunks: at least one is needed")
	}
	manifest.indexChunks(&problems)
	manifest.indexParts(&problems)
	return errors.Join(problems...)
}

// indexChunks checks the sizes of the chunks and computes chunkOffsets.
func (manifest *Manifest) indexChunks(problems *problemList) {
	manifest.chunkOffsets = make([]int64, len(manifest.Chunks)+1)
	for i, chunk := range manifest.Chunks {
		if chunk.Bytes <= 0 || chunk.Bytes > tuning.ChunkLimit {
			problems.addf("manifest: chunks[%d].bytes: must be 1 to %d, not %d", i, tuning.ChunkLimit, chunk.Bytes)
			chunk.Bytes = 0
		}
		manifest.chunkOffsets[i+1] = manifest.chunkOffsets[i] + chunk.Bytes
	}
}

// indexParts checks the sizes of the parts and computes partStarts.
func (manifest *Manifest) indexParts(problems *problemList) {
	manifest.partStarts = []int{0}
	if len(manifest.Parts) == 0 {
		for i := range manifest.Chunks {
			manifest.partStarts = append(manifest.partStarts, i+1)
		}
		return
	}
	assigned := 0
	for i, count := range manifest.Parts {
		left := len(manifest.Chunks) - assigned
		if count <= 0 || count > left {
			problems.addf("manifest: parts[%d]: must be 1 to %d, the chunks that are left, not %d", i, left, count)
			return
		}
		assigned += count
		manifest.partStarts = append(manifest.partStarts, assigned)
	}
	if assigned != len(manifest.Chunks) {
		problems.addf("manifest: parts: they make up %d of %d chunks; every chunk must be in a part", assigned, len(manifest.Chunks))
	}
}

// problemList collects mistakes, of which a user is shown a limited number.
type problemList []error

// addf adds a formatted mistake unless the limit is reached.
func (problems *problemList) addf(format string, arguments ...any) {
	if len(*problems) < tuning.MaxReportedErrors {
		*problems = append(*problems, fmt.Errorf(format, arguments...))
	}
}

// Encode returns the manifest's bytes and their digest, by which the dataset is known.
func (manifest *Manifest) Encode() ([]byte, Digest, error) {
	raw, err := json.Marshal(manifest)
	return raw, Sum(raw), err
}

// Bytes returns the size of the dataset in bytes.
func (manifest *Manifest) Bytes() int64 { return manifest.chunkOffsets[len(manifest.Chunks)] }

// PartCount returns the number of parts.
func (manifest *Manifest) PartCount() int { return len(manifest.partStarts) - 1 }

// Part returns the chunks of a part: those from the index from up to, but without, the index to.
// The part must be below PartCount.
func (manifest *Manifest) Part(part int) (from, to int) {
	return manifest.partStarts[part], manifest.partStarts[part+1]
}

// PartBytes returns the size of a part in bytes. The part must be below PartCount.
func (manifest *Manifest) PartBytes(part int) int64 {
	from, to := manifest.Part(part)
	return manifest.chunkOffsets[to] - manifest.chunkOffsets[from]
}

// Offset returns the index of a chunk's first byte in the dataset.
func (manifest *Manifest) Offset(chunk int) int64 { return manifest.chunkOffsets[chunk] }
