package golden_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"switchferry/capacity"
	"switchferry/cli"
	"switchferry/dataset"
	"switchferry/experiment"
)

// execute runs the program and returns its standard output, followed by its standard error and, if it failed, its exit
// code.
func execute(t *testing.T, args ...string) string {
	t.Helper()
	// Some flags default to the user's name.
	t.Setenv("USER", "operator")
	var out, errs bytes.Buffer
	root := cli.Root()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&errs)
	if err := root.Execute(); err != nil {
		fmt.Fprintf(&errs, "exit code %d: %v\n", cli.ExitCode(err), err)
	}
	if errs.Len() > 0 {
		fmt.Fprintf(&out, "-- standard error --\n%s", errs.String())
	}
	return out.String()
}

// The help of all commands, with flags and their defaults, matches the golden file.
func TestHelpMatchesGolden(t *testing.T) {
	var all bytes.Buffer
	var add func(command *cobra.Command)
	add = func(command *cobra.Command) {
		path := strings.Fields(command.CommandPath())
		fmt.Fprintf(&all, "$ %s --help\n%s\n", strings.Join(path, " "), execute(t, append(path[1:], "--help")...))
		for _, sub := range command.Commands() {
			add(sub)
		}
	}
	t.Setenv("USER", "operator")
	add(cli.Root())
	compare(t, "cli/help.txt", all.Bytes())
}

// example returns the JSON of a message with every field set, from its golden file.
func example(t *testing.T, name string) string {
	t.Helper()
	line, _, _ := strings.Cut(string(golden(t, "messages/"+name+".jsonl")), "\n")
	return line
}

// response is the answer of a fake controller.
type response struct {
	status int
	body   string
}

// fakeController is a fake controller that records the requests it gets.
type fakeController struct {
	responses map[string]response
	requests  bytes.Buffer
}

// ServeHTTP records the request and answers it by its method and path, with 404 if there is no response for them.
func (controller *fakeController) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	request := r.Method + " " + r.URL.RequestURI()
	fmt.Fprintf(&controller.requests, "> %s %s\n", request, body)
	answer, ok := controller.responses[request]
	if !ok {
		answer = response{http.StatusNotFound, `{"error":"Not Found"}`}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.status)
	_, _ = io.WriteString(w, answer.body)
}

// newFakeController returns a fake controller whose answers have every field set.
func newFakeController(t *testing.T) *fakeController {
	t.Helper()
	ok := func(name string) response { return response{http.StatusOK, example(t, name)} }
	list := func(name string) response { return response{http.StatusOK, "[" + example(t, name) + "]"} }
	document := string(encode(t, map[string]any{"revision": 40, "by": "ops", "why": "a test", "at_ms": 1789999200000, "in_force": true, "leader": true,
		"document": "[[teams]]\nname = \"vision\"\ncpus = 2.0\ncpus_max = 4.0\n"}))
	return &fakeController{responses: map[string]response{
		"POST /submissions":                       {http.StatusCreated, example(t, "job-status")},
		"GET /submissions/run-000001":             ok("job-status"),
		"POST /submissions/run-000001/cancel":     ok("job-status"),
		"GET /submissions/run-000001/explanation": ok("explanation"),
		"POST /submissions/run-000003/cancel":     {http.StatusUnprocessableEntity, example(t, "error")},
		"GET /topology":                           ok("topology-view"),
		"GET /members":                            list("member-view"),
		"GET /datasets":                           ok("data-view"),
		"POST /datasets":                          {http.StatusCreated, example(t, "dataset-summary")},
		"POST /datasets/inventory-7/remove":       ok("removal-view"),
		"GET /configuration":                      {http.StatusOK, document},
		"GET /configuration/40":                   {http.StatusOK, document},
		"GET /configuration/39":                   {http.StatusNotFound, `{"error":"the last 50 revisions are kept"}`},
		"GET /configuration/history":              list("configuration-view"),
		"POST /configuration":                     ok("configuration-answer"),
	}}
}

// transcript runs a command against a fake controller and returns the requests that it sends and the output.
func transcript(t *testing.T, fake *fakeController, args ...string) string {
	t.Helper()
	server := httptest.NewServer(fake)
	defer server.Close()
	fake.requests.Reset()
	printed := execute(t, append(args, "--node", strings.TrimPrefix(server.URL, "http://"))...)
	return fmt.Sprintf("$ switchferry %s\n%s%s\n", strings.Join(args, " "), fake.requests.String(), printed)
}

