package dataagent

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/internal/fake"
)

// The cache stays within its quota: pinned parts are kept, the least recently used of the others are evicted,
// and heartbeats list no evicted part.
func TestQuotaEvictsOnlyUnpinnedParts(t *testing.T) {
	fixture := newFixture(t)
	manifest, digest := fixture.store.Add("inv", randomBytes(5, 8000), 1000, 1)
	agent, _ := fixture.startAgent(t.TempDir(), 3500)
	from := []api.StageSource{storeSource}
	orderParts := func(order uint64, parts ...uint32) {
		fixture.apply(agent, newOrder(1, order, "inv", digest, from, parts...))
		eventually(t, "the ordered parts are pinned", func() bool { return pinnedParts(agent, "inv").GetCardinality() == uint64(len(parts)) })
	}
	orderParts(1, 0, 1, 2)
	orderParts(2, 1, 2)
	orderParts(3, 1, 2, 3) // Part 0 is evicted.
	for _, held := range agent.Heartbeat(true).Holdings {
		if held.Parts.Contains(0) || !held.Parts.Contains(3) {
			t.Fatalf("the agent holds the parts %v, want part 3 and not part 0", held.Parts)
		}
	}
	// A part that does not fit is not copied, and the heartbeat reports that the cache is full.
	fixture.apply(agent, newOrder(1, 4, "inv", digest, from, 1, 2, 3, 4))
	eventually(t, "the full cache is reported", func() bool {
		copies := agent.Heartbeat(false).Copies
		return len(copies) == 1 && copies[0].CacheFull
	})
	for part := 1; part <= 3; part++ {
		if err := agent.cache.Verify(manifest.Chunks[part]); err != nil {
			t.Fatal(err)
		}
	}
	if agent.cache.Used() > 3500 {
		t.Fatalf("%d bytes used with a quota of 3500", agent.cache.Used())
	}
	// The part is copied once others may be evicted.
	fixture.apply(agent, newOrder(1, 5, "inv", digest, from, 4))
	fixture.advanceUntil(agent, func() bool { return pinnedParts(agent, "inv").Contains(4) })
}

// After a restart, a part whose chunk was corrupted on disk is reported neither as pinned nor as held.
func TestCorruptChunkOnDiskIsNotReported(t *testing.T) {
	fixture := newFixture(t)
	manifest, digest := fixture.store.Add("inv", randomBytes(6, 3000), 1000, 1)
	dir := t.TempDir()
	agent, _ := fixture.startAgent(dir, 1<<20)
	fixture.apply(agent, newOrder(1, 1, "inv", digest, []api.StageSource{storeSource}, 0, 1))
	eventually(t, "both parts are pinned", func() bool { return pinnedParts(agent, "inv").GetCardinality() == 2 })
	path := filepath.Join(dir, "chunks", manifest.Chunks[0].Digest.String())
	if err := os.WriteFile(path, randomBytes(7, 1000), 0o644); err != nil {
		t.Fatal(err)
	}
	fixture.store.SetFault(fake.Fault{Kind: "503"})
	restarted, _ := fixture.startAgent(dir, 1<<20)
	eventually(t, "the intact part is pinned", func() bool { return pinnedParts(restarted, "inv").Contains(1) })
	eventually(t, "the corrupt chunk is removed", func() bool { return !restarted.cache.Has(manifest.Chunks[0]) })
	if heartbeat := restarted.Heartbeat(true); pinnedParts(restarted, "inv").Contains(0) || len(heartbeat.Holdings) != 1 || heartbeat.Holdings[0].Parts.Contains(0) {
		t.Fatal("a corrupt part is reported as held")
	}
}

// A full disk is reported as a full cache. The part whose write failed is not reported as pinned, the other
// part is.
func TestFullDiskIsReportedAsFullCache(t *testing.T) {
	if _, err := os.Stat("/dev/full"); err != nil {
		t.Skip("this system has no /dev/full")
	}
	fixture := newFixture(t)
	manifest, digest := fixture.store.Add("inv", randomBytes(10, 2000), 1000, 1)
	dir := t.TempDir()
	agent, _ := fixture.startAgent(dir, 1<<20)
	// Writes to the second chunk fail as on a full disk.
	if err := os.Symlink("/dev/full", filepath.Join(dir, "partial", manifest.Chunks[1].Digest.String())); err != nil {
		t.Fatal(err)
	}
	fixture.apply(agent, newOrder(1, 1, "inv", digest, []api.StageSource{storeSource}, 0, 1))
	eventually(t, "the full cache is reported", func() bool {
		copies := agent.Heartbeat(false).Copies
		return len(copies) == 1 && copies[0].Part == 1 && copies[0].CacheFull
	})
	eventually(t, "the other part is pinned", func() bool { return pinnedParts(agent, "inv").Contains(0) })
	if pinnedParts(agent, "inv").Contains(1) || agent.cache.Has(manifest.Chunks[1]) {
		t.Fatal("a part that could not be written is pinned or held")
	}
	if err := os.Remove(filepath.Join(dir, "partial", manifest.Chunks[1].Digest.String())); err != nil {
		t.Fatal(err)
	}
	fixture.advanceUntil(agent, func() bool { return pinnedParts(agent, "inv").Contains(1) })
}

