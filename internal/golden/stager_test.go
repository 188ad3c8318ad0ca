package golden_test

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/dataagent"
	"switchferry/dataset"
	"switchferry/internal/fake"
)

const (
	// agentCacheBytes is the size of the cache in bytes.
	agentCacheBytes = 1 << 20
	// copyTimeout is the maximum time for which a test waits for copies.
	copyTimeout = 20 * time.Second
	// datasetContent is the content of the dataset.
	datasetContent = "the first chunk.the second one..the third chunk.the fourth one.."
	// chunkBytes is the size of a chunk in bytes.
	chunkBytes = 16
)

// startAgent runs an agent with its cache in the given directory until the test ends or stopAgent is called.
func startAgent(t *testing.T, dir, store string) (agent *dataagent.Agent, stopAgent func()) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	agent, err := dataagent.New(ctx, dataagent.Options{Machine: "n-000001", Address: "10.0.0.1:9100", Dir: dir, CacheBytes: agentCacheBytes, Store: store, Clock: clockwork.NewRealClock()})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { agent.Run(ctx); close(done) }()
	return agent, func() { stop(); <-done }
}

// pinnedPartCount returns the number of parts of a dataset that an agent holds pinned.
func pinnedPartCount(agent *dataagent.Agent, name string) uint64 {
	for _, held := range agent.Heartbeat(false).Pinned {
		if held.Dataset == name {
			return held.Parts.GetCardinality()
		}
	}
	return 0
}

// awaitParts waits until an agent holds the given number of parts of a dataset pinned.
func awaitParts(t *testing.T, agent *dataagent.Agent, name string, parts uint64) {
	t.Helper()
	for end := time.Now().Add(copyTimeout); pinnedPartCount(agent, name) != parts; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the agent has %d parts of %s pinned, want %d", pinnedPartCount(agent, name), name, parts)
		}
	}
}

// stageParts has an agent copy parts 0 and 1 of a dataset with two chunks a part into a directory, and then writes part
// of another chunk there.
func stageParts(t *testing.T, dir string) {
	t.Helper()
	objects := fake.NewObjects()
	manifest, digest := objects.Add("inventory-7", []byte(datasetContent), chunkBytes, 2)
	server := httptest.NewServer(objects)
	defer server.Close()
	agent, stop := startAgent(t, dir, server.URL)
	parts := []uint32{0, 1}
	set := api.StageSet{Dataset: manifest.Name, Manifest: digest.String(), Parts: api.PartSet{Bitmap: roaring.BitmapOf(parts...)}}
	for _, part := range parts {
		set.Copies = append(set.Copies, api.StageCopy{Part: int(part), Sources: []api.StageSource{{Store: true}}})
	}
	if ok, err := agent.Apply(&api.StageOrder{Term: 1873, Sequence: 5, Sets: []api.StageSet{set}}); !ok || err != nil {
		t.Fatalf("order accepted: %t, %v; want true", ok, err)
	}
	awaitParts(t, agent, manifest.Name, uint64(len(parts)))
	stop()
	writePartialChunk(t, dir)
}

// writePartialChunk writes the first bytes of a chunk into an agent's cache, as after an interrupted copy.
func writePartialChunk(t *testing.T, dir string) {
	t.Helper()
	cache, err := dataagent.OpenCache(dir, agentCacheBytes, nil)
	if err != nil {
		t.Fatal(err)
	}
	content := []byte("a chunk that is cut off")
	writer, err := cache.OpenWriter(dataset.Chunk{Digest: dataset.Sum(content), Bytes: int64(len(content))})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(content[:7]); err != nil {
		t.Fatal(err)
	}
	writer.Suspend()
}

