package dataagent

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/dataset"
)

// Directories of the cache. Files in the first three are named after digests.
const (
	// chunksDir contains the complete chunks.
	chunksDir = "chunks"
	// partialDir contains the incomplete chunks.
	partialDir = "partial"
	// manifestsDir contains the manifests.
	manifestsDir = "manifests"
	// inputsDir contains the hard links through which tasks read chunks.
	inputsDir = "inputs"
)

const (
	// filePermission lets tasks of other users read the files of the cache.
	filePermission = 0o644
	// directoryPermission lets tasks of other users list the directories of the cache.
	directoryPermission = 0o755
)

var (
	// ErrFull means that the quota is used up by chunks that may not be evicted, or that the disk is
	// full.
	ErrFull = errors.New("the cache is full of what must be kept")
	// ErrCorrupt means that data does not match the chunk or manifest that it was received or stored
	// as.
	ErrCorrupt = errors.New("wrong bytes")
)

// Cache stores chunks on disk under their digests. A file in chunksDir is always complete: it is moved
// there only after its digest was checked and its content was synced. The chunks that transfers have
// received in part are in partialDir. To stay within the quota, chunks that are neither pinned nor
// being written are evicted: incomplete ones first, then complete ones, the least recently used first.
//
// The layout is described in docs/data.md. All methods are safe for concurrent use.
type Cache struct {
	dir string
	// quota is the maximum total size of the chunks, in bytes.
	quota int64
	// beforeStep is called with the name of each step of a write before the step is executed, so that tests
	// can inject a crash there.
	beforeStep func(string)

	// mu guards the fields below.
	mu     sync.Mutex
	chunks map[dataset.Digest]*cachedChunk
	// partials holds the sizes of incomplete chunks, in bytes. A chunk that is being written counts
	// with its complete size.
	partials map[dataset.Digest]int64
	// used is the total of the sizes in chunks and partials, in bytes.
	used int64
	// pins holds the number of pins of each pinned chunk.
	pins map[dataset.Digest]int
	// writing is the set of chunks that have an open Writer.
	writing map[dataset.Digest]bool
	// evictable holds the complete chunks that are not pinned, in order of their last use.
	evictable *simplelru.LRU[dataset.Digest, struct{}]
	// lostChunks counts the complete chunks that were evicted, removed or found corrupt.
	lostChunks uint64
}

// cachedChunk is a complete chunk.
type cachedChunk struct {
	bytes int64
	// verified is true if this process has checked the digest.
	verified bool
}

// OpenCache opens the cache in a directory, and creates it if it does not exist. quota is the maximum
// total size of the chunks in bytes. beforeStep is called before each step of a write, and may be nil.
// Incomplete chunks of an earlier process are kept, so that their transfers can be resumed.
func OpenCache(dir string, quota int64, beforeStep func(string)) (*Cache, error) {
	if beforeStep == nil {
		beforeStep = func(string) {}
	}
	// The list needs no size limit, since evict keeps the cache within its quota.
	evictable, err := simplelru.NewLRU[dataset.Digest, struct{}](math.MaxInt32, nil)
	if err != nil {
		return nil, fmt.Errorf("cache: %w", err)
	}
	cache := &Cache{
		dir:        dir,
		quota:      quota,
		beforeStep: beforeStep,
		chunks:     map[dataset.Digest]*cachedChunk{},
		partials:   map[dataset.Digest]int64{},
		pins:       map[dataset.Digest]int{},
		writing:    map[dataset.Digest]bool{},
		evictable:  evictable,
	}
	for _, name := range []string{chunksDir, partialDir, manifestsDir, inputsDir} {
		if err := os.MkdirAll(filepath.Join(dir, name), directoryPermission); err != nil {
			return nil, fmt.Errorf("cache: %w", err)
		}
	}
	return cache, cache.scan()
}

// scan registers the complete and incomplete chunks on disk. It removes the incomplete file of a chunk
// that is also complete.
func (cache *Cache) scan() error {
	complete, err := cache.readDirectory(chunksDir)
	if err != nil {
		return err
	}
	for _, file := range complete {
		cache.chunks[file.digest] = &cachedChunk{bytes: file.size}
		cache.used += file.size
		cache.evictable.Add(file.digest, struct{}{})
	}
	partial, err := cache.readDirectory(partialDir)
	if err != nil {
		return err
	}
	for _, file := range partial {
		if cache.chunks[file.digest] != nil {
			removeFile(cache.path(partialDir, file.digest))
			continue
		}
		cache.partials[file.digest] = file.size
		cache.used += file.size
	}
	return nil
}

// chunkFile describes a file in the cache that is named after a digest.
type chunkFile struct {
	digest dataset.Digest
	// size is in bytes.
	size int64
}

// readDirectory returns the regular files in a directory that are named after a digest, sorted by
// name.
func (cache *Cache) readDirectory(directory string) ([]chunkFile, error) {
	entries, err := os.ReadDir(filepath.Join(cache.dir, directory))
	if err != nil {
		return nil, fmt.Errorf("cache: %w", err)
	}
	var files []chunkFile
	for _, entry := range entries {
		digest, err := dataset.ParseDigest(entry.Name())
		if err != nil {
			continue
		}
		info, err := entry.Info()
		if err != nil || !info.Mode().IsRegular() {
			continue
		}
		files = append(files, chunkFile{digest, info.Size()})
	}
	return files, nil
}

// path returns the path of a file that is named after a digest.
func (cache *Cache) path(directory string, digest dataset.Digest) string {
	return filepath.Join(cache.dir, directory, digest.String())
}

