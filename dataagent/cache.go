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

// ErrWrong means: bytes that do not have their digest.
var ErrWrong = errors.New("wrong bytes")

// Cache keeps chunks on disk under their digests. A file in chunks/ is whole: it gets its
// name only after its digest was checked and its bytes were on disk. What a transfer has
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
	chunks  map[dataset.Digest]*chunk
	used    int64 // whole chunks, partial ones, and room promised to writers
	pins    map[dataset.Digest]int
	writing map[dataset.Digest]bool
	// loose are chunks that may go, the least recently used first; partial ones are
	// in parts.
	loose *simplelru.LRU[dataset.Digest, struct{}]
	parts map[dataset.Digest]int64
	// lost counts chunks that were whole and are no longer there.
	lost uint64
}

type chunk struct {
	bytes int64
	// checked: its digest was taken in this process's life.
	checked bool
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
	c := &Cache{dir: dir, quota: quota, step: step, chunks: map[dataset.Digest]*chunk{}, pins: map[dataset.Digest]int{},
		writing: map[dataset.Digest]bool{}, loose: loose, parts: map[dataset.Digest]int64{}}
	for _, d := range []string{"chunks", "partial", "manifests", "inputs"} {
		if err := os.MkdirAll(filepath.Join(dir, d), 0o755); err != nil {
			return nil, fmt.Errorf("cache: %w", err)
		}
	}
	scan := func(sub string, each func(dataset.Digest, int64)) error {
		entries, err := os.ReadDir(filepath.Join(dir, sub))
		if err != nil {
			return fmt.Errorf("cache: %w", err)
		}
		for _, e := range entries {
			d, err := dataset.ParseDigest(e.Name())
			info, ierr := e.Info()
			if err != nil || ierr != nil || !info.Mode().IsRegular() {
				continue
			}
			each(d, info.Size())
		}
		return nil
	}
	err = scan("chunks", func(d dataset.Digest, n int64) {
		c.chunks[d] = &chunk{bytes: n}
		c.used += n
		c.loose.Add(d, struct{}{})
	})
	if err == nil {
		err = scan("partial", func(d dataset.Digest, n int64) {
			if c.chunks[d] != nil {
				_ = os.Remove(c.path("partial", d))
				return
			}
			c.parts[d] = n
			c.used += n
		})
	}
	return c, err
}

func (c *Cache) path(sub string, d dataset.Digest) string {
	return filepath.Join(c.dir, sub, d.String())
}

// Used is what the cache takes, in bytes.
func (c *Cache) Used() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// Lost counts chunks that were whole and went, since the cache was opened.
func (c *Cache) Lost() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// Has tells whether a chunk of this size is there, whole.
func (c *Cache) Has(ch dataset.Chunk) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.chunks[ch.Digest]
	return x != nil && x.bytes == ch.Bytes
}

// Pin keeps a chunk, there or yet to come, from being evicted; each Pin needs an Unpin.
func (c *Cache) Pin(d dataset.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pins[d]++
	c.loose.Remove(d)
}

// Unpin takes one Pin back.
func (c *Cache) Unpin(d dataset.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pins[d]--; c.pins[d] <= 0 {
		delete(c.pins, d)
		if c.chunks[d] != nil {
			c.loose.Add(d, struct{}{})
		}
	}
}

// evict removes what may go until so many bytes more fit; the lock is held. The files
// are removed by the caller, without it.
func (c *Cache) evict(need int64) (gone []string, ok bool) {
	for d, n := range c.parts {
		if c.used+need <= c.quota {
			break
		}
		if !c.writing[d] && c.pins[d] == 0 {
			delete(c.parts, d)
			c.used -= n
			gone = append(gone, c.path("partial", d))
		}
	}
	for c.used+need > c.quota {
		d, _, some := c.loose.RemoveOldest()
		if !some {
			return gone, false
		}
		c.used -= c.chunks[d].bytes
		delete(c.chunks, d)
		c.lost++
		gone = append(gone, c.path("chunks", d))
	}
	return gone, true
}

// Remove removes a chunk, and what a transfer left of it, unless it is pinned or being
// written. An open file stays readable.
func (c *Cache) Remove(d dataset.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pins[d] > 0 || c.writing[d] {
		return
	}
	if x := c.chunks[d]; x != nil {
		c.used -= x.bytes
		delete(c.chunks, d)
		c.lost++
		c.loose.Remove(d)
		_ = os.Remove(c.path("chunks", d))
	}
	if n, ok := c.parts[d]; ok {
		c.used -= n
		delete(c.parts, d)
		_ = os.Remove(c.path("partial", d))
	}
}

