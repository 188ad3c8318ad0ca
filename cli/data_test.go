package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"switchferry/dataset"
)

// The data commands create a manifest from a file, register, show and remove the dataset. Each error names the flag or
// setting to correct.
func TestDataCommands(t *testing.T) {
	dir := t.TempDir()
	dataFile, manifestFile := filepath.Join(dir, "data.bin"), filepath.Join(dir, "manifest.json")
	if err := os.WriteFile(dataFile, []byte(strings.Repeat("x", 2500)), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out := runProgram("data", "manifest", "--name", "inv", "--chunk", "1KB", "--out", manifestFile, dataFile); code != 0 || !strings.Contains(out, "3 chunks in 3 parts") {
		t.Fatal(code, out)
	}
	raw, err := os.ReadFile(manifestFile)
	if err != nil {
		t.Fatal(err)
	}
	manifest, err := dataset.Parse(raw)
	if err != nil || manifest.Bytes() != 2500 {
		t.Fatal(manifest, err)
	}
	offAddress := fakeController(t, 404, `{"error":"Not Found"}`)
	viewJSON, _ := json.Marshal(map[string]any{"datasets": []any{map[string]any{"name": "inv", "bytes": 2500, "parts": 3, "machines_whole": 2}},
		"copies":  []any{map[string]any{"machine": "n-1", "dataset": "inv", "part": 1, "bytes_got": 500, "bytes": 1000, "from": "store", "failed": map[string]string{"store": "status 503"}}},
		"waiting": []any{map[string]any{"job": "run-1", "tasks": 4, "why": "inputs are not on their machines yet"}}})
	checkCalls(t, []programCall{
		{0, "3 parts", []string{"data", "add", manifestFile, "--node", fakeController(t, 201, "{}")}},
		{ExitRefused, "--features", []string{"data", "add", manifestFile, "--node", offAddress}},
		{ExitRefused, "--features", []string{"data", "--node", offAddress}},
		{ExitRefused, "other content", []string{"data", "add", manifestFile, "--node", fakeController(t, 409, `{"error":"registered with other content"}`)}},
		{ExitUsage, "manifest: ", []string{"data", "add", dataFile}},
		{ExitUsage, "--name", []string{"data", "manifest", "--name", "Bad Name", dataFile}},
		{ExitUsage, "--chunk", []string{"data", "manifest", "--name", "inv", "--chunk", "none", dataFile}},
		{ExitUsage, "--machine is missing", []string{"stager", "--address", "127.0.0.1:1", "--dir", dir, "--store", "http://x"}},
		{ExitUsage, "--cache", []string{"stager", "--machine", "n-1", "--address", "127.0.0.1:1", "--dir", dir, "--store", "http://x", "--controller", "a=b:1", "--cache", "much"}},
		{0, "inv: removing, 3 jobs still need it", []string{"data", "remove", "inv", "--node", fakeController(t, 200, `{"name":"inv","state":"removing","jobs":3}`)}},
		{0, "inv: removed", []string{"data", "remove", "inv", "--until-removed", "--node", fakeController(t, 200, `{"name":"inv","state":"removed","jobs":0}`)}},
		{ExitFailed, "the removal continues in the background", []string{"data", "remove", "inv", "--until-removed", "--wait", "50ms", "--node", fakeController(t, 200, `{"name":"inv","state":"removing","jobs":3}`)}},
		{0, `{"name":"inv","state":"removing","jobs":3}`, []string{"data", "remove", "inv", "--json", "--node", fakeController(t, 200, `{"name":"inv","state":"removing","jobs":3}`)}},
		{ExitNotFound, "no dataset", []string{"data", "remove", "inv", "--node", fakeController(t, 404, `{"error":"no such dataset"}`)}},
		{ExitRefused, "--features", []string{"data", "remove", "inv", "--node", offAddress}},
		{ExitUsage, "is not a dataset name", []string{"data", "remove", "Bad Name"}},
		{0, "50% of 1.0 kB", []string{"data", "--node", fakeController(t, 200, string(viewJSON))}},
		{0, "status 503", []string{"data", "--node", fakeController(t, 200, string(viewJSON))}},
		{0, "run-1", []string{"data", "--node", fakeController(t, 200, string(viewJSON))}},
		{0, `"machines_whole":2`, []string{"data", "--json", "--node", fakeController(t, 200, string(viewJSON))}},
	})
}
