package membership

// Observation is one of Hello, Connection and LocalState.
type Observation interface{ isObservation() }

// Hello is what a member states of itself, at regular intervals.
type Hello struct {
	From string
	// StartedMS is when the member's process started, in milliseconds on its own clock, or 0 if it does not
	// say. It serves as the incarnation: of contradicting hellos that of the later process counts.
	StartedMS uint64
	// HeardPeers are the members from which it receives hellos.
	HeardPeers []string
	// Leads means that it is the leader, which workers must be able to reach, StateOK that it reaches the
	// state service, ReceivesHeartbeats that a worker reported to it recently.
	Leads, StateOK, ReceivesHeartbeats bool
	// BenchmarkUS is the processor time in microseconds of a fixed piece of work, or 0 if it does not say.
	BenchmarkUS uint32
	// Leaving announces the member's shutdown.
	Leaving bool
}

// Connection is the outcome of an attempt to connect to a member, or the end of an established connection.
type Connection struct {
	To      string
	Outcome Outcome
}

// Outcome is what became of a connection to a member.
type Outcome int

const (
	// Established means that the attempt succeeded.
	Established Outcome = iota
	// Refused means that the member's host refused the attempt.
	Refused
	// Reset means that an established connection was reset.
	Reset
	// Hanging means that the attempt got no answer.
	Hanging
	// NoSocket means that this controller has no socket left, which says nothing of the member.
	NoSocket
)

// LocalState is what this controller states of itself, as in Hello.
type LocalState struct{ Leads, StateOK, ReceivesHeartbeats bool }

func (Hello) isObservation()      {}
func (Connection) isObservation() {}
func (LocalState) isObservation() {}
