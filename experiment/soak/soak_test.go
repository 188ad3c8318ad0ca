package soak

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// buildProgram builds the switchferry program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "switchferry")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "../../cmd/switchferry").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// runSeeds runs some seeds, and fails the test if a rule was violated, a controller logged an invariant violation, or a
// process is left running.
func runSeeds(t *testing.T, first uint64, seeds int, forS float64, kinds ...Kind) []*Run {
	t.Helper()
	if raceDetector {
		t.Skip("the controllers are built without the race detector, so the run would be the same as without it")
	}
	options := Defaults()
	options.Program, options.First, options.Seeds, options.ForS, options.AtOnce, options.LogDir = buildProgram(t), first, seeds, forS, 3, t.TempDir()
	for _, kind := range kinds {
		options.Kinds = append(options.Kinds, string(kind))
	}
	options.Progress = t.Logf
	ctx, stop := context.WithTimeout(t.Context(), 4*time.Minute)
	defer stop()
	result, err := options.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for _, run := range result.Failed() {
		t.Errorf("seed %d: rules violated %v, %d invariant violations, %d unexpected exits: %v", run.Seed, run.Violations, run.InvariantViolations, run.UnexpectedExits, run.Details)
		printLogs(t, run.Logs)
	}
	if out, err := exec.CommandContext(t.Context(), "pgrep", "-f", options.Program).Output(); err == nil && len(out) > 0 {
		t.Errorf("processes still running: %s", out)
	}
	return result.Runs
}

// Random faults with fixed seeds on real processes violate no rule, no controller logs an invariant violation, and no
// process is left running.
func TestRandomFaultsViolateNoRule(t *testing.T) {
	for _, run := range runSeeds(t, 1, 6, 20) {
		if run.InconclusiveReason != "" {
			t.Errorf("seed %d: %s", run.Seed, run.InconclusiveReason)
		}
	}
}

// Guards against ran_cancelled of incident held-start-after-cancellation on real processes: starts that are held through
// an outage of the state service are not executed after their cancellations.
func TestHeldStartsOfCancelledTasksAreRefused(t *testing.T) {
	fenced := 0
	for _, run := range runSeeds(t, 76000, 3, 36, HeldCommands, CancelWave) {
		fenced += run.Releases["starts_fenced"]
	}
	if fenced == 0 {
		t.Error("no held start of a stopped task was fenced off, so the runs show nothing")
	}
}

// printLogs prints the end of each log of a failed run, because the test's temporary directory is removed at its end.
func printLogs(t *testing.T, directory string) {
	t.Helper()
	const maxBytes = 20_000
	files, _ := filepath.Glob(filepath.Join(directory, "*.log"))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Error(err)
		}
		t.Logf("%s: %s", file, raw[max(0, len(raw)-maxBytes):])
	}
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	cases := []struct {
		want   error
		change func(o *Options)
	}{
		{ErrSeeds, func(o *Options) { o.Seeds = 0 }},
		{ErrWorkers, func(o *Options) { o.Workers = 100_000 }},
		{ErrFor, func(o *Options) { o.ForS = 0 }},
		{ErrAtOnce, func(o *Options) { o.AtOnce = 99 }},
		{ErrKind, func(o *Options) { o.Kinds = []string{"flood"} }},
		{ErrProgram, func(o *Options) { o.Program = "/nonexistent" }},
	}
	for _, tc := range cases {
		options := Defaults()
		options.Program, _ = os.Executable()
		tc.change(options)
		if _, err := options.Run(t.Context()); !errors.Is(err, tc.want) {
			t.Errorf("%v, want %v", err, tc.want)
		}
	}
}
