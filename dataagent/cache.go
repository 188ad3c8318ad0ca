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

// Directories of the cache. chunksDir has a file for each complete chunk, partialDir for each
// incomplete one, and manifestsDir for each manifest, under their digests; inputsDir has the links
// through which tasks read.
const (
	chunksDir    = "chunks"
	partialDir   = "partial"
	manifestsDir = "manifests"
	inputsDir    = "inputs"
)

// Permissions of files and directories in the cache: tasks of other users read them.
const (
	filePermission      = 0o644
	directoryPermission = 0o755
)

var (
	// ErrFull means that the quota or the disk has no room, and nothing may be evicted.
	ErrFull = errors.New("the cache is full of what must be kept")
	// ErrCorrupt means that bytes do not have their digest.
	ErrCorrupt = errors.New("wrong bytes")
)

// Cache keeps chunks on disk under their digests. A file in chunksDir is complete: it gets its name
// only after its digest was checked and its bytes were synced. What a transfer received so far is in
// partialDir. Chunks that are neither pinned nor being written may be evicted, the least recently
// used first, to stay within the quota.
//
// The layout is described in docs/data.md. All methods are safe for concurrent use.
type Cache struct {
	dir string
	// quota is the size that the chunks may have together, in bytes.
	quota int64
	// step is called before each step of a write, so that tests can fail there.
	step func(string)

	// mu guards the fields below.
	mu     sync.Mutex
	chunks map[dataset.Digest]*cachedChunk
	// partials holds the sizes of incomplete chunks, in bytes. That of a chunk being written is its
	// size when complete.
	partials map[dataset.Digest]int64
	// used is the size of complete and incomplete chunks, in bytes.
	used    int64
	pins    map[dataset.Digest]int
	writing map[dataset.Digest]bool
	// evictable holds the complete chunks that are not pinned, the least recently used first.
	evictable *simplelru.LRU[dataset.Digest, struct{}]
	// lostChunks counts the complete chunks that were evicted, removed or damaged.
	lostChunks uint64
}

// cachedChunk is a complete chunk.
type cachedChunk struct {
	bytes int64
	// verified says that the digest was checked in the life of this process.
	verified bool
}

// OpenCache opens the cache in a directory, and creates it if it does not exist. quota is its size
// in bytes, and step may be nil. Incomplete chunks of an earlier process are kept to be continued.
func OpenCache(dir string, quota int64, step func(string)) (*Cache, error) {
	if step == nil {
		step = func(string) {}
	}
	// The list has no limit of its own, since evict keeps the cache within its quota.
	evictable, err := simplelru.NewLRU[dataset.Digest, struct{}](math.MaxInt32, nil)
	if err != nil {
		return nil, fmt.Errorf("cache: %w", err)
	}
	cache := &Cache{
		dir:       dir,
		quota:     quota,
		step:      step,
		chunks:    map[dataset.Digest]*cachedChunk{},
		partials:  map[dataset.Digest]int64{},
		pins:      map[dataset.Digest]int{},
		writing:   map[dataset.Digest]bool{},
		evictable: evictable,
	}
	for _, name := range []string{chunksDir, partialDir, manifestsDir, inputsDir} {
		if err := os.MkdirAll(filepath.Join(dir, name), directoryPermission); err != nil {
			return nil, fmt.Errorf("cache: %w", err)
		}
	}
	return cache, cache.scan()
}

// scan finds the complete and the incomplete chunks on disk.
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

// chunkFile is a file that is named after a digest, and its size in bytes.
type chunkFile struct {
	digest dataset.Digest
	size   int64
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

// removeFile removes a file that the cache does not count any more. If that fails, the next
// OpenCache finds the file and counts it again.
func removeFile(path string) { _ = os.Remove(path) }

// Used returns the size of all chunks, in bytes.
func (cache *Cache) Used() int64 {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.used
}

// LostChunks returns how many complete chunks were evicted, removed or damaged since the cache was
// opened.
func (cache *Cache) LostChunks() uint64 {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.lostChunks
}

// Has returns whether a chunk is complete, with the right size.
func (cache *Cache) Has(chunk dataset.Chunk) bool {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cached := cache.chunks[chunk.Digest]
	return cached != nil && cached.bytes == chunk.Bytes
}

// Pin protects a chunk, which need not be there yet, from eviction. Each Pin needs an Unpin.
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

// evict makes room for the given number of bytes, and returns false if there is too little that may
// be evicted. mu must be held. The caller removes the returned files after it released mu.
func (cache *Cache) evict(need int64) (files []string, ok bool) {
	for digest, size := range cache.partials {
		if cache.used+need <= cache.quota {
			break
		}
		if !cache.writing[digest] && cache.pins[digest] == 0 {
			delete(cache.partials, digest)
			cache.used -= size
			files = append(files, cache.path(partialDir, digest))
		}
	}
	for cache.used+need > cache.quota {
		digest, _, ok := cache.evictable.RemoveOldest()
		if !ok {
			return files, false
		}
		cache.forget(digest)
		files = append(files, cache.path(chunksDir, digest))
	}
	return files, true
}

// forget stops counting a complete chunk, whose file the caller removes. mu must be held.
func (cache *Cache) forget(digest dataset.Digest) {
	cache.used -= cache.chunks[digest].bytes
	delete(cache.chunks, digest)
	cache.evictable.Remove(digest)
	cache.lostChunks++
}

// RemoveChunk removes a chunk, complete or not, unless it is pinned or being written. A file that is
// open stays readable.
func (cache *Cache) RemoveChunk(digest dataset.Digest) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.pins[digest] > 0 || cache.writing[digest] {
		return
	}
	if cache.chunks[digest] != nil {
		cache.forget(digest)
		removeFile(cache.path(chunksDir, digest))
	}
	if size, ok := cache.partials[digest]; ok {
		cache.used -= size
		delete(cache.partials, digest)
		removeFile(cache.path(partialDir, digest))
	}
}

// Verify reads a chunk and checks its digest, once in the life of this process. A damaged chunk is
// removed, also if it is pinned, and the error is ErrCorrupt. The error is fs.ErrNotExist if the
// chunk is not there.
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
		cache.forget(chunk.Digest)
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
	defer func() { _ = file.Close() }() // It was only read.
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

// Open opens a complete chunk for reading, which counts as a use, and returns its size in bytes. The
// file stays readable if the chunk is evicted. The error is fs.ErrNotExist if the chunk is not there.
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

// diskError marks an error of a full disk as ErrFull.
func diskError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}
