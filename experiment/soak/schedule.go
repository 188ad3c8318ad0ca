package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Those of a controller meet the fault's target.
const (
	// Kill ends a controller, which starts again when the fault ends.
	Kill Kind = "kill"
	// KillSeries ends the leader, and its successors, one after the other.
	KillSeries Kind = "kill-series"
	// KillAll ends all controllers.
	KillAll Kind = "kill-all"
	// Pause suspends a controller while its clocks run on.
	Pause Kind = "pause"
	// CutFromState, CutFromPeers and CutFromBoth hold up what a controller sends to the state service and to its peers.
	CutFromState Kind = "cut-from-state"
	CutFromPeers Kind = "cut-from-peers"
	CutFromBoth  Kind = "cut-from-both"
	// Refused has the state service refuse a controller; RefusedThenOutage has it refuse all of them from half of the time on.
	Refused           Kind = "refused"
	RefusedThenOutage Kind = "refused-then-outage"
	// Outage has the state service refuse all.
	Outage Kind = "outage"
	// SlowState delays all that the state service is asked, and LateAnswers some answers; LostAnswers loses those to transactions, and LateWrites executes these
	// later.
	SlowState   Kind = "slow-state"
	LateAnswers Kind = "late-answers"
	LostAnswers Kind = "lost-answers"
	LateWrites  Kind = "late-writes"
	// LostHeartbeats, RepeatedHeartbeats and LateCommands meet a share of the messages of all workers.
	LostHeartbeats     Kind = "lost-heartbeats"
	RepeatedHeartbeats Kind = "repeated-heartbeats"
	LateCommands       Kind = "late-commands"
	// DeafWorkers receive nothing, and of MuteWorkers nothing is received; RestartedWorkers lose their tasks, and HungWorkers
	// do nothing until the fault ends. They meet a fifth of the workers.
	DeafWorkers      Kind = "deaf-workers"
	MuteWorkers      Kind = "mute-workers"
	RestartedWorkers Kind = "restarted-workers"
	HungWorkers      Kind = "hung-workers"
	// DyingWorkers end for good, and NoticedWorkers once their notice is over; both meet one in ten.
	DyingWorkers   Kind = "dying-workers"
	NoticedWorkers Kind = "noticed-workers"
	// SlowHeartbeats are slow in both directions while direct commands are quick, and SlowCommands the reverse.
	SlowHeartbeats Kind = "slow-heartbeats"
	SlowCommands   Kind = "slow-commands"
	// FailingStarts has a share of all starts fail or be refused at once.
	FailingStarts Kind = "failing-starts"
	// SlowPeers delays what controllers send each other. FlappingPeers cuts a controller off from its peers again and again, at
	// first in both directions and then in that of its replies alone.
	SlowPeers     Kind = "slow-peers"
	FlappingPeers Kind = "flapping-peers"
	// cutReplies, a phase of FlappingPeers, holds up what a controller sends to its peers. It is not played by itself.
	cutReplies Kind = "cut-replies"
	// CancelWave has the users of many jobs cancel them at once.
	CancelWave Kind = "cancel-wave"
)

// span is the shortest and the longest time that a fault lasts.
type span struct{ shortest, longest time.Duration }