// Commands send the same requests to controllers as the version in production, and print the answers in the same way as
// text and as JSON.
func TestUserCommandsMatchGolden(t *testing.T) {
	const document, manifest = "testdata/files/configuration.toml", "testdata/cli/manifest.json"
	compareManifest(t)
	var all strings.Builder
	for _, args := range [][]string{
		{"submit", "--file", "testdata/cli/job.json"},
		{"submit", "--id", "run-000002", "--class", "train", "--team", "vision", "--shape", "gang", "--rank", "high", "--tasks", "3", "--cpus", "2", "--cards", "1", "--memory-gb", "4",
			"--image", "img-07", "--image-gb", "2", "--type", "m8,g8", "--zone", "a", "--one-zone", "--spread", "--spot", "--estimate-s", "240", "--checkpoint-s", "30", "--save-s", "4",
			"--deadline-s", "900", "--await", "run-000001"},
		{"status", "run-000001"},
		{"status", "run-000009"},
		{"cancel", "run-000001"},
		{"cancel", "run-000003"},
		{"explain", "run-000001"},
		{"topology"},
		{"members"},
		{"data"},
		{"data", "add", manifest},
		{"data", "remove", "inventory-7"},
		{"config", "show"},
		{"config", "show", "--revision", "39"},
		{"config", "history"},
		{"config", "diff", document},
		{"config", "apply", document, "--why", "a test", "--expect", "40"},
		{"config", "rollback", "40", "--why", "back"},
	} {
		all.WriteString(transcript(t, newFakeController(t), args...))
		all.WriteString(transcript(t, newFakeController(t), append(args, "--json")...))
	}
	compare(t, "cli/users.txt", []byte(all.String()))
}

// compareManifest compares the manifest file that commands read with a newly built one. With -update it writes the
// file.
func compareManifest(t *testing.T) {
	t.Helper()
	m, err := dataset.Build("inventory-7", strings.NewReader(strings.Repeat("0123456789", 100)), 300, 2, nil)
	if err != nil {
		t.Fatal(err)
	}
	raw, _, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	compare(t, "cli/manifest.json", append(raw, '\n'))
}

// A configuration change that is refused, or does not take effect in time, ends with its specific exit code.
func TestRefusedConfigurationChangesMatchGolden(t *testing.T) {
	pending := `{"revision":41,"in_force":false,"waits_for":["n1","n2"]}`
	var all strings.Builder
	for _, answer := range []response{
		{http.StatusConflict, example(t, "configuration-conflict")},
		{http.StatusBadRequest, example(t, "configuration-mistakes")},
		{http.StatusUnprocessableEntity, example(t, "error")},
		{http.StatusAccepted, pending},
	} {
		fake := newFakeController(t)
		fake.responses["POST /configuration"] = answer
		fake.responses["GET /configuration"] = response{http.StatusNotFound, ""}
		printed := transcript(t, fake, "config", "apply", "testdata/files/configuration.toml", "--wait", "1s")
		// The number of polls depends on timing.
		all.WriteString(strings.ReplaceAll(printed, "> GET /configuration \n", ""))
	}
	compare(t, "cli/refused.txt", []byte(all.String()))
}

// The output of commands that need no controller matches the golden file.
func TestOfflineCommandsMatchGolden(t *testing.T) {
	const config = "testdata/http/controller.toml"
	var all strings.Builder
	for _, args := range [][]string{
		{"version"},
		{"version", "--json"},
		{"policy"},
		{"check", "--config", config, "--features", "testdata/http/features.toml"},
		{"check"},
		{"config", "check", "testdata/files/configuration.toml"},
		{"capacity", "--config", config},
		{"capacity", "--config", config, "--json"},
		{"data", "manifest", "--name", "inventory-7", "--chunk", "100B", "--part-chunks", "2", "testdata/cli/job.json"},
		{"status", "job-1"},
		{"ponder"},
	} {
		fmt.Fprintf(&all, "$ switchferry %s\n%s\n", strings.Join(args, " "), execute(t, args...))
	}
	compare(t, "cli/offline.txt", []byte(all.String()))
}

// The JSON output of experiments matches the golden files.
func TestExperimentResultsMatchGolden(t *testing.T) {
	compareMessages(t, "experiments", []goldenMessage{
		messageOf[experiment.Gap]("gap"),
		messageOf[experiment.HandoverResult]("handover"),
		messageOf[experiment.DayEndResult]("dayend"),
		messageOf[experiment.UpgradeResult]("upgrade"),
		messageOf[experiment.RecoveryResult]("recovery"),
		messageOf[experiment.OrderResult]("order"),
		messageOf[experiment.LocalityResult]("locality"),
		messageOf[experiment.TopologyResult]("topology"),
		messageOf[experiment.ScaleResult]("scale"),
		messageOf[capacity.Record]("capacity-record"),
		messageOf[capacity.Measurement]("capacity-measurement"),
		messageOf[capacity.Size]("capacity-size"),
		messageOf[capacity.LinearFit]("capacity-slopes"),
		messageOf[capacity.Row]("capacity-row"),
		messageOf[capacity.JobCost]("capacity-job-cost"),
		messageOf[capacity.Limit]("capacity-limit"),
	})
}
