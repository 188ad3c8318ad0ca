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

// listen opens a port on loopback, which its user closes.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// controllerPort runs a controller on its real port, beside a state service of its own.
func controllerPort(t *testing.T, on bool) string {
	t.Helper()
	ctx := t.Context()
	front, back := listen(t), listen(t)
	platform := &settings.Settings{Member: "n0", Zone: "east", External: settings.External{State: "state:1", Cloud: "cloud:1"}}
	platform.Facts = settings.Facts{Zones: []string{"east"}, Teams: []settings.Team{{Name: "team"}}, Workers: settings.Workers{ReportS: 1, LeaseS: 10, CancelS: 40},
		State: settings.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}, Cloud: settings.Cloud{RPS: 10}}
	clock := clockwork.NewRealClock()
	node := controller.New(ctx, platform, policy.Default(), clock, fake.NewState(clock))
	node.Enable(&features.Features{Configuration: features.Configuration{On: on}})
	budget := connlimit.NewLimiter(0)
	go node.Run(back)
	handler := httpapi.New(node, budget)
	go func() { _ = httpapi.Serve(ctx, front, handler, budget) }()
	return front.Addr().String()
}

// Operators change the configuration from a terminal: each command gives one final answer and an exit code that scripts
// can trust.
func TestConfigCommands(t *testing.T) {
	address, dir := controllerPort(t, true), t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	first := file("first.toml", "[[teams]]\nname = \"team\"\ncpus_max = 40\n")
	second := file("second.toml", "[[teams]]\nname = \"team\"\ncpus_max = 30\n[[teams]]\nname = \"more\"\n")
	wrong := file("wrong.toml", "[policy]\nslot_s = \"0\"\n[[teams]]\ncpus = -1\n")
	unusable := file("unusable.toml", "[topology]\nversion = 1\n")
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		// Until it leads, and has read that there is no revision.
		if code, out := runProgram("config", "show", "--node", address); code == 0 && strings.Contains(out, "in force") {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no controller leads")
		}
	}
	for _, test := range []struct {
		code int
		want string
		args []string
	}{
		{0, "ok", []string{"check", first}},
		{ExitUsage, "line 2: policy.slot_s: is 0, want 0.1 to 600", []string{"check", wrong}},
		{ExitUsage, "line 3: teams[0].name: is missing", []string{"apply", wrong}},
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
		{ExitUsage, "is no revision", []string{"rollback", "zero"}},
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
			t.Errorf("%v: exit %d, %s; want %d with %q", test.args, code, out, test.code, test.want)
		}
	}
	off := controllerPort(t, false)
	for _, args := range [][]string{{"apply", first}, {"show"}, {"history"}, {"diff", first}} {
		if code, out := runProgram(append(append([]string{"config"}, args...), "--node", off)...); code != ExitRefused || !strings.Contains(out, "[configuration] in the features file") {
			t.Errorf("%v with it off: exit %d, %s", args, code, out)
		}
	}
}
