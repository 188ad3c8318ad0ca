// Package dataagent is the agent beside a worker: it copies parts of datasets to its machine,
// keeps them on disk, and serves them to peers. It knows what it was ordered to keep, not
// which jobs want it or where else they might run.
package dataagent

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/google/renameio/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/dataset"
	"switchferry/tuning"
)

// ErrFull means: the quota or the disk has no room, and nothing that might go.
var ErrFull = errors.New("the cache is full of what must be kept")

// ErrCorrupt means: bytes that do not have their digest.
var ErrCorrupt = errors.New("wrong bytes")

// Cache keeps chunks on disk under their digests. A file in chunks/ is whole: it gets its
// datasetName only after its digest was checked and its bytes were on disk. What a transfer has
// so far stands in partial/. Whatever is neither pinned nor being written may go, the
// least recently used first, to stay within the quota.
//
// The layout is described in docs/data.md. Methods may be called from anywhere.
type Cache struct {
	dir   string
	quota int64
	// step is called before each step of a write, so that tests can die there.
	step func(string)

	mu      sync.Mutex
	chunks  map[dataset.Digest]*cachedChunk
	used    int64 // verified chunks, partial ones, and room promised to writers
	pins    map[dataset.Digest]int
	writing map[dataset.Digest]bool
	// evictable are chunks that may go, the least recently used first; partial ones are
	// in parts.
	evictable *simplelru.LRU[dataset.Digest, struct{}]
	partials  map[dataset.Digest]int64
	// lostChunks counts chunks that were whole and are no longer there.
	lostChunks uint64
}

type cachedChunk struct {
	bytes int64
	// verified: its digest was taken in this process's life.
	verified bool
}

// OpenCache opens or makes a cache of at most quota bytes. What an earlier process left
// half done goes on from where it stopped, or is removed.
func OpenCache(dir string, quota int64, step func(string)) (*Cache, error) {
	if step == nil {
		step = func(string) {}
	}
	loose, err := simplelru.NewLRU[dataset.Digest, struct{}](1<<31-1, nil)
	if err != nil {
		return nil, err
	}
	cache := &Cache{dir: dir, quota: quota, step: step, chunks: map[dataset.Digest]*cachedChunk{}, pins: map[dataset.Digest]int{},
		writing: map[dataset.Digest]bool{}, evictable: loose, partials: map[dataset.Digest]int64{}}
	for _, name := range []string{"chunks", "partial", "manifests", "inputs"} {
		if err := os.MkdirAll(filepath.Join(dir, name), 0o755); err != nil {
			return nil, fmt.Errorf("cache: %w", err)
		}
	}
	scan := func(sub string, each func(dataset.Digest, int64)) error {
		entries, err := os.ReadDir(filepath.Join(dir, sub))
		if err != nil {
			return fmt.Errorf("cache: %w", err)
		}
		for _, e := range entries {
			digest, err := dataset.ParseDigest(e.Name())
			info, ierr := e.Info()
			if err != nil || ierr != nil || !info.Mode().IsRegular() {
				continue
			}
			each(digest, info.Size())
		}
		return nil
	}
	err = scan("chunks", func(digest dataset.Digest, n int64) {
		cache.chunks[digest] = &cachedChunk{bytes: n}
		cache.used += n
		cache.evictable.Add(digest, struct{}{})
	})
	if err == nil {
		err = scan("partial", func(digest dataset.Digest, n int64) {
			if cache.chunks[digest] != nil {
				_ = os.Remove(cache.path("partial", digest))
				return
			}
			cache.partials[digest] = n
			cache.used += n
		})
	}
	return cache, err
}

func (cache *Cache) path(sub string, digest dataset.Digest) string {
	return filepath.Join(cache.dir, sub, digest.String())
}

// Used is what the cache takes, in bytes.
func (cache *Cache) Used() int64 {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.used
}

// LostChunks counts chunks that were whole and went, since the cache was opened.
func (cache *Cache) LostChunks() uint64 {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.lostChunks
}

// Has tells whether a chunk of this size is there, whole.
func (cache *Cache) Has(chunk dataset.Chunk) bool {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cached := cache.chunks[chunk.Digest]
	return cached != nil && cached.bytes == chunk.Bytes
}

