package dataagent

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/tuning"
)

// If the store fails during a transfer, the agent continues from a peer, keeps the blocks that it has
// received, and pins no part with wrong bytes.
func TestTransferFailsOverFromStoreToPeer(t *testing.T) {
	for _, kind := range []string{"reset", "short", "hang", "drip", "503", "wrong"} {
		t.Run(kind, func(t *testing.T) {
			fixture := newFixture(t)
			data := randomBytes(1, 5*blockSize+100)
			manifest, digest := fixture.store.Add("inv", data, len(data), 1)
			peer, peerSource := fixture.startAgent(t.TempDir(), 1<<30)
			fixture.apply(peer, newOrder(1, 1, "inv", digest, []api.StageSource{storeSource}, 0))
			eventually(t, "the part is pinned at the peer", func() bool { return pinnedParts(peer, "inv").Contains(0) })

			fixture.store.SetFault(fake.Fault{Kind: kind, IntactBytes: 2*blockSize + 17})
			dir := t.TempDir()
			agent, _ := fixture.startAgent(dir, 1<<30)
			order := newOrder(1, 1, "inv", digest, []api.StageSource{storeSource, peerSource}, 0)
			if kind == "503" {
				// The store does not serve the manifest either, so it must come from the peer.
				order.Sets[0].Copies[0].Sources = []api.StageSource{peerSource, storeSource}
				order.Sets[0].Copies = append(order.Sets[0].Copies[:0], api.StageCopy{Part: 0, Sources: []api.StageSource{storeSource, peerSource}})
			}
			fixture.apply(agent, order)
			if kind == "hang" || kind == "drip" {
				<-fixture.store.Hanging
				// The third block is never received completely.
				eventually(t, "two blocks are received", func() bool {
					copies := agent.Heartbeat(false).Copies
					return len(copies) == 1 && copies[0].CopiedBytes == 2*blockSize
				})
				fixture.clock.Advance(tuning.StageBlockTimeout + time.Second)
			}
			eventually(t, "the part is pinned", func() bool { return pinnedParts(agent, "inv").Contains(0) })
			if err := agent.cache.Verify(manifest.Chunks[0]); err != nil {
				t.Fatal(err)
			}
			fromPeer := agent.Heartbeat(false).BytesFromPeers
			if kept := int64(len(data)) - fromPeer; kind != "503" && kind != "wrong" && kept < 2*blockSize {
				t.Errorf("the peer served %d of %d bytes, so blocks from the store were discarded", fromPeer, len(data))
			}
			got, err := os.ReadFile(filepath.Join(dir, "inputs", "inv", "part-000000", "000000"))
			if err != nil || !bytes.Equal(got, data) {
				t.Fatalf("the task's input file differs from the dataset: %v", err)
			}
		})
	}
}

