package cli

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/connlimit"
	"switchferry/controller"
	"switchferry/features"
	"switchferry/httpapi"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/settings"
)

// listen opens a TCP listener on a free loopback port. The caller closes it.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// startController runs a controller with its own fake state service, and returns the address of its HTTP API.
func startController(t *testing.T, configurationOn bool) string {
	t.Helper()
	ctx := t.Context()
	apiListener, peerListener := listen(t), listen(t)
	platform := &settings.Settings{Member: "n0", Zone: "east", External: settings.External{State: "state:1", Cloud: "cloud:1"}}
	platform.Facts = settings.Facts{Zones: []string{"east"}, Teams: []settings.Team{{Name: "team"}}, Workers: settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40},
		State: settings.StateLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}, Cloud: settings.CloudLimits{RPS: 10}}
	clock := clockwork.NewRealClock()
	node := controller.New(ctx, platform, policy.Default(), clock, fake.NewState(clock))
	node.Enable(&features.Features{Configuration: features.Configuration{On: configurationOn}})
	limiter := connlimit.NewLimiter(0)
	go node.Run(peerListener)
	handler := httpapi.New(node, limiter)
	go func() { _ = httpapi.Serve(ctx, apiListener, handler, limiter) }()
	return apiListener.Addr().String()
}

// Each config command ends with one final result and an exit code on which scripts can rely.
func TestConfigCommands(t *testing.T) {
	address, dir := startController(t, true), t.TempDir()
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	first := writeFile("first.toml", "[[teams]]\nname = \"team\"\ncpus_max = 40\n")
	second := writeFile("second.toml", "[[teams]]\nname = \"team\"\ncpus_max = 30\n[[teams]]\nname = \"more\"\n")
	invalid := writeFile("wrong.toml", "[policy]\nslot_s = \"0\"\n[[teams]]\ncpus = -1\n")
	unusable := writeFile("unusable.toml", "[topology]\nversion = 1\n")
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		// Wait until the controller is the leader and has read that no revision is stored.
		if code, out := runProgram("config", "show", "--node", address); code == 0 && strings.Contains(out, "in force") {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the controller did not become leader within 10 s")
		}
	}
	for _, test := range []struct {
		code int
		want string
		args []string
	}{
		{0, "ok", []string{"check", first}},
		{ExitUsage, "line 2: policy.slot_s: is 0, want 0.1 to 600", []string{"check", invalid}},
		{ExitUsage, "line 3: teams[0].name: is missing", []string{"apply", invalid}},
		{ExitUsage, "no such file", []string{"apply", first + "x"}},
		{ExitUsage, "topology: no topology is on; name a file", []string{"apply", unusable}},
		{0, "from revision 0: 1 differences\nteams.team: (none) -> 0 guaranteed, 40 at most", []string{"diff", first}},
		{0, "stored as revision 1\nrevision 1 is in force", []string{"apply", first, "--why", "less", "--by", "ann", "--expect", "0"}},
		{0, "revision 1 is in force already; nothing was stored", []string{"apply", first}},
		{ExitConflict, "ann applied revision 1 (less)", []string{"apply", second, "--expect", "0", "--by", "bo"}},
		{0, `"in_force":true`, []string{"apply", second, "--expect", "1", "--by", "bo", "--json"}},
		{0, "cpus_max = 30", []string{"show"}},
		{0, "revision 1, by ann", []string{"show", "--revision", "1"}},
		{ExitNotFound, "missing", []string{"show", "--revision", "9"}},
		{0, "bo", []string{"history"}},
		{ExitUsage, "is not a revision", []string{"rollback", "zero"}},
		{0, "revision 3 is in force", []string{"rollback", "1", "--why", "starved"}},
		{0, "starved (back to revision 1)", []string{"history"}},
		{0, "cpus_max = 40", []string{"show"}},
		{0, "from revision 3: 2 differences", []string{"diff", second}},
	} {
		args := append([]string{"config"}, test.args...)
		if test.args[0] != "check" {
			args = append(args, "--node", address)
		}
		if code, out := runProgram(args...); code != test.code || !strings.Contains(out, test.want) {
			t.Errorf("%v: exit code %d, output %s; want exit code %d, output with %q", test.args, code, out, test.code, test.want)
		}
	}
	offAddress := startController(t, false)
	for _, args := range [][]string{{"apply", first}, {"show"}, {"history"}, {"diff", first}} {
		if code, out := runProgram(append(append([]string{"config"}, args...), "--node", offAddress)...); code != ExitRefused || !strings.Contains(out, "[configuration] in the features file") {
			t.Errorf("%v with live configuration off: exit code %d, output %s", args, code, out)
		}
	}
}
