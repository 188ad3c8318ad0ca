// Package settings reads and checks the platform's settings file.
package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Settings is what the platform hands a controller.
type Settings struct {
	Member     string   `toml:"member"`
	Zone       string   `toml:"site"`
	Listen     string   `toml:"serve_on"`
	PeerListen string   `toml:"back"`
	Peers      []Peer   `toml:"siblings"`
	External   External `toml:"external"`
	Facts      Facts    `toml:"facts"`
}

// Peer is another controller.
type Peer struct {
	Member  string `toml:"member"`
	Zone    string `toml:"site"`
	Address string `toml:"address"`
}

// External holds the addresses of the services around us.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Facts describes the deployment.
type Facts struct {
	Nodes      int         `toml:"nodes"`
	Zones      []string    `toml:"zones"`
	ClockOffMS float64     `toml:"clock_off_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Resources  Resources   `toml:"resources"`
}

// Team has guaranteed amounts and limits; 0 means none.
type Team struct {
	Name     string  `toml:"name"`
	CPUs     float64 `toml:"cpus"`
	CPUsMax  float64 `toml:"cpus_max"`
	Cards    float64 `toml:"gpus"`
	CardsMax float64 `toml:"gpus_max"`
}

// Objective is one aim of the users.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers holds the times that workers go by.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next are limits that it will have from some moment on, without notice; 0: as now.
	Next NextState `toml:"next"`
}

// NextState holds the announced limits of the state service.
type NextState struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Least are the limits that hold whether or not the announced ones are in force. What is
// stored has to be within them from the first, as it is written again later.
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

// ValueBytes is the most bytes of a value.
func (state State) ValueBytes() int { return int(state.ValueKB * 1024) }

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources is what this process may use.
type Resources struct {
	CPU     float64 `toml:"cpu"`
	RAMMB   float64 `toml:"ram_mb"`
	Sockets int     `toml:"sockets"`
}

// Load reads a settings file and checks it; the error names the field.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(raw)
}

// Parse decodes and checks settings. Unknown fields are ignored.
func Parse(raw []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(raw, &s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			return nil, fmt.Errorf("settings: line %d: %v: %v", row, de.Key(), de)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, s.check()
}

func (settings *Settings) check() error {
	var bad []error
	fail := func(field, want string) { bad = append(bad, fmt.Errorf("%s: %s", field, want)) }
	addr := func(field, v string) {
		host, port, err := net.SplitHostPort(v)
		if err != nil || net.ParseIP(host) == nil || port == "" {
			fail(field, "must be an IP address and a port")
		}
	}
	positive := func(field string, v float64) {
		if !(v > 0) || math.IsInf(v, 0) {
			fail(field, "must be a number above 0")
		}
	}
	if settings.Member == "" {
		fail("member", "is missing")
	}
	addr("serve_on", settings.Listen)
	addr("back", settings.PeerListen)
	addr("external.cloud", settings.External.Cloud)
	addr("external.state", settings.External.State)
	seen := map[string]bool{settings.Member: true}
	for i, p := range settings.Peers {
		f := fmt.Sprintf("siblings[%d]", i)
		if p.Member == "" || seen[p.Member] {
			fail(f+".member", "is missing or stands twice")
		}
		seen[p.Member] = true
		addr(f+".address", p.Address)
	}
	CheckTeams(settings.Facts.Teams, func(i int, field, want string) {
		name := fmt.Sprintf("facts.teams[%d]", i)
		if field != "" {
			name += "." + field
		}
		fail(name, want)
	})
	positive("facts.workers.report_s", settings.Facts.Workers.ReportS)
	positive("facts.workers.lease_s", settings.Facts.Workers.LeaseS)
	positive("facts.workers.cancel_s", settings.Facts.Workers.CancelS)
	positive("facts.state.rps", settings.Facts.State.RPS)
	positive("facts.state.write_rps", settings.Facts.State.WriteRPS)
	positive("facts.state.value_kb", settings.Facts.State.ValueKB)
	if settings.Facts.State.TxnOps < 3 {
		fail("facts.state.txn_ops", "must be 3 or more")
	}
	next := settings.Facts.State.Next
	if !(next.WriteRPS >= 0) || math.IsInf(next.WriteRPS, 0) || !(next.ValueKB >= 0) || math.IsInf(next.ValueKB, 0) {
		fail("facts.state.next", "limits must be numbers of 0 or more; 0 or left out: as now")
	} else if next.ValueKB > 0 && next.ValueKB < 1 {
		fail("facts.state.next.value_kb", "must be 1 or more: a job's record takes up to 1 KiB")
	}
	if next.TxnOps != 0 && next.TxnOps < 3 {
		fail("facts.state.next.txn_ops", "must be 3 or more, or left out: as now")
	}
	positive("facts.cloud.rps", settings.Facts.Cloud.RPS)
	if !(settings.Facts.Cloud.ListLagS >= 0) {
		fail("facts.cloud.list_lag_s", "must be 0 or more")
	}
	positive("facts.resources.ram_mb", settings.Facts.Resources.RAMMB)
	if len(bad) == 0 {
		return nil
	}
	if len(bad) == 1 {
		return fmt.Errorf("settings: %w", bad[0])
	}
	return fmt.Errorf("settings: %w (and %d more)", bad[0], len(bad)-1)
}

// CheckTeams tells fail of each mistake in a list of teams: which team, the field, if it is one alone, and what it must
// be.
func CheckTeams(teams []Team, fail func(i int, field, want string)) {
	names := map[string]bool{}
	for i, t := range teams {
		if t.Name == "" || names[t.Name] {
			fail(i, "name", "is missing or stands twice")
		}
		names[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.Cards, t.CardsMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				fail(i, "", "amounts must be numbers of 0 or more")
				break
			}
		}
	}
}

// Team finds a team by name.
func (settings *Settings) Team(name string) (Team, bool) {
	for _, t := range settings.Facts.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