// removeFile removes a file that the cache no longer counts. Its error is ignored, since the next
// OpenCache finds a file that could not be removed and counts it again.
func removeFile(path string) { _ = os.Remove(path) }

// Used returns the total size of complete and incomplete chunks, in bytes. A chunk that is being
// written counts with its complete size.
func (cache *Cache) Used() int64 {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.used
}

// LostChunks returns how many complete chunks were evicted, removed or found corrupt since the cache
// was opened.
func (cache *Cache) LostChunks() uint64 {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.lostChunks
}

// Has reports whether the cache has the complete chunk, with the size that the manifest states.
func (cache *Cache) Has(chunk dataset.Chunk) bool {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cached := cache.chunks[chunk.Digest]
	return cached != nil && cached.bytes == chunk.Bytes
}

// Pin protects a chunk, which need not be in the cache yet, from eviction. Pins are counted: each Pin
// must be reverted by one Unpin.
func (cache *Cache) Pin(digest dataset.Digest) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.pins[digest]++
	cache.evictable.Remove(digest)
}

// Unpin reverts one Pin.
func (cache *Cache) Unpin(digest dataset.Digest) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.pins[digest]--
	if cache.pins[digest] > 0 {
		return
	}
	delete(cache.pins, digest)
	if cache.chunks[digest] != nil {
		cache.evictable.Add(digest, struct{}{})
	}
}

// evict evicts chunks until neededBytes more bytes fit into the quota. ok is false if they do not fit even
// after all evictable chunks are evicted. mu must be held. The caller must remove the returned files
// after it has released mu, also if ok is false.
func (cache *Cache) evict(neededBytes int64) (files []string, ok bool) {
	for digest, size := range cache.partials {
		if cache.used+neededBytes <= cache.quota {
			break
		}
		if !cache.writing[digest] && cache.pins[digest] == 0 {
			delete(cache.partials, digest)
			cache.used -= size
			files = append(files, cache.path(partialDir, digest))
		}
	}
	for cache.used+neededBytes > cache.quota {
		digest, _, ok := cache.evictable.RemoveOldest()
		if !ok {
			return files, false
		}
		cache.untrack(digest)
		files = append(files, cache.path(chunksDir, digest))
	}
	return files, true
}

// untrack removes a complete chunk from the cache's records; the caller must remove its file. mu must be
// held.
func (cache *Cache) untrack(digest dataset.Digest) {
	cache.used -= cache.chunks[digest].bytes
	delete(cache.chunks, digest)
	cache.evictable.Remove(digest)
	cache.lostChunks++
}

// RemoveChunk removes a complete or incomplete chunk, unless it is pinned or being written. A file that
// is open for reading stays readable.
func (cache *Cache) RemoveChunk(digest dataset.Digest) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.pins[digest] > 0 || cache.writing[digest] {
		return
	}
	if cache.chunks[digest] != nil {
		cache.untrack(digest)
		removeFile(cache.path(chunksDir, digest))
	}
	if size, ok := cache.partials[digest]; ok {
		cache.used -= size
		delete(cache.partials, digest)
		removeFile(cache.path(partialDir, digest))
	}
}

// Verify checks the size and the digest of a complete chunk on disk. If this process has already
// verified the chunk, its file is not read again. A corrupt or unreadable chunk is removed, even if it is
// pinned. The error is ErrCorrupt if the chunk is corrupt, and fs.ErrNotExist if the cache does not have
// it.
func (cache *Cache) Verify(chunk dataset.Chunk) error {
	cache.mu.Lock()
	cached := cache.chunks[chunk.Digest]
	verified := cached != nil && cached.verified && cached.bytes == chunk.Bytes
	cache.mu.Unlock()
	if verified {
		return nil
	}
	if cached == nil {
		return fmt.Errorf("chunk %v: %w", chunk.Digest, os.ErrNotExist)
	}
	path := cache.path(chunksDir, chunk.Digest)
	err := verifyFile(path, chunk)
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.chunks[chunk.Digest] != cached {
		return fmt.Errorf("chunk %v: %w", chunk.Digest, os.ErrNotExist)
	}
	if err != nil {
		cache.untrack(chunk.Digest)
		removeFile(path)
		return err
	}
	cached.verified = true
	return nil
}

// verifyFile checks the size and the digest of a chunk's file.
func verifyFile(path string, chunk dataset.Chunk) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // The file was only read, so the error does not matter.
	hasher := dataset.NewHasher()
	size, err := io.Copy(hasher, file)
	if err != nil {
		return fmt.Errorf("chunk %v on disk: %w", chunk.Digest, err)
	}
	if size != chunk.Bytes || hasher.Digest() != chunk.Digest {
		return fmt.Errorf("chunk %v on disk: %w", chunk.Digest, ErrCorrupt)
	}
	return nil
}

// Open opens a complete chunk for reading, returns its size in bytes, and marks it as the most recently
// used one. The caller must close the file, which stays readable if the chunk is evicted. The error is
// fs.ErrNotExist if the cache does not have the complete chunk.
func (cache *Cache) Open(digest dataset.Digest) (*os.File, int64, error) {
	cache.mu.Lock()
	cached := cache.chunks[digest]
	if cached != nil {
		cache.evictable.Get(digest)
	}
	cache.mu.Unlock()
	if cached == nil {
		return nil, 0, fmt.Errorf("chunk %v: %w", digest, os.ErrNotExist)
	}
	file, err := os.Open(cache.path(chunksDir, digest))
	return file, cached.bytes, err
}

// diskError wraps an error that was caused by a full disk or disk quota in ErrFull, and returns other
// errors unchanged.
func diskError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}