// If the store is the only source and fails, the agent retries until the store works again, and resumes the
// transfer after the blocks that it has received.
func TestTransferResumesAfterStoreRecovers(t *testing.T) {
	for _, kind := range []string{"reset", "503", "wrong"} {
		t.Run(kind, func(t *testing.T) {
			fixture := newFixture(t)
			data := randomBytes(2, 6*blockSize)
			manifest, digest := fixture.store.Add("inv", data, 3*blockSize, 1)
			agent, _ := fixture.startAgent(t.TempDir(), 1<<30)
			// The manifest and the first part are received before the store fails.
			fixture.apply(agent, newOrder(1, 1, "inv", digest, []api.StageSource{storeSource}, 0))
			eventually(t, "the first part is pinned", func() bool { return pinnedParts(agent, "inv").Contains(0) })
			fixture.store.SetFault(fake.Fault{Kind: kind, IntactBytes: blockSize})
			fixture.apply(agent, newOrder(1, 2, "inv", digest, []api.StageSource{storeSource}, 0, 1))
			eventually(t, "the failure is reported", func() bool {
				copies := agent.Heartbeat(false).Copies
				return len(copies) == 1 && len(copies[0].Failed) == 1 && copies[0].Failed[0].Corrupt == (kind == "wrong")
			})
			if pinnedParts(agent, "inv").Contains(1) {
				t.Fatal("an incomplete part is pinned")
			}
			before, _ := fixture.store.Served()
			fixture.store.SetFault(fake.Fault{})
			fixture.advanceUntil(agent, func() bool { return pinnedParts(agent, "inv").Contains(1) })
			after, _ := fixture.store.Served()
			if want := int64(2 * blockSize); kind == "reset" && after-before > want {
				t.Errorf("%d bytes were copied again, want at most %d", after-before, want)
			}
			if err := agent.cache.Verify(manifest.Chunks[1]); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Transfers of two datasets with the same content share the download of each chunk. If one transfer is
// cancelled, the other one continues.
func TestConcurrentTransfersShareDownload(t *testing.T) {
	fixture := newFixture(t)
	data := randomBytes(3, 3*blockSize)
	_, first := fixture.store.Add("one", data, len(data), 1)
	_, second := fixture.store.Add("two", data, len(data), 1)
	agent, _ := fixture.startAgent(t.TempDir(), 1<<30)
	fixture.store.SetFault(fake.Fault{Kind: "hang", IntactBytes: blockSize})
	order := newOrder(1, 1, "one", first, []api.StageSource{storeSource}, 0)
	both := *order
	both.Sets = append(both.Sets, newOrder(1, 1, "two", second, []api.StageSource{storeSource}, 0).Sets...)
	fixture.apply(agent, &both)
	<-fixture.store.Hanging
	eventually(t, "both transfers wait for one download", func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		for _, download := range agent.downloads {
			return download.waiters == 2
		}
		return false
	})
	// The next order asks for only one of the datasets, as after the cancellation of a job.
	secondOnly := newOrder(1, 2, "two", second, []api.StageSource{storeSource}, 0)
	fixture.apply(agent, secondOnly)
	eventually(t, "only one transfer waits for the download", func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		for _, download := range agent.downloads {
			return download.waiters == 1
		}
		return false
	})
	if _, requests := fixture.store.Served(); requests != 1 {
		t.Fatalf("the chunk was requested %d times, want 1", requests)
	}
	fixture.store.SetFault(fake.Fault{})
	fixture.clock.Advance(tuning.StageBlockTimeout + time.Second)
	fixture.advanceUntil(agent, func() bool { return pinnedParts(agent, "two").Contains(0) })
	if got := agent.Heartbeat(false).BytesFromStore; got > 4*blockSize+4096 {
		t.Errorf("%d bytes received for a chunk of %d", got, 3*blockSize)
	}
}

// A peer sends text compressed and random bytes uncompressed. The received part is verified in both cases.
func TestPeersCompressOnlyCompressibleChunks(t *testing.T) {
	for kind, data := range map[string][]byte{"text": bytes.Repeat([]byte("item,player,purchase\n"), 40000), "random bytes": randomBytes(8, 800000)} {
		t.Run(kind, func(t *testing.T) {
			fixture := newFixture(t)
			_, digest := fixture.store.Add("inv", data, len(data), 1)
			holder, source := fixture.startAgent(t.TempDir(), 1<<30)
			fixture.apply(holder, newOrder(1, 1, "inv", digest, []api.StageSource{storeSource}, 0))
			eventually(t, "the part comes from the store", func() bool { return pinnedParts(holder, "inv").Contains(0) })
			agent, _ := fixture.startAgent(t.TempDir(), 1<<30)
			fixture.apply(agent, newOrder(1, 1, "inv", digest, []api.StageSource{source}, 0))
			eventually(t, "the part comes from the peer", func() bool { return pinnedParts(agent, "inv").Contains(0) })
			if got := agent.Heartbeat(false).BytesFromPeers; (got < int64(len(data))/2) != (kind == "text") {
				t.Errorf("%d bytes received for a part of %d", got, len(data))
			}
		})
	}
}

// If a peer serves wrong bytes or no longer has the chunk, the agent uses the next source. Only a peer with
// wrong bytes is reported as corrupt.
func TestCorruptPeerIsReportedAndReplaced(t *testing.T) {
	for _, kind := range []string{"wrong bytes", "chunk not found", "invalid zstd data"} {
		t.Run(kind, func(t *testing.T) {
			fixture := newFixture(t)
			_, digest := fixture.store.Add("inv", randomBytes(12, 5000), 5000, 1)
			requests := make(chan struct{}, 8)
			corruptPeer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				requests <- struct{}{}
				switch {
				case kind == "chunk not found" || strings.HasPrefix(request.URL.Path, "/manifest/"):
					w.WriteHeader(http.StatusNotFound)
				case kind == "invalid zstd data":
					w.Header().Set("Content-Encoding", "zstd")
					_, _ = w.Write(randomBytes(13, 900))
				default:
					_, _ = w.Write(randomBytes(13, 5000))
				}
			}))
			t.Cleanup(corruptPeer.Close)
			agent, _ := fixture.startAgent(t.TempDir(), 1<<20)
			peer := api.StageSource{Peer: address(corruptPeer)}
			fixture.apply(agent, newOrder(1, 1, "inv", digest, []api.StageSource{peer, storeSource}, 0))
			reported := false
			eventually(t, "the part comes from the store", func() bool {
				for _, progress := range agent.Heartbeat(false).Copies {
					for _, failure := range progress.Failed {
						reported = reported || failure.Corrupt && failure.Source == peer
					}
				}
				return pinnedParts(agent, "inv").Contains(0)
			})
			if kind == "chunk not found" && reported {
				t.Error("a peer that evicted a part is reported as corrupt")
			}
			if len(requests) < 2 {
				t.Errorf("the peer got %d requests, want at least 2: for the manifest and for the chunk", len(requests))
			}
		})
	}
}
