package dataagent

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"switchferry/dataset"
	"switchferry/tuning"
)

// Writer writes one chunk to the cache. The caller must close it by Writer.Commit, Writer.Suspend or
// Writer.Discard. It is not safe for concurrent use.
type Writer struct {
	cache *Cache
	chunk dataset.Chunk
	// file is nil if it could not be opened or was closed by finalize.
	file *os.File
	// hasher has received all bytes up to offset.
	hasher dataset.Hasher
	// offset is the number of bytes of the chunk that are written.
	offset int64
}

// OpenWriter opens a writer that starts a chunk or resumes an incomplete one, and reserves space for the whole
// chunk. Only one writer of a chunk may be open at a time. The error is ErrFull if there is not enough space.
func (cache *Cache) OpenWriter(chunk dataset.Chunk) (*Writer, error) {
	if err := cache.reserve(chunk); err != nil {
		return nil, err
	}
	writer := &Writer{cache: cache, chunk: chunk, hasher: dataset.NewHasher()}
	cache.beforeStep("open")
	file, err := os.OpenFile(cache.path(partialDir, chunk.Digest), os.O_RDWR|os.O_CREATE, filePermission)
	if err == nil {
		writer.file = file
		err = writer.resume()
	}
	if err != nil {
		writer.Suspend()
		return nil, diskError(err)
	}
	return writer, nil
}

// reserve marks a chunk as being written and counts its whole size as used, after evicting other chunks if
// necessary. The error is ErrFull if that does not free enough space.
func (cache *Cache) reserve(chunk dataset.Chunk) error {
	cache.mu.Lock()
	if cache.writing[chunk.Digest] {
		cache.mu.Unlock()
		return fmt.Errorf("chunk %v is being written already", chunk.Digest)
	}
	// The chunk is marked as being written before the files are removed, so that it is not evicted.
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

// resume continues after the complete blocks that an earlier writer left in the file, and truncates a
// partial block at the end.
func (writer *Writer) resume() error {
	info, err := writer.file.Stat()
	if err != nil {
		return err
	}
	completeBlocks := min(info.Size(), writer.chunk.Bytes) / tuning.StageBlockBytes * tuning.StageBlockBytes
	if info.Size() != completeBlocks {
		writer.cache.beforeStep("truncate")
		if err := writer.file.Truncate(completeBlocks); err != nil {
			return err
		}
	}
	writer.offset, err = io.CopyN(writer.hasher, writer.file, completeBlocks)
	return err
}

// Offset returns the number of bytes of the chunk that are written. In a new writer it is a multiple of
// tuning.StageBlockBytes.
func (writer *Writer) Offset() int64 { return writer.offset }

// Write appends content to the chunk. Each call should pass one block, or the rest of the chunk. The error
// is ErrCorrupt if content exceeds the size of the chunk, and ErrFull if the disk is full.
func (writer *Writer) Write(content []byte) (int, error) {
	if writer.offset+int64(len(content)) > writer.chunk.Bytes {
		return 0, fmt.Errorf("data exceeds the chunk's %d bytes: %w", writer.chunk.Bytes, ErrCorrupt)
	}
	writer.cache.beforeStep("write")
	size, err := writer.file.Write(content)
	_, _ = writer.hasher.Write(content[:size]) // A hasher returns no error.
	writer.offset += int64(size)
	return size, diskError(err)
}

// Commit checks the digest, makes the chunk a complete one, and closes the writer, also after an error. The
// error is ErrCorrupt if the digest is wrong; the written bytes are then deleted. The error is
// io.ErrUnexpectedEOF if bytes are missing, and ErrFull if the disk is full; the written bytes are then kept.
func (writer *Writer) Commit() error {
	if writer.offset != writer.chunk.Bytes {
		writer.Suspend()
		return fmt.Errorf("%d of %d bytes: %w", writer.offset, writer.chunk.Bytes, io.ErrUnexpectedEOF)
	}
	if writer.hasher.Digest() != writer.chunk.Digest {
		writer.Discard()
		return ErrCorrupt
	}
	if err := writer.finalize(); err != nil {
		writer.Suspend()
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

// finalize syncs and closes the file, and then moves it to the directory of complete chunks.
func (writer *Writer) finalize() error {
	cache := writer.cache
	cache.beforeStep("sync")
	err := writer.file.Sync()
	if closeErr := writer.file.Close(); err == nil {
		err = closeErr
	}
	writer.file = nil
	if err != nil {
		return err
	}
	cache.beforeStep("rename")
	if err := os.Rename(cache.path(partialDir, writer.chunk.Digest), cache.path(chunksDir, writer.chunk.Digest)); err != nil {
		return err
	}
	cache.beforeStep("dirsync")
	// If the directory is not synced, a crash can only undo the rename; the chunk is then received again.
	if directory, err := os.Open(filepath.Join(cache.dir, chunksDir)); err == nil {
		_ = directory.Sync()
		_ = directory.Close()
	}
	return nil
}

// Suspend closes the writer and keeps the written bytes, so that a later writer can resume.
func (writer *Writer) Suspend() {
	size := int64(0)
	if writer.file != nil {
		if info, err := writer.file.Stat(); err == nil {
			size = info.Size()
		}
		_ = writer.file.Close() // The error does not matter, since a later writer checks the digest of all bytes.
	}
	writer.release(size)
}

// Discard closes the writer and deletes the written bytes.
func (writer *Writer) Discard() {
	if writer.file != nil {
		_ = writer.file.Close() // The error does not matter, since the file is deleted.
	}
	removeFile(writer.cache.path(partialDir, writer.chunk.Digest))
	writer.release(0)
}

// release ends the reservation of the chunk's space. size is the number of bytes that remain on disk.
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
