package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Faults of a single controller affect the fault's target. Outbound and inbound are the directions
// of messages as controllers see them.
const (
	// Kill kills a controller and restarts it when the fault ends.
	Kill Kind = "kill"
	// KillSeries kills the leader and its successors one after the other.
	KillSeries Kind = "kill-series"
	// KillAll kills all controllers and restarts them when the fault ends.
	KillAll Kind = "kill-all"
	// Pause suspends a controller's process while the clocks advance.
	Pause Kind = "pause"
	// CutFromState blocks what a controller sends to the state service.
	CutFromState Kind = "cut-from-state"
	// CutFromPeers cuts the connections between a controller and its peers in both directions.
	CutFromPeers Kind = "cut-from-peers"
	// CutFromBoth combines CutFromState and CutFromPeers.
	CutFromBoth Kind = "cut-from-both"
	// Refused makes the state service refuse the requests of one controller.
	Refused Kind = "refused"
	// RefusedThenOutage is Refused for the first half of its duration and Outage for the second half.
	RefusedThenOutage Kind = "refused-then-outage"
	// Outage makes the state service refuse all requests.
	Outage Kind = "outage"
	// SlowState delays all requests to the state service.
	SlowState Kind = "slow-state"
	// LateAnswers delays some answers of the state service.
	LateAnswers Kind = "late-answers"
	// LostAnswers drops some of the state service's answers to transactions.
	LostAnswers Kind = "lost-answers"
	// LateWrites makes the state service execute some transactions late.
	LateWrites Kind = "late-writes"
	// LostHeartbeats drops a share of the heartbeats of all workers.
	LostHeartbeats Kind = "lost-heartbeats"
	// RepeatedHeartbeats repeats a share of the heartbeats of all workers.
	RepeatedHeartbeats Kind = "repeated-heartbeats"
	// LateCommands delays a share of the commands to all workers.
	LateCommands Kind = "late-commands"
	// RepeatedCommands executes a share of the commands to all workers once more after they were answered.
	RepeatedCommands Kind = "repeated-commands"
	// HeldCommands interrupts the path of commands to half of the workers, each time others, first with the state service
	// and then without it, for longer than the tasks of a cancelled job may run. The commands are executed when the path
	// is restored. It is injected only if it is named, since terms hardly change beside it.
	HeldCommands Kind = "held-commands"
	// OutboundLostWorkers drops all messages to a fifth of the workers.
	OutboundLostWorkers Kind = "deaf-workers"
	// InboundLostWorkers drops all messages from a fifth of the workers.
	InboundLostWorkers Kind = "mute-workers"
	// RestartedWorkers restarts a fifth of the workers, which lose their tasks.
	RestartedWorkers Kind = "restarted-workers"
	// HungWorkers makes a fifth of the workers hang until the fault ends.
	HungWorkers Kind = "hung-workers"
	// FailedWorkers ends a tenth of the workers permanently, without notice.
	FailedWorkers Kind = "dying-workers"
	// PreemptedWorkers ends a tenth of the workers permanently. The fault lasts from the preemption notice to their
	// end.
	PreemptedWorkers Kind = "noticed-workers"
	// SlowHeartbeats slows heartbeats in both directions while direct commands stay fast.
	SlowHeartbeats Kind = "slow-heartbeats"
	// SlowCommands slows direct commands while heartbeats stay fast.
	SlowCommands Kind = "slow-commands"
	// FailingStarts makes a share of all task starts fail or be refused at once.
	FailingStarts Kind = "failing-starts"
	// SlowPeers delays the messages between controllers.
	SlowPeers Kind = "slow-peers"
	// FlappingPeers repeatedly cuts a controller off from its peers, alternately in both directions and only for its
	// replies.
	FlappingPeers Kind = "flapping-peers"
	// cutReplies, a phase of FlappingPeers, blocks what a controller sends to its peers. It never occurs by itself.
	cutReplies Kind = "cut-replies"
	// CancelWave makes the users of many jobs cancel them at once.
	CancelWave Kind = "cancel-wave"
)

// durationRange is the range of a fault's duration.
type durationRange struct{ shortest, longest time.Duration }

