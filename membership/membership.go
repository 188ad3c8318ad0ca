// Package membership tracks the state of the controllers, as one of them sees it: which are alive, slow,
// suspected and of what, failed, leaving or restarted, and whether this controller is in trouble itself.
//
// MemberList is a step function: observations and the time go in, changes of level with their reasons come
// out. It does no I/O, has no lock, clock or goroutine, and the same observations give the same changes.
// Watcher runs one in a process. docs/membership.md has the approaches and their sources.
package membership

// Level is a member's state as this controller sees it.
type Level string

// The levels, from the best to the worst. Unknown means that nothing was received from the member yet.
// Suspected is reversible, and so is all that follows from it. Left means that the member announced its
// shutdown.
const (
	Unknown   Level = "unknown"
	Alive     Level = "alive"
	Slow      Level = "slow"
	Suspected Level = "suspected"
	Failed    Level = "failed"
	Left      Level = "left"
)

// The parts of a member that can be in trouble independently of each other. Link is the connection between
// the member and this controller or, for this controller itself, those to all others.
const (
	Process = "process"
	Link    = "link"
	Workers = "workers"
	State   = "state service"
)

// Change is a member's transition to another level, or to other parts in trouble.
type Change struct {
	Member   string
	From, To Level
	Parts    []string
	// Why is the reason, for operators.
	Why string
}

// View describes a member at one moment, for operators.
type View struct {
	Member string `json:"member"`
	Self   bool   `json:"self"`
	Level  Level  `json:"level"`
	// Parts are those in trouble.
	Parts []string `json:"parts"`
	Why   string   `json:"why"`
	// ForS is for how many seconds the member has had this level.
	ForS float64 `json:"for_s"`
	// QuietS is for how many seconds nothing was received from it, Phi how unlikely that is, as -log10 of
	// its probability.
	QuietS float64 `json:"quiet_s"`
	Phi    float64 `json:"phi"`
	// HeardPeers are the members from which it receives hellos, as it states itself.
	HeardPeers []string `json:"hears"`
}
