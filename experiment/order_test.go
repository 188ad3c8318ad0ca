package experiment

import (
	"fmt"
	"strings"
	"testing"
)

// Each late job is counted once, by its cause. Jobs of other classes are not counted.
func TestLateJobsAreCountedByCause(t *testing.T) {
	var log strings.Builder
	writeLine := func(at int, rest string) {
		fmt.Fprintf(&log, "node-0 time=2026-01-01T00:%02d:%02dZ level=DEBUG %s\n", at/60, at%60, rest)
	}
	writeLine(0, "msg=fleet cpus=8")
	for i, class := range []string{"scan", "scan", "scan", "scan", "scan", "other"} {
		writeLine(1, fmt.Sprintf("msg=\"job accepted\" job=run-%d class=%s tasks=1 cpus=1 rank=normal due_s=20", i, class))
	}
	logTaskRun := func(job, from, to int, end string) {
		writeLine(from, fmt.Sprintf("msg=\"task running\" task=run-%d/0", job))
		writeLine(to, fmt.Sprintf("msg=%s task=run-%d/0", end, job))
		if strings.HasSuffix(end, "cause=done") {
			writeLine(to, fmt.Sprintf("msg=\"job over\" job=run-%d state=done", job))
		}
	}
	done := `"task ended" cause=done`
	logTaskRun(0, 2, 12, done) // in time
	logTaskRun(1, 2, 32, done) // runs longer than the deadline
	logTaskRun(2, 2, 10, `"task lost" why="its machine is gone"`)
	logTaskRun(2, 12, 24, done)
	logTaskRun(3, 2, 10, `"task ended" cause=halted`)
	logTaskRun(3, 12, 24, done)
	logTaskRun(4, 15, 27, done) // waited to start
	logTaskRun(5, 2, 50, done)
	options := OrderDefaults()
	options.Class = "scan"
	res, err := options.Compare(strings.NewReader(log.String()))
	if err != nil {
		t.Fatal(err)
	}
	if want := (LateJobs{1, 1, 1, 1}); res.Late != want || res.Jobs != 5 || res.InTime != 1 || res.ImpossibleAlone != 1 || res.UpperBound > 4 {
		t.Errorf("%+v, want late jobs %+v, 5 jobs, one in time, one impossible alone, and a bound of at most 4", res, want)
	}
}
