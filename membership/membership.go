// Package membership tracks the state of all controllers from the point of view of one of them: which are alive,
// slow, suspected, failed, shutting down or restarted, which of their components are impaired, and whether this
// controller is impaired itself.
//
// MemberList is a deterministic state machine: its input is observations and the time, its output is changes of
// level with their reasons. It does no I/O and has no lock, clock or goroutine. Watcher runs a MemberList in a
// process. docs/membership.md describes the algorithms and their sources.
package membership

// Level is a member's state as this controller sees it.
type Level string

// The levels of a member.
const (
	// Unknown means that no hello has been received from the member yet.
	Unknown Level = "unknown"
	// Alive means that the member's hellos arrive on time. Components of it may still be impaired.
	Alive Level = "alive"
	// Slow means that the member is alive, but much slower than another controller.
	Slow Level = "slow"
	// Suspected means that the member may have failed or that a component of it is impaired. The level is
	// reversible, and so is every action that follows from it.
	Suspected Level = "suspected"
	// Failed means that neither this controller nor any other receives the member's hellos, as at least one
	// other controller confirms.
	Failed Level = "failed"
	// Left means that the member announced its shutdown.
	Left Level = "left"
)

// The components of a member that can be impaired independently of each other.
const (
	// Process is the member's process.
	Process = "process"
	// Link is the network between the member and this controller or, for this controller itself, between it
	// and all others.
	Link = "link"
	// Workers is the path by which workers' heartbeats reach the member.
	Workers = "workers"
	// State is the member's access to the state service.
	State = "state service"
)

// Change is a member's transition to another level or to another set of impaired components.
type Change struct {
	Member   string
	From, To Level
	// ImpairedComponents has those of Process, Link, Workers and State that are impaired after the change.
	ImpairedComponents []string
	// Reason explains the change to operators.
	Reason string
}

// View is a snapshot of a member's state, for operators.
type View struct {
	Member string `json:"member"`
	Self   bool   `json:"self"`
	Level  Level  `json:"level"`
	// ImpairedComponents are the impaired components.
	ImpairedComponents []string `json:"parts"`
	Reason             string   `json:"why"`
	// LevelSeconds is the time in seconds since the level or the impaired components last changed.
	LevelSeconds float64 `json:"for_s"`
	// SilentSeconds is the time in seconds since the member's last hello, less the pauses of this controller.
	SilentSeconds float64 `json:"quiet_s"`
	// Phi is the suspicion level: -log10 of the probability of this silence.
	Phi float64 `json:"phi"`
	// HeardPeers are the members from which the member reports to receive hellos.
	HeardPeers []string `json:"hears"`
}
