package membership

// Observation is an input of MemberList.Step: a Hello, a Connection or a LocalState.
type Observation interface{ isObservation() }

// Hello is the state that a member reports about itself at regular intervals.
type Hello struct {
	From string
	// StartedMS is the start time of the member's process, in milliseconds on its own clock, or 0 if not
	// reported. It serves as the incarnation number: hellos of an earlier process are ignored.
	StartedMS uint64
	// HeardPeers are the members from which the sender receives hellos.
	HeardPeers []string
	// Leads is true if the sender is the leader, which workers must be able to reach.
	Leads bool
	// StateOK is true if the sender reaches the state service.
	StateOK bool
	// ReceivesHeartbeats is true if the sender recently received a heartbeat from a worker.
	ReceivesHeartbeats bool
	// BenchmarkUS is the processor time in microseconds of a fixed benchmark, or 0 if not reported.
	BenchmarkUS uint32
	// Leaving is true if the sender is shutting down.
	Leaving bool
}

// Connection is the outcome of an attempt to connect to the member To, or of an established connection to it.
type Connection struct {
	To      string
	Outcome ConnectionOutcome
}

// ConnectionOutcome is the result of an attempt to connect to a member, or how an established connection ended.
type ConnectionOutcome int

const (
	// Established means that the attempt succeeded.
	Established ConnectionOutcome = iota
	// Refused means that the member's host refused the attempt.
	Refused
	// Reset means that an established connection was reset.
	Reset
	// TimedOut means that the attempt failed, or the established connection ended, without a response from the
	// member.
	TimedOut
	// NoSocket means that this controller has no free socket; it is no evidence about the member.
	NoSocket
)

// LocalState is the state of this controller itself. The fields have the same meaning as in Hello.
type LocalState struct{ Leads, StateOK, ReceivesHeartbeats bool }

func (Hello) isObservation()      {}
func (Connection) isObservation() {}
func (LocalState) isObservation() {}