// durations has the range of durations for each kind of fault.
var durations = map[Kind]durationRange{
	Kill:                {50 * time.Millisecond, 3 * time.Second},
	KillSeries:          {4 * time.Second, 8 * time.Second},
	KillAll:             {50 * time.Millisecond, 2 * time.Second},
	Pause:               {300 * time.Millisecond, 4 * time.Second},
	CutFromState:        {time.Second, 8 * time.Second},
	CutFromPeers:        {time.Second, 8 * time.Second},
	CutFromBoth:         {time.Second, 8 * time.Second},
	Refused:             {time.Second, 6 * time.Second},
	RefusedThenOutage:   {2 * time.Second, 8 * time.Second},
	Outage:              {500 * time.Millisecond, 5 * time.Second},
	SlowState:           {2 * time.Second, 10 * time.Second},
	LateAnswers:         {2 * time.Second, 10 * time.Second},
	LostAnswers:         {2 * time.Second, 10 * time.Second},
	LateWrites:          {2 * time.Second, 10 * time.Second},
	LostHeartbeats:      {2 * time.Second, 10 * time.Second},
	RepeatedHeartbeats:  {2 * time.Second, 10 * time.Second},
	LateCommands:        {2 * time.Second, 10 * time.Second},
	RepeatedCommands:    {2 * time.Second, 10 * time.Second},
	HeldCommands:        {time.Second, heldWithState + heldInOutage},
	OutboundLostWorkers: {time.Second, 8 * time.Second},
	InboundLostWorkers:  {time.Second, 8 * time.Second},
	RestartedWorkers:    {100 * time.Millisecond, 200 * time.Millisecond},
	HungWorkers:         {time.Second, 7 * time.Second},
	FailedWorkers:       {100 * time.Millisecond, 200 * time.Millisecond},
	PreemptedWorkers:    {time.Second, 3 * time.Second},
	SlowHeartbeats:      {3 * time.Second, 10 * time.Second},
	SlowCommands:        {2 * time.Second, 10 * time.Second},
	FailingStarts:       {3 * time.Second, 10 * time.Second},
	SlowPeers:           {2 * time.Second, 8 * time.Second},
	FlappingPeers:       {5 * time.Second, 12 * time.Second},
	CancelWave:          {200 * time.Millisecond, 400 * time.Millisecond},
}

// Kinds returns all kinds of faults that can be scheduled, sorted.
func Kinds() []Kind { return slices.Sorted(maps.Keys(durations)) }

// DefaultKinds returns the kinds of faults that are scheduled if none are named, sorted.
func DefaultKinds() []Kind {
	return slices.DeleteFunc(Kinds(), func(kind Kind) bool { return kind == HeldCommands })
}

// Target is the controller that a fault affects: TheLeader or an index in cluster.Controllers.
type Target int

// TheLeader is the controller that leads when the fault begins.
const TheLeader Target = -1

// Fault is one fault of a schedule. It begins at At, counted from the beginning of the run, and lasts For.
type Fault struct {
	Kind    Kind
	At, For time.Duration
	Target  Target
}

// End returns when the fault ends, counted from the beginning of the run.
func (f Fault) End() time.Duration { return f.At + f.For }

// String returns the kind, target, start and duration of the fault.
func (f Fault) String() string {
	target := fmt.Sprintf("n%d", f.Target)
	if f.Target == TheLeader {
		target = "leader"
	}
	return fmt.Sprintf("%s %s at %.1f s for %.1f s", f.Kind, target, f.At.Seconds(), f.For.Seconds())
}

const (
	// faultInterval is the mean time between the beginnings of two faults. Faults last about four seconds, so two or three
	// overlap.
	faultInterval = 1500 * time.Millisecond
	// quietStart is the time from the beginning of a run to its first fault.
	quietStart = time.Second
	// leaderShare is the probability that a fault targets the leader rather than a random controller.
	leaderShare = 0.6
)

// openingFaults are the kinds of faults that every run begins with, if they are enabled. They make start commands cross
// in transit with exit reports and stop commands.
var openingFaults = []Kind{SlowHeartbeats, FailingStarts}

// openingDuration is the duration of the opening faults.
const openingDuration = 6 * time.Second

// permanentFaults are the kinds of faults that last from quietStart to the end of a run, if they are enabled, and are not
// drawn: copies of commands, and commands that were held, arrive beside every other fault.
var permanentFaults = []Kind{RepeatedCommands, HeldCommands}

// DrawSchedule returns the schedule for a seed, sorted by start: the permanent and the opening faults, then random faults
// of the other kinds. All begin and end within the duration.
func DrawSchedule(seed uint64, kinds []Kind, controllers int, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var faults []Fault
	for _, kind := range permanentFaults {
		if slices.Contains(kinds, kind) {
			faults = append(faults, Fault{Kind: kind, At: quietStart, For: duration - quietStart, Target: TheLeader})
		}
	}
	kinds = slices.DeleteFunc(slices.Clone(kinds), func(kind Kind) bool { return slices.Contains(permanentFaults, kind) })
	for _, kind := range openingFaults {
		if slices.Contains(kinds, kind) {
			faults = append(faults, Fault{Kind: kind, At: quietStart, For: min(openingDuration, duration-quietStart), Target: TheLeader})
		}
	}
	for at := quietStart; at < duration && len(kinds) > 0; at += time.Duration(rng.ExpFloat64() * float64(faultInterval)) {
		fault := Fault{Kind: kinds[rng.IntN(len(kinds))], At: at, Target: Target(rng.IntN(controllers))}
		lengths := durations[fault.Kind]
		fault.For = lengths.shortest + time.Duration(rng.Int64N(int64(lengths.longest-lengths.shortest)))
		if rng.Float64() < leaderShare {
			fault.Target = TheLeader
		}
		if fault.For = min(fault.For, duration-at); fault.For >= lengths.shortest {
			faults = append(faults, fault)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// formatFaults returns the faults as one line of text.
func formatFaults(faults []Fault) string {
	texts := make([]string, len(faults))
	for i, fault := range faults {
		texts[i] = fault.String()
	}
	return strings.Join(texts, "; ")
}
