package experiment

import (
	"context"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/internal/cluster"
	"switchferry/settings"
)

// A small fleet on real processes, with real agents and changes of the configuration, comes through a crash of the
// leader and the loss of a rack: no rule is broken, everything that must be counted is, and no process is left.
func TestScaleSmall(t *testing.T) {
	program := filepath.Join(t.TempDir(), "switchferry")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/switchferry").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	x := ScaleDefaults()
	x.Program, x.Sizes, x.CasesAt, x.Cases = program, []int{10}, 10, []string{ScaleLeader, ScaleRack}
	x.TasksPerWorker, x.StartsPerS, x.Teams, x.Agents, x.ChangesEveryS = 4, 2, 4, 1, 1
	x.StepS, x.CutS, x.WatchS = 2, 2, 3
	x.Workers = settings.Workers{ReportS: 0.5, LeaseS: 6, CancelS: 20}
	ctx, stop := context.WithTimeout(context.Background(), 4*time.Minute)
	defer stop()
	res, err := x.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Steps) != 3 || len(res.Cases) != 2 || len(res.Jobs) < 4 || res.Cases[0].FirstStart < 0 {
		t.Errorf("%d steps, %d cases, %d jobs, first start %g", len(res.Steps), len(res.Cases), len(res.Jobs), res.Cases[0].FirstStart)
	}
	s := res.Steps[0]
	if s.Tasks < 30 || s.Leader.MemoryMB == 0 || s.Leader.Descriptors == 0 || s.Agents.MemoryMB == 0 || s.Traffic["commands"].Messages == 0 || s.Polls == 0 || s.Changes.Count == 0 {
		t.Errorf("%+v", s)
	}
	if out, err := exec.Command("pgrep", "-f", program).Output(); err == nil && len(out) > 0 {
		t.Errorf("processes are left: %s", out)
	}
	if _, err := json.Marshal(res.Record("test")); err != nil {
		t.Error(err)
	}
}

func TestScaleRefusesWhatThisMachineDoesNotCarry(t *testing.T) {
	for want, change := range map[string]func(x *Scale){
		"--sizes":    func(x *Scale) { x.Sizes, x.Cases = []int{10_000_000}, nil },
		"ascending":  func(x *Scale) { x.Sizes = []int{400, 200} },
		"--cases: ":  func(x *Scale) { x.Cases = []string{"flood"} },
		"--cases-at": func(x *Scale) { x.CasesAt = 7 },
		"--agents":   func(x *Scale) { x.Agents = 200 },
		"--teams":    func(x *Scale) { x.Teams = 1 },
	} {
		x := ScaleDefaults()
		change(x)
		if _, err := x.Run(context.Background()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q: %v", want, err)
		}
	}
}

// The audit finds each rule broken that hollow workers and users can see.
func TestAuditFindsBrokenRules(t *testing.T) {
	a := cluster.NewAudit([]settings.Team{{Name: "t", CPUsMax: 3}}, settings.Workers{CancelS: 0.001})
	job := func(id string) { a.Submit(api.Submission{ID: id, Team: "t", Tasks: 2, CPUs: 2}); a.Accept(id) }
	for _, id := range []string{"run-1", "run-2", "run-3"} {
		job(id)
	}
	a.Started("run-1/0", "m1", 1)
	a.Started("run-1/0", "m2", 1) // twice, and 4 of 3 processors
	a.Ended("run-1/0", "m2", true)
	a.Answered("run-1", true, api.Done) // one of two tasks
	a.Answered("run-1", true, api.Pending)
	a.Answered("run-2", true, api.Cancelled)
	time.Sleep(2 * time.Millisecond)
	a.Started("run-2/0", "m1", 1)
	a.Sweep()
	a.Answered("run-3", false, "")
	broken, why := a.Broken()
	for rule, want := range map[string]int{cluster.RanTwice: 1, cluster.OverQuota: 2, cluster.NotDone: 1, cluster.WentBack: 1, cluster.RanCancelled: 2, cluster.Forgotten: 1} {
		if broken[rule] != want {
			t.Errorf("%s %d times, want %d: %v", rule, broken[rule], want, why)
		}
	}
}
