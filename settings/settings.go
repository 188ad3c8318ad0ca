// Package settings reads and validates the platform's settings file, which every controller loads at start. The
// names that the file uses occur only in struct tags and error messages.
package settings

import "math"

// Settings is the content of the settings file.
type Settings struct {
	// Member is this controller's name, Zone the zone that it runs in.
	Member string `toml:"member"`
	Zone   string `toml:"site"`
	// Listen is the listen address for users, workers and health checks, PeerListen that for other controllers.
	Listen     string `toml:"serve_on"`
	PeerListen string `toml:"back"`
	// Peers lists the other controllers.
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
	// ControllerCount is the number of controllers.
	ControllerCount int      `toml:"nodes"`
	Zones           []string `toml:"zones"`
	// MaxClockErrorMS bounds the deviation of any clock from the true time, in milliseconds.
	MaxClockErrorMS float64     `toml:"clock_off_ms"`
	Teams           []Team      `toml:"teams"`
	Objectives      []Objective `toml:"objectives"`
	Workers         Workers     `toml:"workers"`
	State           StateLimits `toml:"state"`
	Cloud           CloudLimits `toml:"cloud"`
	Resources       Resources   `toml:"resources"`
}

// Team holds the guaranteed resources and the limits of a team. An amount of 0 means no guarantee or no limit.
type Team struct {
	Name string `toml:"name"`
	// CPUs and Cards are the guaranteed processors and accelerators; CPUsMax and CardsMax limit the team's usage.
	CPUs     float64 `toml:"cpus"`
	CPUsMax  float64 `toml:"cpus_max"`
	Cards    float64 `toml:"gpus"`
	CardsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	// Kind is "wait" for the time until a start or "deadline" for the time until the end.
	Kind  string `toml:"kind"`
	Class string `toml:"class"`
	// WithinS is the maximum wait in seconds.
	WithinS float64 `toml:"within_s"`
	// Share is the fraction of jobs that should meet the objective.
	Share float64 `toml:"share"`
	// DeadlineFactor is the factor by which the deadline of a job is multiplied.
	DeadlineFactor float64 `toml:"times"`
}

// Workers holds the time limits and intervals of workers, in seconds.
type Workers struct {
	// HeartbeatIntervalS is the heartbeat interval.
	HeartbeatIntervalS float64 `toml:"report_s"`
	// LeaseS is the time for which a worker keeps its tasks without a heartbeat response.
	LeaseS float64 `toml:"lease_s"`
	// CancelDeadlineS is the time within which the tasks of a cancelled job must have stopped.
	CancelDeadlineS float64 `toml:"cancel_s"`
}

// StateLimits holds the limits of the state service.
type StateLimits struct {
	// RPS limits requests per second, WriteRPS puts and deletes per second.
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	// ValueKB is the maximum size of a value in KiB.
	ValueKB float64 `toml:"value_kb"`
	// TxnOps is the maximum number of puts and deletes in a transaction.
	TxnOps int `toml:"txn_ops"`
	// Announced holds future limits, which take effect at some time without further notice.
	Announced AnnouncedStateLimits `toml:"next"`
}

// AnnouncedStateLimits holds the announced limits of the state service. A limit of 0 means that it does not change.
type AnnouncedStateLimits struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Strictest returns the lower of the current and the announced value of each limit. All stored records must comply
// with these limits from the start, since they are rewritten after the announced limits have taken effect.
func (state StateLimits) Strictest() StateLimits {
	if n := state.Announced.WriteRPS; n > 0 {
		state.WriteRPS = math.Min(state.WriteRPS, n)
	}
	if n := state.Announced.ValueKB; n > 0 {
		state.ValueKB = math.Min(state.ValueKB, n)
	}
	if n := state.Announced.TxnOps; n > 0 {
		state.TxnOps = min(state.TxnOps, n)
	}
	return state
}

// MaxValueBytes returns the largest size of a value in bytes.
func (state StateLimits) MaxValueBytes() int { return int(state.ValueKB * 1024) }

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	// RPS limits requests per second.
	RPS float64 `toml:"rps"`
	// ListLagS is the delay of the list of machines in seconds; at times the delay is twice as long.
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources holds the resource limits of this process.
type Resources struct {
	// CPU is the limit of processor time as a share of one core.
	CPU float64 `toml:"cpu"`
	// RAMMB is the memory limit in mebibytes.
	RAMMB      float64 `toml:"ram_mb"`
	MaxSockets int     `toml:"sockets"`
}

// Team returns the team with the given name and reports whether it exists.
func (settings *Settings) Team(name string) (Team, bool) {
	for _, team := range settings.Facts.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}
