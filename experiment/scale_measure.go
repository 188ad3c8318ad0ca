package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"switchferry/internal/cluster"
)

// usageSamples are the samples of one process, one per second.
type usageSamples []cluster.Usage

func (u usageSamples) figures(seconds float64) ProcessFigures {
	if len(u) < 2 {
		return ProcessFigures{}
	}
	f := ProcessFigures{CPUMean: (u[len(u)-1].CPUSeconds - u[0].CPUSeconds) / seconds}
	var cpuPerSecond []float64
	for i, sample := range u {
		if i > 0 {
			cpuPerSecond = append(cpuPerSecond, sample.CPUSeconds-u[i-1].CPUSeconds)
		}
		f.MemoryMB = max(f.MemoryMB, float64(sample.MemoryBytes)/(1<<20))
		f.Descriptors = max(f.Descriptors, sample.Descriptors)
		f.Threads = max(f.Threads, sample.Threads)
	}
	slices.Sort(cpuPerSecond)
	f.CPUP99 = cpuPerSecond[min(len(cpuPerSecond)-1, len(cpuPerSecond)*99/100)]
	return f
}

// recording samples all processes once per second until it is stopped.
type recording struct {
	run   *scaleRun
	began time.Time
	quit  chan struct{}
	done  chan struct{}

	controllers []usageSamples
	// pids are the controllers' latest processes; formerCPUSeconds is the CPU time of the processes before them.
	pids             []int
	formerCPUSeconds []float64
	agents           []usageSamples
	self             usageSamples
	// traffic, changes and starts are the counts at the beginning of the recording.
	traffic map[string]cluster.Count
	changes map[string]int
	starts  int
	// taskSum is the sum of the numbers of running tasks over all samples.
	taskSum, samples int
	err              error
}

func (run *scaleRun) record() *recording {
	r := &recording{run: run, began: time.Now(), quit: make(chan struct{}), done: make(chan struct{}), traffic: run.cluster.Traffic.Snapshot(), changes: run.cluster.State.Changes(), starts: run.audit.Starts(),
		controllers: make([]usageSamples, len(run.cluster.Controllers)), pids: make([]int, len(run.cluster.Controllers)), formerCPUSeconds: make([]float64, len(run.cluster.Controllers)), agents: make([]usageSamples, len(run.agents))}
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
			continue // The process has just ended.
		}
		if last := len(r.controllers[i]) - 1; last >= 0 && r.pids[i] != pid {
			// The controller was restarted: add the CPU time of its former processes.
			r.formerCPUSeconds[i] = r.controllers[i][last].CPUSeconds
		}
		r.pids[i] = pid
		usage.CPUSeconds += r.formerCPUSeconds[i]
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
	r.taskSum += r.run.cluster.RunningTasks()
	r.samples++
}

// stop ends the recording and returns the measurements. It returns an error if the processes use more than
// maxMemoryShare of the machine's memory.
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
	} else if held := r.memoryBytes(); held > maxMemoryShare*float64(total) {
		return nil, fmt.Errorf("all processes hold %.0f MB, over %.0f%% of this machine's memory; choose smaller --sizes", held/(1<<20), 100*maxMemoryShare)
	}
	seconds := time.Since(r.began).Seconds()
	step := &ScaleStep{Name: name, Workers: workers, Seconds: seconds, Tasks: r.taskSum / max(1, r.samples), Starts: float64(r.run.audit.Starts()-r.starts) / seconds,
		ThisProcess: r.self.figures(seconds), Traffic: map[string]Flow{}, Writes: map[string]float64{}, Jobs: r.run.unfinished()}
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
	step.Waits = users.startWaits(r.began, time.Now().Add(-minWaitAge))
	users.locked(func() {
		step.Submissions, step.TimeToDone = latencyOf(users.submissionLatency), latencyOf(users.doneDelay)
		step.Refused, step.Polls, step.PollsFailed = users.refused, users.polls, users.failedPolls
	})
	return step, nil
}

// reportDelays passes the heartbeat latencies since the last call of TakeDelays to Progress.
func (run *scaleRun) reportDelays(name string) {
	delays := run.cluster.TakeDelays()
	responses, overtaken := latencyOf(delays.Heartbeats), latencyOf(delays.DirectCommandLead)
	run.Progress("%s: %d responses to heartbeats, p50 %d ms, p99 %d ms, longest %d ms; %d came after a direct command that overtook the heartbeat, p99 %d ms, longest %d ms later",
		name, responses.Count, responses.P50, responses.P99, responses.Max, overtaken.Count, overtaken.P99, overtaken.Max)
}

// minWaitAge is the minimum age of the jobs that count in the start waits; younger ones may not have started yet.
const minWaitAge = 4 * time.Second

// memoryBytes returns the memory of all processes at the last sample, in bytes.
func (r *recording) memoryBytes() (bytes float64) {
	for _, u := range append(append([]usageSamples{r.self}, r.controllers...), r.agents...) {
		if len(u) > 0 {
			bytes += float64(u[len(u)-1].MemoryBytes)
		}
	}
	return bytes
}

func meanFigures(all []usageSamples, seconds float64) (mean ProcessFigures) {
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
	return Latency{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

// measure measures a period of the given length.
func (run *scaleRun) measure(name string, workers int, seconds float64) (*ScaleStep, error) {
	r := run.record()
	if !run.cluster.Sleep(secondsDuration(seconds)) {
		return nil, run.ctx.Err()
	}
	return r.stop(name, workers)
}

// unfinished returns the number of accepted jobs for which no terminal state has been reported to a user.
func (run *scaleRun) unfinished() (n int) {
	run.audit.Jobs(func(j *cluster.AuditedJob) {
		if !j.Accepted.IsZero() && j.TerminalState == "" {
			n++
		}
	})
	return n
}

func secondsDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