// killAtStep runs an agent that kills its own process before the write step whose number is in
// DATAAGENT_KILL_AT_STEP. It returns an error if the agent could not run, and nil if the agent needed fewer
// steps.
func killAtStep() error {
	stepsBeforeKill, err := strconv.ParseInt(os.Getenv("DATAAGENT_KILL_AT_STEP"), 10, 64)
	if err != nil {
		return err
	}
	digest, err := dataset.ParseDigest(os.Getenv("DATAAGENT_MANIFEST"))
	if err != nil {
		return err
	}
	var remainingSteps atomic.Int64
	remainingSteps.Store(stepsBeforeKill)
	beforeStep := func(name string) {
		fmt.Println(name)
		if remainingSteps.Add(-1) < 0 {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	agent, err := New(ctx, Options{Machine: "n-1", Address: "127.0.0.1:1", Dir: os.Getenv("DATAAGENT_DIR"), CacheBytes: 1 << 30, Store: os.Getenv("DATAAGENT_STORE"), BeforeStep: beforeStep})
	if err != nil {
		return err
	}
	go agent.Run(ctx)
	if _, err := agent.Apply(newOrder(1, 1, "inv", digest, []api.StageSource{storeSource}, 0, 1)); err != nil {
		return err
	}
	for pinnedParts(agent, "inv").GetCardinality() < 2 && ctx.Err() == nil {
		runtime.Gosched()
	}
	return nil
}

// bytesOnDisk returns the total size of the complete and incomplete chunks in a cache directory. Missing
// directories and files count as empty.
func bytesOnDisk(dir string) (size int64) {
	for _, sub := range []string{"chunks", "partial"} {
		files, _ := os.ReadDir(filepath.Join(dir, sub))
		for _, file := range files {
			if info, err := file.Info(); err == nil {
				size += info.Size()
			}
		}
	}
	return size
}

// A real agent process is killed before each step of its writes in turn. After the restart, all parts that the
// agent reports as held are complete, it serves no incomplete chunk, and it receives at most one block of each
// transfer again.
func TestRestartAfterKillAtEachWriteStep(t *testing.T) {
	fixture := newFixture(t)
	data := randomBytes(9, 2*(2*blockSize+500))
	manifest, digest := fixture.store.Add("inv", data, len(data)/2, 1)
	finished := false
	for step := 0; !finished && step < 60; step++ {
		dir := t.TempDir()
		cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^$")
		cmd.Env = append(os.Environ(), "DATAAGENT_KILL_AT_STEP="+strconv.Itoa(step), "DATAAGENT_DIR="+dir, "DATAAGENT_STORE="+fixture.url, "DATAAGENT_MANIFEST="+digest.String())
		output, err := cmd.CombinedOutput()
		finished = err == nil
		if err != nil && !strings.Contains(err.Error(), "killed") {
			t.Fatalf("step %d: the agent process failed: %v %s", step, err, output)
		}
		// The store may have sent more than the process received, so the bytes that it wrote are compared.
		bytesBefore, writtenBlocks := bytesOnDisk(dir), strings.Count(string(output), "write\n")
		// A chunk has two complete blocks and a shorter one. Each of the two transfers may lose its last block.
		if bytesBefore < int64(max(0, writtenBlocks-2))*500 || writtenBlocks >= 5 && bytesBefore < 2*blockSize {
			t.Errorf("step %d: %d blocks were written, but only %d bytes are on disk", step, writtenBlocks, bytesBefore)
		}
		agent, source := fixture.startAgent(dir, 1<<30)
		for _, held := range agent.Heartbeat(true).Holdings {
			for _, part := range held.Parts.ToArray() {
				if err := agent.cache.Verify(manifest.Chunks[part]); err != nil {
					t.Fatalf("step %d: a part that is not intact is reported as held: %v", step, err)
				}
			}
		}
		for i, chunk := range manifest.Chunks {
			status, got := fixture.request(http.MethodGet, "http://"+source.Peer+"/chunk/"+chunk.Digest.String(), nil)
			if status == http.StatusOK && dataset.Sum(got) != chunk.Digest {
				t.Fatalf("step %d: chunk %d is served incomplete", step, i)
			}
		}
		fixture.apply(agent, newOrder(1, 2, "inv", digest, []api.StageSource{storeSource}, 0, 1))
		eventually(t, "both parts are pinned after the restart", func() bool { return pinnedParts(agent, "inv").GetCardinality() == 2 })
		if copiedAgain := agent.Heartbeat(false).BytesFromStore - (int64(len(data)) - bytesBefore); copiedAgain > 2*blockSize+8192 {
			t.Errorf("step %d: two transfers copied %d bytes again, want at most one block of %d bytes each", step, copiedAgain, blockSize)
		}
	}
	if !finished {
		t.Error("the agent did not finish before the last step")
	}
}
