package dataagent

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"switchferry/dataset"
	"switchferry/tuning"
)

// Writer brings one chunk into the cache. It must be closed by Commit, Leave or Drop. It is not safe
// for concurrent use.
type Writer struct {
	cache *Cache
	chunk dataset.Chunk
	// file is nil if it could not be opened, or was closed by Commit.
	file   *os.File
	hasher dataset.Hasher
	// offset is how many bytes are written.
	offset int64
}

// Begin starts or continues to write a chunk, and makes room for it. Only one writer of a chunk may
// be open at once. The error is ErrFull if there is no room.
func (cache *Cache) Begin(chunk dataset.Chunk) (*Writer, error) {
	if err := cache.reserve(chunk); err != nil {
		return nil, err
	}
	writer := &Writer{cache: cache, chunk: chunk, hasher: dataset.NewHasher()}
	cache.step("open")
	file, err := os.OpenFile(cache.path(partialDir, chunk.Digest), os.O_RDWR|os.O_CREATE, filePermission)
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

// reserve marks a chunk as being written and counts its whole size, for which it evicts others.
func (cache *Cache) reserve(chunk dataset.Chunk) error {
	cache.mu.Lock()
	if cache.writing[chunk.Digest] {
		cache.mu.Unlock()
		return fmt.Errorf("chunk %v is being written already", chunk.Digest)
	}
	// While the files are removed, the chunk counts as being written, so that nobody evicts it.
	cache.writing[chunk.Digest] = true
	missing := chunk.Bytes - cache.partials[chunk.Digest]
	files, ok := cache.evict(missing)
	if ok {
		cache.used += missing
		cache.partials[chunk.Digest] = chunk.Bytes
	}
	cache.mu.Unlock()
	for _, path := range files {
		removeFile(path)
	}
	if !ok {
		cache.mu.Lock()
		delete(cache.writing, chunk.Digest)
		cache.mu.Unlock()
		return ErrFull
	}
	return nil
}

// resume takes over the whole blocks that an earlier writer left, and cuts off the rest.
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

// At returns how many bytes of the chunk are written. After Begin it is a whole number of blocks.
func (writer *Writer) At() int64 { return writer.offset }

// Write appends bytes, a block or the rest of the chunk at a time. The error is ErrCorrupt if they
// are more than the chunk has, and ErrFull if the disk is full.
func (writer *Writer) Write(content []byte) (int, error) {
	if writer.offset+int64(len(content)) > writer.chunk.Bytes {
		return 0, fmt.Errorf("more than the chunk's %d bytes: %w", writer.chunk.Bytes, ErrCorrupt)
	}
	writer.cache.step("write")
	size, err := writer.file.Write(content)
	_, _ = writer.hasher.Write(content[:size]) // It never fails.
	writer.offset += int64(size)
	return size, diskError(err)
}

// Commit checks the digest and makes the chunk complete. The error is ErrCorrupt if the digest is
// wrong, and what was written is then deleted; it is io.ErrUnexpectedEOF if bytes are missing. The
// writer is closed in any case.
func (writer *Writer) Commit() error {
	if writer.offset != writer.chunk.Bytes {
		writer.Leave()
		return fmt.Errorf("%d of %d bytes: %w", writer.offset, writer.chunk.Bytes, io.ErrUnexpectedEOF)
	}
	if writer.hasher.Digest() != writer.chunk.Digest {
		writer.Drop()
		return ErrCorrupt
	}
	if err := writer.store(); err != nil {
		writer.Leave()
		return diskError(err)
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

// store syncs and closes the file, and then gives it its name as a complete chunk.
func (writer *Writer) store() error {
	cache := writer.cache
	cache.step("sync")
	err := writer.file.Sync()
	if closeErr := writer.file.Close(); err == nil {
		err = closeErr
	}
	writer.file = nil
	if err != nil {
		return err
	}
	cache.step("rename")
	if err := os.Rename(cache.path(partialDir, writer.chunk.Digest), cache.path(chunksDir, writer.chunk.Digest)); err != nil {
		return err
	}
	cache.step("dirsync")
	// If this fails, a crash can only lose the new name, and the chunk is received again.
	if directory, err := os.Open(filepath.Join(cache.dir, chunksDir)); err == nil {
		_ = directory.Sync()
		_ = directory.Close()
	}
	return nil
}

// Leave closes the writer and keeps what is written for a later one.
func (writer *Writer) Leave() {
	size := int64(0)
	if writer.file != nil {
		if info, err := writer.file.Stat(); err == nil {
			size = info.Size()
		}
		_ = writer.file.Close() // A later writer checks the digest of all bytes.
	}
	writer.release(size)
}

// Drop closes the writer and deletes what is written.
func (writer *Writer) Drop() {
	if writer.file != nil {
		_ = writer.file.Close() // Its bytes are not needed.
	}
	removeFile(writer.cache.path(partialDir, writer.chunk.Digest))
	writer.release(0)
}

// release ends the reservation of the chunk, of which size bytes stay on disk.
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
