package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"switchferry/policy"
)

// runProgram runs the program with arguments and returns its exit code and output.
func runProgram(args ...string) (int, string) {
	var out bytes.Buffer
	root := Root()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&out)
	err := root.Execute()
	if err != nil {
		return ExitCode(err), out.String() + err.Error()
	}
	return 0, out.String()
}

func fakeController(t *testing.T, status int, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// programCall is a call of the program, with the exit code and a text of the output that it must have.
type programCall struct {
	code int
	text string
	args []string
}

// checkCalls makes calls and checks each.
func checkCalls(t *testing.T, calls []programCall) {
	t.Helper()
	for _, call := range calls {
		code, out := runProgram(call.args...)
		if code != call.code || !strings.Contains(out, call.text) {
			t.Errorf("%v: exit %d, %q; want %d with %q", call.args, code, out, call.code, call.text)
		}
	}
}

func TestCommandsExitWithCodes(t *testing.T) {
	good := filepath.Join(t.TempDir(), "job.json")
	job := `{"name_id":"run-000001","jobclass":"c","owner":"t","shape":"sweep","rank":"low","parts":2,"cores":1,"cards":0,"ram_gb":1,"bundle":"i","size_gb":1,"together":false,"apart":false,"standby":true,"expect_s":3,"snapshot_s":0,"stow_s":0}`
	if err := os.WriteFile(good, []byte(job), 0o600); err != nil {
		t.Fatal(err)
	}
	ok := fakeController(t, 201, `{"name_id":"run-000001","status":"pending"}`)
	checkCalls(t, []programCall{
		{0, "run-000001 pending", []string{"submit", "--file", good, "--node", ok}},
		{0, `"status":"pending"`, []string{"submit", "--file", good, "--json", "--node", ok}},
		{0, "pending", []string{"submit", "--id", "run-000001", "--class", "c", "--team", "t", "--image", "i", "--node", ok}},
		{ExitUsage, "owner", []string{"submit", "--id", "run-000001", "--class", "c", "--image", "i", "--node", ok}},
		{ExitUsage, "no such file", []string{"submit", "--file", good + "x"}},
		{ExitUsage, "no job id", []string{"status", "job-1"}},
		{ExitUsage, "unknown command", []string{"ponder"}},
		{ExitUsage, "unknown flag", []string{"status", "run-1", "--speed", "9"}},
		{ExitUsage, "--config is missing", []string{"check"}},
		{ExitNotFound, "no such job", []string{"status", "run-000009", "--node", fakeController(t, 404, `{"error":"no such job"}`)}},
		{ExitRefused, "no such team", []string{"submit", "--file", good, "--node", fakeController(t, 422, `{"error":"no such team"}`)}},
		{ExitFailed, "no answer within", []string{"cancel", "run-000009", "--wait", "50ms", "--node", "127.0.0.1:1"}},
		{0, "switchferry", []string{"version"}},
		{0, `"data":2`, []string{"version", "--json"}},
		{ExitUsage, "--from is missing", []string{"experiment", "upgrade"}},
		{ExitFailed, "is no program", []string{"experiment", "upgrade", "--from", "/no/such/file"}},
		{0, "run-000002 pending", []string{"submit", "--id", "run-000002", "--class", "c", "--team", "t", "--image", "i", "--await", "run-000001", "--node", fakeController(t, 201, `{"name_id":"run-000002","status":"pending"}`)}},
		{ExitUsage, "awaits", []string{"submit", "--id", "run-000002", "--class", "c", "--team", "t", "--image", "i", "--await", "job-1"}},
	})
}

// What the program prints as the default policy is a valid policy file.
func TestPrintedPolicyIsValid(t *testing.T) {
	code, out := runProgram("policy")
	if _, err := policy.Parse(out); code != 0 || err != nil || !strings.Contains(out, "slot_s = 2") {
		t.Errorf("exit %d, %v:\n%s", code, err, out)
	}
}

// A wrong policy and wrong settings are all reported before anything starts.
func TestCheckReportsAllFiles(t *testing.T) {
	dir := t.TempDir()
	conf, pol := filepath.Join(dir, "n.toml"), filepath.Join(dir, "p.policy")
	_ = os.WriteFile(conf, []byte("member = \"\"\n"), 0o600)
	_ = os.WriteFile(pol, []byte("slot_s = 3\nslots = 4\n"), 0o600)
	code, out := runProgram("check", "--config", conf, "--policy", pol)
	if code != ExitUsage || !strings.Contains(out, "member") || !strings.Contains(out, "line 2: slots") {
		t.Errorf("exit %d, %s", code, out)
	}
}

// Members are shown with what each is suspected of; with the feature off the remedy is named.
func TestMembersAreShownWithSuspicions(t *testing.T) {
	on := fakeController(t, 200, `[{"member":"n0","self":true,"level":"alive","parts":[],"why":"this controller","hears":["n1"]},
		{"member":"n1","level":"suspected","parts":["link"],"why":"silent for 1.4 s, but heard by 1 other","phi":7.5}]`)
	checkCalls(t, []programCall{
		{0, "n0 (itself)", []string{"members", "--node", on}},
		{0, "heard by 1 other", []string{"members", "--node", on}},
		{0, `"phi":7.5`, []string{"members", "--json", "--node", on}},
		{ExitRefused, "[membership]", []string{"members", "--node", fakeController(t, 404, `{"message":"Not Found"}`)}},
	})
}