// durations are how long faults of each kind last.
var durations = map[Kind]span{
	Kill:               {50 * time.Millisecond, 3 * time.Second},
	KillSeries:         {4 * time.Second, 8 * time.Second},
	KillAll:            {50 * time.Millisecond, 2 * time.Second},
	Pause:              {300 * time.Millisecond, 4 * time.Second},
	CutFromState:       {time.Second, 8 * time.Second},
	CutFromPeers:       {time.Second, 8 * time.Second},
	CutFromBoth:        {time.Second, 8 * time.Second},
	Refused:            {time.Second, 6 * time.Second},
	RefusedThenOutage:  {2 * time.Second, 8 * time.Second},
	Outage:             {500 * time.Millisecond, 5 * time.Second},
	SlowState:          {2 * time.Second, 10 * time.Second},
	LateAnswers:        {2 * time.Second, 10 * time.Second},
	LostAnswers:        {2 * time.Second, 10 * time.Second},
	LateWrites:         {2 * time.Second, 10 * time.Second},
	LostHeartbeats:     {2 * time.Second, 10 * time.Second},
	RepeatedHeartbeats: {2 * time.Second, 10 * time.Second},
	LateCommands:       {2 * time.Second, 10 * time.Second},
	DeafWorkers:        {time.Second, 8 * time.Second},
	MuteWorkers:        {time.Second, 8 * time.Second},
	RestartedWorkers:   {100 * time.Millisecond, 200 * time.Millisecond},
	HungWorkers:        {time.Second, 7 * time.Second},
	DyingWorkers:       {100 * time.Millisecond, 200 * time.Millisecond},
	NoticedWorkers:     {time.Second, 3 * time.Second},
	SlowHeartbeats:     {3 * time.Second, 10 * time.Second},
	SlowCommands:       {2 * time.Second, 10 * time.Second},
	FailingStarts:      {3 * time.Second, 10 * time.Second},
	SlowPeers:          {2 * time.Second, 8 * time.Second},
	FlappingPeers:      {5 * time.Second, 12 * time.Second},
	CancelWave:         {200 * time.Millisecond, 400 * time.Millisecond},
}

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(durations))
	for kind := range durations {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// Target is the controller that a fault meets.
type Target int

// TheLeader is the controller that leads when the fault begins. Other targets are the controllers' numbers.
const TheLeader Target = -1

// Fault is one fault of a schedule. At is when it begins, counted from the beginning of the run.
type Fault struct {
	Kind    Kind
	At, For time.Duration
	Target  Target
}

// End is when the fault ends.
func (f Fault) End() time.Duration { return f.At + f.For }

// String returns the fault as it is printed.
func (f Fault) String() string {
	target := fmt.Sprintf("n%d", f.Target)
	if f.Target == TheLeader {
		target = "leader"
	}
	return fmt.Sprintf("%s %s at %.1f s for %.1f s", f.Kind, target, f.At.Seconds(), f.For.Seconds())
}

const (
	// faultInterval is the mean time between the beginnings of two faults. Faults last some four seconds, so that two or three
	// overlap.
	faultInterval = 1500 * time.Millisecond
	// quietStart is how long a run goes on before its first fault.
	quietStart = time.Second
	// leaderShare is the share of faults of a controller that meet the leader.
	leaderShare = 0.6
)

// opening are faults with which each run begins, if their kinds are played: starts cross with exits and stops then.
var opening = []Kind{SlowHeartbeats, FailingStarts}

// openingFor is how long the opening lasts.
const openingFor = 6 * time.Second

// Draw draws the schedule of a run from some kinds of faults, after the opening: all begin and end within the duration.
func Draw(seed uint64, kinds []Kind, controllers int, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var faults []Fault
	for _, kind := range opening {
		if slices.Contains(kinds, kind) {
			faults = append(faults, Fault{Kind: kind, At: quietStart, For: min(openingFor, duration-quietStart), Target: TheLeader})
		}
	}
	for at := quietStart; at < duration; at += time.Duration(rng.ExpFloat64() * float64(faultInterval)) {
		fault := Fault{Kind: kinds[rng.IntN(len(kinds))], At: at, Target: Target(rng.IntN(controllers))}
		lasts := durations[fault.Kind]
		fault.For = lasts.shortest + time.Duration(rng.Int64N(int64(lasts.longest-lasts.shortest)))
		if rng.Float64() < leaderShare {
			fault.Target = TheLeader
		}
		if fault.For = min(fault.For, duration-at); fault.For >= lasts.shortest {
			faults = append(faults, fault)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// describe lists faults in one line.
func describe(faults []Fault) string {
	texts := make([]string, len(faults))
	for i, fault := range faults {
		texts[i] = fault.String()
	}
	return strings.Join(texts, "; ")
}