// Pin keeps a chunk, there or yet to come, from being evicted; each Pin needs an Unpin.
func (cache *Cache) Pin(digest dataset.Digest) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.pins[digest]++
	cache.evictable.Remove(digest)
}

// Unpin takes one Pin back.
func (cache *Cache) Unpin(digest dataset.Digest) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.pins[digest]--; cache.pins[digest] <= 0 {
		delete(cache.pins, digest)
		if cache.chunks[digest] != nil {
			cache.evictable.Add(digest, struct{}{})
		}
	}
}

// evict removes what may go until so many bytes more fit; the lock is held. The files
// are removed by the caller, without it.
func (cache *Cache) evict(need int64) (gone []string, ok bool) {
	for digest, n := range cache.partials {
		if cache.used+need <= cache.quota {
			break
		}
		if !cache.writing[digest] && cache.pins[digest] == 0 {
			delete(cache.partials, digest)
			cache.used -= n
			gone = append(gone, cache.path("partial", digest))
		}
	}
	for cache.used+need > cache.quota {
		digest, _, some := cache.evictable.RemoveOldest()
		if !some {
			return gone, false
		}
		cache.used -= cache.chunks[digest].bytes
		delete(cache.chunks, digest)
		cache.lostChunks++
		gone = append(gone, cache.path("chunks", digest))
	}
	return gone, true
}

// RemoveChunk removes a chunk, and what a transfer left of it, unless it is pinned or being
// written. An open file stays readable.
func (cache *Cache) RemoveChunk(digest dataset.Digest) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.pins[digest] > 0 || cache.writing[digest] {
		return
	}
	if cached := cache.chunks[digest]; cached != nil {
		cache.used -= cached.bytes
		delete(cache.chunks, digest)
		cache.lostChunks++
		cache.evictable.Remove(digest)
		_ = os.Remove(cache.path("chunks", digest))
	}
	if n, ok := cache.partials[digest]; ok {
		cache.used -= n
		delete(cache.partials, digest)
		_ = os.Remove(cache.path("partial", digest))
	}
}

// Verify reads a chunk and compares its digest, once in a process's life. A chunk that is
// damaged is removed. The error is fs.ErrNotExist where there is none.
func (cache *Cache) Verify(chunk dataset.Chunk) error {
	cache.mu.Lock()
	cached := cache.chunks[chunk.Digest]
	if cached != nil && cached.verified && cached.bytes == chunk.Bytes {
		cache.mu.Unlock()
		return nil
	}
	cache.mu.Unlock()
	if cached == nil {
		return fmt.Errorf("chunk %v: %w", chunk.Digest, os.ErrNotExist)
	}
	file, err := os.Open(cache.path("chunks", chunk.Digest))
	if err == nil {
		hasher := dataset.NewHasher()
		var n int64
		n, err = io.Copy(hasher, file)
		_ = file.Close()
		if err == nil && (n != chunk.Bytes || hasher.Digest() != chunk.Digest) {
			err = fmt.Errorf("chunk %v on disk: %w", chunk.Digest, ErrCorrupt)
		}
	}
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if now := cache.chunks[chunk.Digest]; now != cached {
		return fmt.Errorf("chunk %v: %w", chunk.Digest, os.ErrNotExist)
	}
	if err != nil {
		cache.used -= cached.bytes
		delete(cache.chunks, chunk.Digest)
		cache.lostChunks++
		cache.evictable.Remove(chunk.Digest)
		_ = os.Remove(cache.path("chunks", chunk.Digest))
		return err
	}
	cached.verified = true
	return nil
}

// Open opens a whole chunk for reading, and counts that as a use. An open file stays
// readable when the chunk is evicted.
func (cache *Cache) Open(digest dataset.Digest) (*os.File, int64, error) {
	cache.mu.Lock()
	cached := cache.chunks[digest]
	if cached != nil {
		cache.evictable.Get(digest)
	}
	cache.mu.Unlock()
	if cached == nil {
		return nil, 0, os.ErrNotExist
	}
	file, err := os.Open(cache.path("chunks", digest))
	return file, cached.bytes, err
}

