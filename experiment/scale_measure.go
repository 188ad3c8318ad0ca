package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"switchferry/internal/cluster"
)

// usages are one process's samples, one a second.
type usages []cluster.Usage

func (u usages) figures(seconds float64) ProcessFigures {
	if len(u) < 2 {
		return ProcessFigures{}
	}
	f := ProcessFigures{CPUMean: (u[len(u)-1].CPUSeconds - u[0].CPUSeconds) / seconds}
	var each []float64
	for i, sample := range u {
		if i > 0 {
			each = append(each, sample.CPUSeconds-u[i-1].CPUSeconds)
		}
		f.MemoryMB = max(f.MemoryMB, float64(sample.MemoryBytes)/(1<<20))
		f.Descriptors = max(f.Descriptors, sample.Descriptors)
		f.Threads = max(f.Threads, sample.Threads)
	}
	slices.Sort(each)
	f.CPUP99 = each[min(len(each)-1, len(each)*99/100)]
	return f
}

// recording samples all processes once a second until it is stopped.
type recording struct {
	run   *scaleRun
	began time.Time
	quit  chan struct{}
	done  chan struct{}

	controllers []usages
	// pids are the controllers' last processes, former what those before them took.
	pids     []int
	former   []float64
	agents   []usages
	self     usages
	traffic  map[string]cluster.Count
	changes  map[string]int
	starts   int
	tasks, n int
	err      error
}

func (run *scaleRun) record() *recording {
	r := &recording{run: run, began: time.Now(), quit: make(chan struct{}), done: make(chan struct{}), traffic: run.cluster.Traffic.Snapshot(), changes: run.cluster.State.Changes(), starts: run.audit.Starts(),
		controllers: make([]usages, len(run.cluster.Controllers)), pids: make([]int, len(run.cluster.Controllers)), former: make([]float64, len(run.cluster.Controllers)), agents: make([]usages, len(run.agents))}
	run.users.reset()
	run.changer.reset()
	run.cluster.TakeDelays()
	go r.loop()
	return r
}

func (r *recording) loop() {
	defer close(r.done)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for r.sample(); ; r.sample() {
		select {
		case <-r.quit:
			return
		case <-r.run.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *recording) sample() {
	for i, x := range r.run.cluster.Controllers {
		pid := x.PID()
		if pid == 0 {
			continue
		}
		usage, err := cluster.Sample(pid)
		if err != nil {
			continue // it ended just now
		}
		if last := len(r.controllers[i]) - 1; last >= 0 && r.pids[i] != pid {
			// Another process of the same controller: its time counts on from the former one's.
			r.former[i] = r.controllers[i][last].CPUSeconds
		}
		r.pids[i] = pid
		usage.CPUSeconds += r.former[i]
		r.controllers[i] = append(r.controllers[i], usage)
	}
	for i, a := range r.run.agents {
		if usage, err := cluster.Sample(a.PID()); err == nil {
			r.agents[i] = append(r.agents[i], usage)
		}
	}
	usage, err := cluster.SampleSelf()
	if err != nil {
		r.err = err
		return
	}
	r.self = append(r.self, usage)
	r.tasks += r.run.cluster.Running()
	r.n++
}

// stop ends the recording and gives what was measured.
func (r *recording) stop(name string, workers int) (*ScaleStep, error) {
	close(r.quit)
	<-r.done
	if r.err != nil {
		return nil, r.err
	}
	if err := r.run.ctx.Err(); err != nil {
		return nil, err
	}
	if total, err := cluster.MemoryBytes(); err != nil {
		return nil, err
	} else if held := r.memory(); held > memoryShare*float64(total) {
		return nil, fmt.Errorf("all processes hold %.0f MB, over %.0f%% of this machine's memory; choose smaller --sizes", held/(1<<20), 100*memoryShare)
	}
	seconds := time.Since(r.began).Seconds()
	step := &ScaleStep{Name: name, Workers: workers, Seconds: seconds, Tasks: r.tasks / max(1, r.n), Starts: float64(r.run.audit.Starts()-r.starts) / seconds,
		Hollow: r.self.figures(seconds), Traffic: map[string]Flow{}, Writes: map[string]float64{}, Jobs: r.run.unfinished()}
	leader := r.run.cluster.Leader()
	for i, x := range r.run.cluster.Controllers {
		f := r.controllers[i].figures(seconds)
		if x == leader {
			step.Leader = f
		} else if f.CPUMean >= step.Follower.CPUMean {
			step.Follower = f
		}
	}
	step.Agents = meanFigures(r.agents, seconds)
	for kind, count := range cluster.CountsBetween(r.traffic, r.run.cluster.Traffic.Snapshot()) {
		step.Traffic[kind] = Flow{float64(count.Messages) / seconds, float64(count.Bytes) / seconds}
	}
	for kind, n := range r.run.cluster.State.Changes() {
		if n -= r.changes[kind]; n > 0 {
			step.Writes[kind] = float64(n) / seconds
		}
	}
	step.Changes = r.run.changer.figures()
	r.run.reportDelays(name)
	users := r.run.users
	step.Waits = users.waits(r.began, time.Now().Add(-waitsFor))
	users.note(func() {
		step.Submissions, step.Dones = latencyOf(users.submissions), latencyOf(users.dones)
		step.Refused, step.Polls, step.PollsFailed = users.refused, users.polls, users.failed
	})
	return step, nil
}

// reportDelays prints the delays of a span's heartbeats.
func (run *scaleRun) reportDelays(name string) {
	delays := run.cluster.TakeDelays()
	responses, overtaken := latencyOf(delays.Heartbeats), latencyOf(delays.DirectCommandLead)
	run.Progress("%s: %d responses to heartbeats, p50 %d ms, p99 %d ms, longest %d ms; %d came after a direct command that overtook the heartbeat, p99 %d ms, longest %d ms later",
		name, responses.Count, responses.P50, responses.P99, responses.Most, overtaken.Count, overtaken.P99, overtaken.Most)
}

// waitsFor is the age from which on a job without a start counts as one that waits.
const waitsFor = 4 * time.Second

// memory is what all processes held in the end.
func (r *recording) memory() (bytes float64) {
	for _, u := range append(append([]usages{r.self}, r.controllers...), r.agents...) {
		if len(u) > 0 {
			bytes += float64(u[len(u)-1].MemoryBytes)
		}
	}
	return bytes
}

func meanFigures(all []usages, seconds float64) (mean ProcessFigures) {
	for _, u := range all {
		f := u.figures(seconds)
		mean.CPUMean += f.CPUMean / float64(len(all))
		mean.CPUP99 += f.CPUP99 / float64(len(all))
		mean.MemoryMB += f.MemoryMB / float64(len(all))
		mean.Descriptors = max(mean.Descriptors, f.Descriptors)
		mean.Threads = max(mean.Threads, f.Threads)
	}
	return mean
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Most: h.Max()}
}

// measure measures a span of so many seconds.
func (run *scaleRun) measure(name string, workers int, seconds float64) (*ScaleStep, error) {
	r := run.record()
	if !run.cluster.Sleep(span(seconds)) {
		return nil, run.ctx.Err()
	}
	return r.stop(name, workers)
}

// unfinished is how many accepted jobs are not over for their users.
func (run *scaleRun) unfinished() (n int) {
	run.audit.Jobs(func(j *cluster.AuditedJob) {
		if !j.Accepted.IsZero() && j.TerminalState == "" {
			n++
		}
	})
	return n
}

func span(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
