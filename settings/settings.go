// Package settings reads and checks the platform's settings file, which every controller is started
// with. The file's own names stand only in the struct tags and in the messages of errors.
package settings

import "math"

// Settings is the content of the settings file.
type Settings struct {
	// Member is this controller's name, Zone where it is.
	Member string `toml:"member"`
	Zone   string `toml:"site"`
	// Listen is the address for users, workers and health checks, PeerListen that for other controllers.
	Listen     string `toml:"serve_on"`
	PeerListen string `toml:"back"`
	// Peers are the other controllers.
	Peers    []Peer   `toml:"siblings"`
	External External `toml:"external"`
	Facts    Facts    `toml:"facts"`
}

// Peer is another controller.
type Peer struct {
	Member  string `toml:"member"`
	Zone    string `toml:"site"`
	Address string `toml:"address"`
}

// External holds the addresses of the services that controllers depend on.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Facts describes the deployment.
type Facts struct {
	// Nodes is the number of controllers.
	Nodes int      `toml:"nodes"`
	Zones []string `toml:"zones"`
	// MaxClockErrorMS bounds how far a time of day is from the true time, in milliseconds.
	MaxClockErrorMS float64     `toml:"clock_off_ms"`
	Teams           []Team      `toml:"teams"`
	Objectives      []Objective `toml:"objectives"`
	Workers         Workers     `toml:"workers"`
	State           State       `toml:"state"`
	Cloud           Cloud       `toml:"cloud"`
	Resources       Resources   `toml:"resources"`
}

// Team has the guarantee and the limit of a team. An amount of 0 means none.
type Team struct {
	Name string `toml:"name"`
	// CPUs and Cards are guaranteed processors and accelerators; the others limit what the team uses.
	CPUs     float64 `toml:"cpus"`
	CPUsMax  float64 `toml:"cpus_max"`
	Cards    float64 `toml:"gpus"`
	CardsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	// Kind is "wait", for the time until a start, or "deadline", for that until the end.
	Kind  string `toml:"kind"`
	Class string `toml:"class"`
	// WithinS is the longest wait in seconds.
	WithinS float64 `toml:"within_s"`
	// Share is the share of the jobs that should meet the objective.
	Share float64 `toml:"share"`
	// Times multiplies the deadline of a job.
	Times float64 `toml:"times"`
}

// Workers holds the times that workers go by, in seconds.
type Workers struct {
	// ReportS is the interval of heartbeats.
	ReportS float64 `toml:"report_s"`
	// LeaseS is how long a worker keeps its tasks without an answer to a heartbeat.
	LeaseS float64 `toml:"lease_s"`
	// CancelS is within what time the tasks of a cancelled job must be gone.
	CancelS float64 `toml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	// RPS and WriteRPS are requests, and puts and deletes, per second.
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	// ValueKB is the size of a value in KiB.
	ValueKB float64 `toml:"value_kb"`
	// TxnOps is the number of puts and deletes of a transaction.
	TxnOps int `toml:"txn_ops"`
	// Next are the limits that will hold from some moment on, without notice.
	Next NextState `toml:"next"`
}

// NextState holds the announced limits of the state service; a limit of 0 stays as it is.
type NextState struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Least returns the limits that hold whether or not the announced ones are in force. Everything stored has
// to be within them from the start, since it is written again later.
func (state State) Least() State {
	if n := state.Next.WriteRPS; n > 0 {
		state.WriteRPS = math.Min(state.WriteRPS, n)
	}
	if n := state.Next.ValueKB; n > 0 {
		state.ValueKB = math.Min(state.ValueKB, n)
	}
	if n := state.Next.TxnOps; n > 0 {
		state.TxnOps = min(state.TxnOps, n)
	}
	return state
}

// ValueBytes returns the largest size of a value in bytes.
func (state State) ValueBytes() int { return int(state.ValueKB * 1024) }

// Cloud holds the limits of the cloud.
type Cloud struct {
	// RPS is requests per second.
	RPS float64 `toml:"rps"`
	// ListLagS is by how many seconds the list of machines is delayed, at times by twice as much.
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources is what this process may use.
type Resources struct {
	// CPU is the share of one core.
	CPU float64 `toml:"cpu"`
	// RAMMB is the memory in megabytes.
	RAMMB   float64 `toml:"ram_mb"`
	Sockets int     `toml:"sockets"`
}

// Team returns the team of a name; false: there is none.
func (settings *Settings) Team(name string) (Team, bool) {
	for _, t := range settings.Facts.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