// Writer brings one chunk into the cache.
type Writer struct {
	cache  *Cache
	chunk  dataset.Chunk
	file   *os.File
	hasher dataset.Hasher
	offset int64
}

// Begin starts or goes on with a chunk: At says how many bytes are there already, a whole
// number of blocks. Only one writer a chunk may be open. ErrFull: no room.
func (cache *Cache) Begin(want dataset.Chunk) (*Writer, error) {
	cache.mu.Lock()
	if cache.writing[want.Digest] {
		cache.mu.Unlock()
		return nil, fmt.Errorf("chunk %v is being written already", want.Digest)
	}
	cache.writing[want.Digest] = true
	has := cache.partials[want.Digest]
	gone, ok := cache.evict(want.Bytes - has)
	if ok {
		cache.used += want.Bytes - has
		cache.partials[want.Digest] = want.Bytes
	}
	cache.mu.Unlock()
	for _, p := range gone {
		_ = os.Remove(p)
	}
	if !ok {
		cache.mu.Lock()
		delete(cache.writing, want.Digest)
		cache.mu.Unlock()
		return nil, ErrFull
	}
	writer := &Writer{cache: cache, chunk: want, hasher: dataset.NewHasher()}
	cache.step("open")
	file, err := os.OpenFile(cache.path("partial", want.Digest), os.O_RDWR|os.O_CREATE, 0o644)
	if err == nil {
		writer.file = file
		err = writer.resume()
	}
	if err != nil {
		writer.Leave()
		return nil, diskError(err)
	}
	return writer, nil
}

// resume takes over the blocks that are there.
func (writer *Writer) resume() error {
	info, err := writer.file.Stat()
	if err != nil {
		return err
	}
	whole := min(info.Size(), writer.chunk.Bytes) / tuning.StageBlock * tuning.StageBlock
	if info.Size() != whole {
		writer.cache.step("truncate")
		if err := writer.file.Truncate(whole); err != nil {
			return err
		}
	}
	writer.offset, err = io.CopyN(writer.hasher, writer.file, whole)
	return err
}

// At is how many bytes are there.
func (writer *Writer) At() int64 { return writer.offset }

// Write adds bytes, a block or the rest of the chunk at a time.
func (writer *Writer) Write(p []byte) (int, error) {
	if writer.offset+int64(len(p)) > writer.chunk.Bytes {
		return 0, fmt.Errorf("more than the chunk's %d bytes: %w", writer.chunk.Bytes, ErrCorrupt)
	}
	writer.cache.step("write")
	size, err := writer.file.Write(p)
	_, _ = writer.hasher.Write(p[:size])
	writer.offset += int64(size)
	return size, diskError(err)
}

// Commit checks the digest and makes the chunk whole. ErrCorrupt: what was written is
// thrown away. Either way the writer is closed.
func (writer *Writer) Commit() error {
	if writer.offset != writer.chunk.Bytes {
		writer.Leave()
		return fmt.Errorf("%d of %d bytes: %w", writer.offset, writer.chunk.Bytes, io.ErrUnexpectedEOF)
	}
	if writer.hasher.Digest() != writer.chunk.Digest {
		writer.Drop()
		return ErrCorrupt
	}
	writer.cache.step("sync")
	err := writer.file.Sync()
	if cerr := writer.file.Close(); err == nil {
		err = cerr
	}
	writer.file = nil
	if err == nil {
		writer.cache.step("rename")
		err = os.Rename(writer.cache.path("partial", writer.chunk.Digest), writer.cache.path("chunks", writer.chunk.Digest))
	}
	if err != nil {
		writer.Leave()
		return diskError(err)
	}
	writer.cache.step("dirsync")
	if d, err := os.Open(filepath.Join(writer.cache.dir, "chunks")); err == nil {
		_ = d.Sync()
		_ = d.Close()
	}
	cache := writer.cache
	cache.mu.Lock()
	defer cache.mu.Unlock()
	delete(cache.partials, writer.chunk.Digest)
	delete(cache.writing, writer.chunk.Digest)
	cache.chunks[writer.chunk.Digest] = &cachedChunk{bytes: writer.chunk.Bytes, verified: true}
	if cache.pins[writer.chunk.Digest] == 0 {
		cache.evictable.Add(writer.chunk.Digest, struct{}{})
	}
	return nil
}