// listDirectory returns a directory as text: the path and the content of each file.
func listDirectory(t *testing.T, dir string) []byte {
	t.Helper()
	var out bytes.Buffer
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		raw, err := os.ReadFile(path)
		name, rerr := filepath.Rel(dir, path)
		fmt.Fprintf(&out, "-- %s --\n%s\n", name, raw)
		if err != nil {
			return err
		}
		return rerr
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// restoreDirectory recreates a directory from its listing.
func restoreDirectory(t *testing.T, listing []byte, dir string) {
	t.Helper()
	for _, file := range strings.Split("\n"+string(listing), "\n-- ")[1:] {
		name, content, ok := strings.Cut(file, " --\n")
		if !ok {
			t.Fatalf("no file name in %q", file)
		}
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(strings.TrimSuffix(content, "\n")), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// An agent writes its cache to disk in the same format as the version in production.
func TestAgentCacheFilesMatchGolden(t *testing.T) {
	dir := t.TempDir()
	stageParts(t, dir)
	compare(t, "stager/store.txt", listDirectory(t, dir))
}

// An agent whose dataset store is unreachable restores the cache that another version wrote, and keeps and reports the
// same parts.
func TestAgentReadsStoredCache(t *testing.T) {
	dir := t.TempDir()
	restoreDirectory(t, golden(t, "stager/store.txt"), dir)
	agent, stop := startAgent(t, dir, "http://127.0.0.1:1")
	awaitParts(t, agent, "inventory-7", 2)
	heartbeat := agent.Heartbeat(true)
	stop()
	// The sequence number depends on timing.
	heartbeat.Seq = 1
	compare(t, "stager/report.json", encode(t, heartbeat))
	compare(t, "stager/store.read.txt", listDirectory(t, dir))
}

// sequencePattern matches the sequence number in an agent's answers, which depends on timing.
var sequencePattern = regexp.MustCompile(`"seq":[0-9]+`)

// The answers of an agent's port to other agents, the leader and operators match the golden file.
func TestAgentPortAnswersMatchGolden(t *testing.T) {
	dir := t.TempDir()
	restoreDirectory(t, golden(t, "stager/store.txt"), dir)
	agent, stop := startAgent(t, dir, "http://127.0.0.1:1")
	defer stop()
	awaitParts(t, agent, "inventory-7", 2)
	const chunk, manifest = "e24ed97ccb1da8f0391bf5f6b125e31d5e6d796ebc001d203fc99d1e93ebcbf6", "f92d09a34602c40cd2e20a7db26240497dc414b8469b113dc991e80dd3c05efa"
	var all bytes.Buffer
	for _, c := range []struct{ method, path, bytes, body string }{
		{"GET", "/chunk/" + chunk, "", ""},
		{"GET", "/chunk/" + chunk, "bytes=4-8", ""},
		{"GET", "/chunk/" + manifest, "", ""},
		{"GET", "/chunk/abc", "", ""},
		{"GET", "/manifest/" + manifest, "", ""},
		{"GET", "/manifest/" + chunk, "", ""},
		{"GET", "/manifest/abc", "", ""},
		{"GET", "/show", "", ""},
		{"POST", "/stage", "", "{"},
		{"POST", "/stage", "", `{"order":9}`},
		{"POST", "/stage", "", `{"helm":1872,"order":9,"known":1,"sets":[]}`},
		{"POST", "/stage", "", `{"helm":1873,"session":1,"order":6,"known":1,"sets":[]}`},
		{"POST", "/stage", "", `{"helm":1873,"session":2,"order":6,"known":1,"sets":[]}`},
	} {
		request := httptest.NewRequestWithContext(t.Context(), c.method, c.path, strings.NewReader(c.body))
		if c.bytes != "" {
			request.Header.Set("Range", c.bytes)
		}
		w := httptest.NewRecorder()
		agent.Handler().ServeHTTP(w, request)
		answer := sequencePattern.ReplaceAllString(strings.TrimSpace(w.Body.String()), `"seq":COUNT`)
		fmt.Fprintf(&all, "%s %s %s %s\n  %d %s\n  %s\n", c.method, c.path, c.bytes, c.body, w.Code, w.Header().Get("Content-Type"), answer)
	}
	compare(t, "stager/port.txt", all.Bytes())
}
