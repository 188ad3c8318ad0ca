package experiment

import (
	"context"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"switchferry/settings"
)

// A small fleet with real processes, real agents and configuration changes survives a crash of the leader and the loss
// of a rack: no rule is violated, all figures are recorded, and no process is left running.
func TestScaleSurvivesLeaderCrashAndRackLoss(t *testing.T) {
	program := filepath.Join(t.TempDir(), "switchferry")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/switchferry").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	x := ScaleDefaults()
	x.Program, x.Sizes, x.CasesAt, x.Cases = program, []int{10}, 10, []string{ScaleLeader, ScaleRack}
	x.TasksPerWorker, x.StartsPerS, x.Teams, x.Agents, x.ChangeIntervalS = 4, 2, 4, 1, 1
	x.StepS, x.CutS, x.WatchS = 2, 2, 3
	x.Workers = settings.Workers{HeartbeatIntervalS: 0.5, LeaseS: 6, CancelDeadlineS: 20}
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
		t.Errorf("figures of the first step are missing or too low: %+v", s)
	}
	if out, err := exec.Command("pgrep", "-f", program).Output(); err == nil && len(out) > 0 {
		t.Errorf("processes still running: %s", out)
	}
	if _, err := json.Marshal(res.Record("test")); err != nil {
		t.Error(err)
	}
}

func TestScaleRejectsInvalidOptions(t *testing.T) {
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
			t.Errorf("want an error with %q: %v", want, err)
		}
	}
}