// Leave closes the writer and keeps what is there for a later one.
func (writer *Writer) Leave() {
	size := int64(0)
	if writer.file != nil {
		if info, err := writer.file.Stat(); err == nil {
			size = info.Size()
		}
		_ = writer.file.Close()
	}
	writer.release(size)
}

// Drop closes the writer and throws away what is there.
func (writer *Writer) Drop() {
	if writer.file != nil {
		_ = writer.file.Close()
	}
	_ = os.Remove(writer.cache.path("partial", writer.chunk.Digest))
	writer.release(0)
}

func (writer *Writer) release(size int64) {
	cache := writer.cache
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.used += size - cache.partials[writer.chunk.Digest]
	if size == 0 {
		delete(cache.partials, writer.chunk.Digest)
	} else {
		cache.partials[writer.chunk.Digest] = size
	}
	delete(cache.writing, writer.chunk.Digest)
}

// diskError turns the disk's own "full" into ours.
func diskError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}

// SaveManifest keeps a manifest, under its digest.
func (cache *Cache) SaveManifest(digest dataset.Digest, raw []byte) error {
	cache.step("manifest")
	return renameio.WriteFile(cache.path("manifests", digest), raw, 0o644)
}

// Manifest reads one that was kept; its digest is checked. The error is fs.ErrNotExist
// where there is none.
func (cache *Cache) Manifest(digest dataset.Digest) (*dataset.Manifest, []byte, error) {
	raw, err := os.ReadFile(cache.path("manifests", digest))
	if err != nil {
		return nil, nil, err
	}
	if dataset.Sum(raw) != digest {
		_ = os.Remove(cache.path("manifests", digest))
		return nil, nil, fmt.Errorf("manifest %v on disk: %w", digest, os.ErrNotExist)
	}
	manifest, err := dataset.Parse(raw)
	return manifest, raw, err
}

// Manifests are the digests of those that were kept.
func (cache *Cache) Manifests() (out []dataset.Digest) {
	entries, _ := os.ReadDir(filepath.Join(cache.dir, "manifests"))
	for _, e := range entries {
		if digest, err := dataset.ParseDigest(e.Name()); err == nil {
			out = append(out, digest)
		}
	}
	return out
}

// RemoveManifest removes a manifest.
func (cache *Cache) RemoveManifest(digest dataset.Digest) {
	_ = os.Remove(cache.path("manifests", digest))
}

// inputsDir is the folder in which a task finds the chunks of a part, in order.
func (cache *Cache) inputsDir(name string, part int) string {
	return filepath.Join(cache.dir, "inputs", name, fmt.Sprintf("part-%06d", part))
}

// LinkInputs makes a part's chunks readable under a path of their own, as hard links: a task
// that reads them keeps its bytes whatever is evicted.
func (cache *Cache) LinkInputs(manifest *dataset.Manifest, part int) error {
	dir := cache.inputsDir(manifest.Name, part)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	from, to := manifest.Part(part)
	for i := from; i < to; i++ {
		cache.step("link")
		err := os.Link(cache.path("chunks", manifest.Chunks[i].Digest), filepath.Join(dir, fmt.Sprintf("%06d", i-from)))
		if err != nil && !errors.Is(err, os.ErrExist) {
			return err
		}
	}
	return nil
}

// UnlinkInputs takes that path away.
func (cache *Cache) UnlinkInputs(name string, part int) {
	_ = os.RemoveAll(cache.inputsDir(name, part))
	_ = os.Remove(filepath.Join(cache.dir, "inputs", name))
}

// LinkedInputs are the parts that have such a path, by dataset.
func (cache *Cache) LinkedInputs() map[string][]int {
	out := map[string][]int{}
	dirs, _ := filepath.Glob(filepath.Join(cache.dir, "inputs", "*", "part-*"))
	for _, name := range dirs {
		if part, err := strconv.Atoi(strings.TrimPrefix(filepath.Base(name), "part-")); err == nil {
			n := filepath.Base(filepath.Dir(name))
			out[n] = append(out[n], part)
		}
	}
	return out
}
