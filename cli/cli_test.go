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

// fakeController serves the same response to every request, and returns the address (host:port) of its server.
func fakeController(t *testing.T, status int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// programCall is a run of the program with the exit code that it must return and a text that its output must contain.
type programCall struct {
	wantCode int
	wantText string
	args     []string
}

// checkCalls runs the program for each call and checks the exit code and the output.
func checkCalls(t *testing.T, calls []programCall) {
	t.Helper()
	for _, call := range calls {
		code, out := runProgram(call.args...)
		if code != call.wantCode || !strings.Contains(out, call.wantText) {
			t.Errorf("%v: exit code %d, output %q; want exit code %d, output with %q", call.args, code, out, call.wantCode, call.wantText)
		}
	}
}

func TestCommandsReturnExitCodes(t *testing.T) {
	jobFile := filepath.Join(t.TempDir(), "job.json")
	job := `{"name_id":"run-000001","jobclass":"c","owner":"t","shape":"sweep","rank":"low","parts":2,"cores":1,"cards":0,"ram_gb":1,"bundle":"i","size_gb":1,"together":false,"apart":false,"standby":true,"expect_s":3,"snapshot_s":0,"stow_s":0}`
	if err := os.WriteFile(jobFile, []byte(job), 0o600); err != nil {
		t.Fatal(err)
	}
	acceptingAddress := fakeController(t, 201, `{"name_id":"run-000001","status":"pending"}`)
	checkCalls(t, []programCall{
		{0, "run-000001 pending", []string{"submit", "--file", jobFile, "--node", acceptingAddress}},
		{0, `"status":"pending"`, []string{"submit", "--file", jobFile, "--json", "--node", acceptingAddress}},
		{0, "pending", []string{"submit", "--id", "run-000001", "--class", "c", "--team", "t", "--image", "i", "--node", acceptingAddress}},
		{ExitUsage, "owner", []string{"submit", "--id", "run-000001", "--class", "c", "--image", "i", "--node", acceptingAddress}},
		{ExitUsage, "no such file", []string{"submit", "--file", jobFile + "x"}},
		{ExitUsage, "no job id", []string{"status", "job-1"}},
		{ExitUsage, "unknown command", []string{"ponder"}},
		{ExitUsage, "unknown flag", []string{"status", "run-1", "--speed", "9"}},
		{ExitUsage, "--config is missing", []string{"check"}},
		{ExitNotFound, "no such job", []string{"status", "run-000009", "--node", fakeController(t, 404, `{"error":"no such job"}`)}},
		{ExitRefused, "no such team", []string{"submit", "--file", jobFile, "--node", fakeController(t, 422, `{"error":"no such team"}`)}},
		{ExitFailed, "no answer within", []string{"cancel", "run-000009", "--wait", "50ms", "--node", "127.0.0.1:1"}},
		{0, "switchferry", []string{"version"}},
		{0, `"data":2`, []string{"version", "--json"}},
		{ExitUsage, "--from is missing", []string{"experiment", "upgrade"}},
		{ExitFailed, "is no program", []string{"experiment", "upgrade", "--from", "/no/such/file"}},
		{0, "run-000002 pending", []string{"submit", "--id", "run-000002", "--class", "c", "--team", "t", "--image", "i", "--await", "run-000001", "--node", fakeController(t, 201, `{"name_id":"run-000002","status":"pending"}`)}},
		{ExitUsage, "awaits", []string{"submit", "--id", "run-000002", "--class", "c", "--team", "t", "--image", "i", "--await", "job-1"}},
	})
}

// The policy command prints a valid policy file.
func TestPrintedPolicyIsValid(t *testing.T) {
	code, out := runProgram("policy")
	if _, err := policy.Parse(out); code != 0 || err != nil || !strings.Contains(out, "slot_s = 2") {
		t.Errorf("exit code %d, parse error %v, output:\n%s", code, err, out)
	}
}

// The check command reports the errors of the settings file and of the policy file together.
func TestCheckReportsErrorsOfAllFiles(t *testing.T) {
	dir := t.TempDir()
	settingsFile, policyFile := filepath.Join(dir, "n.toml"), filepath.Join(dir, "p.policy")
	_ = os.WriteFile(settingsFile, []byte("member = \"\"\n"), 0o600)
	_ = os.WriteFile(policyFile, []byte("slot_s = 3\nslots = 4\n"), 0o600)
	code, out := runProgram("check", "--config", settingsFile, "--policy", policyFile)
	if code != ExitUsage || !strings.Contains(out, "member") || !strings.Contains(out, "line 2: slots") {
		t.Errorf("exit code %d, output %s", code, out)
	}
}

// The members command shows why each member is suspected. With membership off, the error names the section of the
// features file that turns it on.
func TestMembersShowsSuspicions(t *testing.T) {
	address := fakeController(t, 200, `[{"member":"n0","self":true,"level":"alive","parts":[],"why":"this controller","hears":["n1"]},
		{"member":"n1","level":"suspected","parts":["link"],"why":"silent for 1.4 s, but heard by 1 other","phi":7.5}]`)
	checkCalls(t, []programCall{
		{0, "n0 (itself)", []string{"members", "--node", address}},
		{0, "heard by 1 other", []string{"members", "--node", address}},
		{0, `"phi":7.5`, []string{"members", "--json", "--node", address}},
		{ExitRefused, "[membership]", []string{"members", "--node", fakeController(t, 404, `{"message":"Not Found"}`)}},
	})
}
