package dataagent

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/google/renameio/v2"

	"switchferry/dataset"
)

// partPrefix is the prefix of the names of the directories with the input links of one part.
const partPrefix = "part-"

// SaveManifest atomically stores the bytes of a manifest under its digest.
func (cache *Cache) SaveManifest(digest dataset.Digest, raw []byte) error {
	cache.beforeStep("manifest")
	return renameio.WriteFile(cache.path(manifestsDir, digest), raw, filePermission)
}

// Manifest returns a stored manifest and its bytes, after checking its digest. A manifest with a wrong
// digest is removed. The error is fs.ErrNotExist if the cache has no manifest with the right digest.
func (cache *Cache) Manifest(digest dataset.Digest) (*dataset.Manifest, []byte, error) {
	path := cache.path(manifestsDir, digest)
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	if dataset.Sum(raw) != digest {
		removeFile(path)
		return nil, nil, fmt.Errorf("manifest %v on disk: %w", digest, os.ErrNotExist)
	}
	manifest, err := dataset.Parse(raw)
	return manifest, raw, err
}

// Manifests returns the digests of the stored manifests.
func (cache *Cache) Manifests() []dataset.Digest {
	// If the directory cannot be read, its manifests are received again.
	entries, _ := os.ReadDir(filepath.Join(cache.dir, manifestsDir))
	var digests []dataset.Digest
	for _, entry := range entries {
		if digest, err := dataset.ParseDigest(entry.Name()); err == nil {
			digests = append(digests, digest)
		}
	}
	return digests
}

// RemoveManifest removes a stored manifest.
func (cache *Cache) RemoveManifest(digest dataset.Digest) {
	removeFile(cache.path(manifestsDir, digest))
}

// partDir returns the directory in which a task finds the chunks of a part, in order.
func (cache *Cache) partDir(datasetName string, part int) string {
	return filepath.Join(cache.dir, inputsDir, datasetName, fmt.Sprintf(partPrefix+"%06d", part))
}

// LinkInputs makes the chunks of a part available to tasks as hard links in the part's directory. The
// links keep the data on disk even if the chunks are evicted. Existing links are kept.
func (cache *Cache) LinkInputs(manifest *dataset.Manifest, part int) error {
	directory := cache.partDir(manifest.Name, part)
	if err := os.MkdirAll(directory, directoryPermission); err != nil {
		return err
	}
	for i, chunk := range partChunks(manifest, part) {
		cache.beforeStep("link")
		err := os.Link(cache.path(chunksDir, chunk.Digest), filepath.Join(directory, fmt.Sprintf("%06d", i)))
		if err != nil && !errors.Is(err, os.ErrExist) {
			return err
		}
	}
	return nil
}

// UnlinkInputs removes the links to a part, and the dataset's directory if that is then empty.
func (cache *Cache) UnlinkInputs(datasetName string, part int) {
	// Links that could not be removed keep their data on disk until the agent is restarted.
	_ = os.RemoveAll(cache.partDir(datasetName, part))
	removeFile(filepath.Join(cache.dir, inputsDir, datasetName))
}

// LinkedInputs returns the numbers of the parts that have a directory of links, by dataset name.
func (cache *Cache) LinkedInputs() map[string][]int {
	linked := map[string][]int{}
	// Glob returns an error only for a malformed pattern.
	directories, _ := filepath.Glob(filepath.Join(cache.dir, inputsDir, "*", partPrefix+"*"))
	for _, directory := range directories {
		part, err := strconv.Atoi(strings.TrimPrefix(filepath.Base(directory), partPrefix))
		if err != nil {
			continue
		}
		name := filepath.Base(filepath.Dir(directory))
		linked[name] = append(linked[name], part)
	}
	return linked
}