// Check reads a chunk and compares its digest, once in a process's life. A chunk that is
// damaged is removed. The error is fs.ErrNotExist where there is none.
func (c *Cache) Check(ch dataset.Chunk) error {
	c.mu.Lock()
	x := c.chunks[ch.Digest]
	if x != nil && x.checked && x.bytes == ch.Bytes {
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	if x == nil {
		return fmt.Errorf("chunk %v: %w", ch.Digest, os.ErrNotExist)
	}
	f, err := os.Open(c.path("chunks", ch.Digest))
	if err == nil {
		h := dataset.NewHasher()
		var n int64
		n, err = io.Copy(h, f)
		_ = f.Close()
		if err == nil && (n != ch.Bytes || h.Digest() != ch.Digest) {
			err = fmt.Errorf("chunk %v on disk: %w", ch.Digest, ErrWrong)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.chunks[ch.Digest]; now != x {
		return fmt.Errorf("chunk %v: %w", ch.Digest, os.ErrNotExist)
	}
	if err != nil {
		c.used -= x.bytes
		delete(c.chunks, ch.Digest)
		c.lost++
		c.loose.Remove(ch.Digest)
		_ = os.Remove(c.path("chunks", ch.Digest))
		return err
	}
	x.checked = true
	return nil
}

// Open opens a whole chunk for reading, and counts that as a use. An open file stays
// readable when the chunk is evicted.
func (c *Cache) Open(d dataset.Digest) (*os.File, int64, error) {
	c.mu.Lock()
	x := c.chunks[d]
	if x != nil {
		c.loose.Get(d)
	}
	c.mu.Unlock()
	if x == nil {
		return nil, 0, os.ErrNotExist
	}
	f, err := os.Open(c.path("chunks", d))
	return f, x.bytes, err
}

// Writer brings one chunk into the cache.
type Writer struct {
	c    *Cache
	want dataset.Chunk
	f    *os.File
	h    dataset.Hasher
	at   int64
}

// Begin starts or goes on with a chunk: At says how many bytes are there already, a whole
// number of blocks. Only one writer a chunk may be open. ErrFull: no room.
func (c *Cache) Begin(want dataset.Chunk) (*Writer, error) {
	c.mu.Lock()
	if c.writing[want.Digest] {
		c.mu.Unlock()
		return nil, fmt.Errorf("chunk %v is being written already", want.Digest)
	}
	c.writing[want.Digest] = true
	has := c.parts[want.Digest]
	gone, ok := c.evict(want.Bytes - has)
	if ok {
		c.used += want.Bytes - has
		c.parts[want.Digest] = want.Bytes
	}
	c.mu.Unlock()
	for _, p := range gone {
		_ = os.Remove(p)
	}
	if !ok {
		c.mu.Lock()
		delete(c.writing, want.Digest)
		c.mu.Unlock()
		return nil, ErrFull
	}
	w := &Writer{c: c, want: want, h: dataset.NewHasher()}
	c.step("open")
	f, err := os.OpenFile(c.path("partial", want.Digest), os.O_RDWR|os.O_CREATE, 0o644)
	if err == nil {
		w.f = f
		err = w.resume()
	}
	if err != nil {
		w.Leave()
		return nil, disk(err)
	}
	return w, nil
}

// resume takes over the blocks that are there.
func (w *Writer) resume() error {
	info, err := w.f.Stat()
	if err != nil {
		return err
	}
	whole := min(info.Size(), w.want.Bytes) / tuning.StageBlock * tuning.StageBlock
	if info.Size() != whole {
		w.c.step("truncate")
		if err := w.f.Truncate(whole); err != nil {
			return err
		}
	}
	w.at, err = io.CopyN(w.h, w.f, whole)
	return err
}

// At is how many bytes are there.
func (w *Writer) At() int64 { return w.at }

// Write adds bytes, a block or the rest of the chunk at a time.
func (w *Writer) Write(p []byte) (int, error) {
	if w.at+int64(len(p)) > w.want.Bytes {
		return 0, fmt.Errorf("more than the chunk's %d bytes: %w", w.want.Bytes, ErrWrong)
	}
	w.c.step("write")
	n, err := w.f.Write(p)
	_, _ = w.h.Write(p[:n])
	w.at += int64(n)
	return n, disk(err)
}

// Commit checks the digest and makes the chunk whole. ErrWrong: what was written is
// thrown away. Either way the writer is closed.
func (w *Writer) Commit() error {
	if w.at != w.want.Bytes {
		w.Leave()
		return fmt.Errorf("%d of %d bytes: %w", w.at, w.want.Bytes, io.ErrUnexpectedEOF)
	}
	if w.h.Digest() != w.want.Digest {
		w.Drop()
		return ErrWrong
	}
	w.c.step("sync")
	err := w.f.Sync()
	if cerr := w.f.Close(); err == nil {
		err = cerr
	}
	w.f = nil
	if err == nil {
		w.c.step("rename")
		err = os.Rename(w.c.path("partial", w.want.Digest), w.c.path("chunks", w.want.Digest))
	}
	if err != nil {
		w.Leave()
		return disk(err)
	}
	w.c.step("dirsync")
	if d, err := os.Open(filepath.Join(w.c.dir, "chunks")); err == nil {
		_ = d.Sync()
		_ = d.Close()
	}
	c := w.c
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.parts, w.want.Digest)
	delete(c.writing, w.want.Digest)
	c.chunks[w.want.Digest] = &chunk{bytes: w.want.Bytes, checked: true}
	if c.pins[w.want.Digest] == 0 {
		c.loose.Add(w.want.Digest, struct{}{})
	}
	return nil
}

// Leave closes the writer and keeps what is there for a later one.
func (w *Writer) Leave() {
	size := int64(0)
	if w.f != nil {
		if info, err := w.f.Stat(); err == nil {
			size = info.Size()
		}
		_ = w.f.Close()
	}
	w.settle(size)
}

// Drop closes the writer and throws away what is there.
func (w *Writer) Drop() {
	if w.f != nil {
		_ = w.f.Close()
	}
	_ = os.Remove(w.c.path("partial", w.want.Digest))
	w.settle(0)
}

func (w *Writer) settle(size int64) {
	c := w.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used += size - c.parts[w.want.Digest]
	if size == 0 {
		delete(c.parts, w.want.Digest)
	} else {
		c.parts[w.want.Digest] = size
	}
	delete(c.writing, w.want.Digest)
}

// disk turns the disk's own "full" into ours.
func disk(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}

// SaveManifest keeps a manifest, under its digest.
func (c *Cache) SaveManifest(d dataset.Digest, raw []byte) error {
	c.step("manifest")
	return renameio.WriteFile(c.path("manifests", d), raw, 0o644)
}

// Manifest reads one that was kept; its digest is checked. The error is fs.ErrNotExist
// where there is none.
func (c *Cache) Manifest(d dataset.Digest) (*dataset.Manifest, []byte, error) {
	raw, err := os.ReadFile(c.path("manifests", d))
	if err != nil {
		return nil, nil, err
	}
	if dataset.Sum(raw) != d {
		_ = os.Remove(c.path("manifests", d))
		return nil, nil, fmt.Errorf("manifest %v on disk: %w", d, os.ErrNotExist)
	}
	m, err := dataset.Parse(raw)
	return m, raw, err
}

// Manifests are the digests of those that were kept.
func (c *Cache) Manifests() (out []dataset.Digest) {
	entries, _ := os.ReadDir(filepath.Join(c.dir, "manifests"))
	for _, e := range entries {
		if d, err := dataset.ParseDigest(e.Name()); err == nil {
			out = append(out, d)
		}
	}
	return out
}

// Forget removes a manifest.
func (c *Cache) Forget(d dataset.Digest) { _ = os.Remove(c.path("manifests", d)) }

// inputs is the folder in which a task finds the chunks of a part, in order.
func (c *Cache) inputs(name string, part int) string {
	return filepath.Join(c.dir, "inputs", name, fmt.Sprintf("part-%06d", part))
}

// Show makes a part's chunks readable under a path of their own, as hard links: a task
// that reads them keeps its bytes whatever is evicted.
func (c *Cache) Show(m *dataset.Manifest, part int) error {
	dir := c.inputs(m.Name, part)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	from, to := m.Part(part)
	for i := from; i < to; i++ {
		c.step("link")
		err := os.Link(c.path("chunks", m.Chunks[i].Digest), filepath.Join(dir, fmt.Sprintf("%06d", i-from)))
		if err != nil && !errors.Is(err, os.ErrExist) {
			return err
		}
	}
	return nil
}

// Hide takes that path away.
func (c *Cache) Hide(name string, part int) {
	_ = os.RemoveAll(c.inputs(name, part))
	_ = os.Remove(filepath.Join(c.dir, "inputs", name))
}

// Shown are the parts that have such a path, by dataset.
func (c *Cache) Shown() map[string][]int {
	out := map[string][]int{}
	dirs, _ := filepath.Glob(filepath.Join(c.dir, "inputs", "*", "part-*"))
	for _, d := range dirs {
		if k, err := strconv.Atoi(strings.TrimPrefix(filepath.Base(d), "part-")); err == nil {
			n := filepath.Base(filepath.Dir(d))
			out[n] = append(out[n], k)
		}
	}
	return out
}
