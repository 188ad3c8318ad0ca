// Package failuredetector judges what the silence of machines says: since when it counts against
// one, and how many may be given up at once. It knows when and on which way machines were
// heard in this term, not what they are or what runs on them; it has no clock and no lock.
//
// What a leader could not have heard is no evidence. It could not while it stood still
// itself; where most machines of a zone are unheard, or most of those whose reports came
// through one controller, more likely the way is cut than the machines are gone. Machines
// that it knows from records or from the cloud's list alone count as unheard: after a change of
// leader inside a cut nothing else shows that a whole zone is silent.
package failuredetector

import (
	"cmp"
	"slices"
	"time"

	"switchferry/tuning"
)

// Observation is when a machine that should report was last heard. It matters where from: a
// zone is cut as a whole, and so are those that one controller speaks for, or one switch.
type Observation struct {
	// Zone is empty while it is not known: of a machine that is on record, but that nobody
	// heard and the cloud does not list. It is most likely gone, and its kind is no zone.
	Zone string
	// Via is the controller that its last report came through, if LastHeartbeat is not zero;
	// empty: it came directly.
	Via string
	// LastHeartbeat is its last report of this term; zero: none.
	LastHeartbeat time.Time
	// Domains are those that the machine stands in, if a topology is declared: racks,
	// switches. No controller stands in one of them alone.
	Domains []string
	// Timeout is how long it may say nothing without anything being wrong.
	Timeout time.Duration
}

// Detector is what one term knows of what it could not have heard.
type Detector struct {
	started time.Time
	lease   time.Duration
	// beat is when the leader last did its rounds; woke is the end of its last
	// standstill.
	beat, woke time.Time
	// zones, ways and domains are when most of a zone, of those that came one way, or of a
	// domain were last unheard.
	zones, ways, domains map[string]time.Time
	shares               map[string]float64
	sizes                map[string]int
}

// New begins a term whose workers' lease is so long.
func New(now time.Time, lease time.Duration) *Detector {
	return &Detector{lease: lease, started: now, beat: now, zones: map[string]time.Time{}, ways: map[string]time.Time{}, domains: map[string]time.Time{}, shares: map[string]float64{}, sizes: map[string]int{}}
}

// Tick notes that the leader does its rounds. A gap that no load explains is a standstill,
// whose length it gives: reports that came meanwhile are still to be read, and workers that
// turned away meanwhile are still to come back. 0: there was none.
func (s *Detector) Tick(now time.Time) (stood time.Duration) {
	if gap := now.Sub(s.beat); gap > tuning.StandstillMin {
		s.woke, stood = now, gap
	}
	s.beat = now
	return stood
}

// ResumedAt is the end of the leader's last standstill; zero: it never stood still.
func (s *Detector) ResumedAt() time.Time { return s.woke }

// PathLostAt is when most machines whose reports came through a controller were last unheard.
func (s *Detector) PathLostAt(via string) time.Time { return s.ways[via] }

// SilentShare is the part of a zone's machines that were unheard at the last look, and how many
// machines there were.
func (s *Detector) SilentShare(zone string) (float64, int) { return s.shares[zone], s.sizes[zone] }

// Verdict is a zone, a domain or a way most of which is unheard, anew.
type Verdict struct {
	// Zone, Domain or Via names it; Domain and IsZone tell which it is.
	Zone, Domain, Via string
	IsZone            bool
	// Of so many machines that should report, so many are heard.
	Machines, Responding int
	// Cut: none of the zone's controllers is within reach.
	Cut bool
}

// Observe takes in all machines that should report. Cut tells of a zone whose controllers are
// all out of reach. The findings are those to be told of, in the order of their names.
func (s *Detector) Observe(now time.Time, each func(yield func(Observation)), cut func(zone string) bool) (found []Verdict) {
	type count struct{ all, heard int }
	zones, ways, domains := map[string]*count{}, map[string]*count{}, map[string]*count{}
	add := func(in map[string]*count, key string, heard bool) {
		n := in[key]
		if n == nil {
			n = &count{}
			in[key] = n
		}
		n.all++
		if heard {
			n.heard++
		}
	}
	each(func(m Observation) {
		heard := !m.LastHeartbeat.IsZero() && now.Sub(m.LastHeartbeat) < m.Timeout
		if m.Zone != "" {
			add(zones, m.Zone, heard)
		}
		if !m.LastHeartbeat.IsZero() {
			add(ways, m.Via, heard)
		}
		for _, d := range m.Domains {
			add(domains, d, heard)
		}
	})
	clear(s.shares)
	clear(s.sizes)
	for zone, n := range zones {
		s.shares[zone], s.sizes[zone] = 1-float64(n.heard)/float64(n.all), n.all
		off := cut(zone)
		if off || n.all > 1 && 2*n.heard < n.all {
			if last, ok := s.zones[zone]; !ok || now.Sub(last) > s.lease {
				found = append(found, Verdict{Zone: zone, IsZone: true, Machines: n.all, Responding: n.heard, Cut: off})
			}
			s.zones[zone] = now
		}
	}
	most := func(of map[string]*count, at map[string]time.Time, tell func(key string) Verdict) {
		for key, n := range of {
			if n.all > 1 && 2*n.heard < n.all {
				if last, ok := at[key]; !ok || now.Sub(last) > s.lease {
					f := tell(key)
					f.Machines, f.Responding = n.all, n.heard
					found = append(found, f)
				}
				at[key] = now
			}
		}
	}
	most(ways, s.ways, func(key string) Verdict { return Verdict{Via: key} })
	most(domains, s.domains, func(key string) Verdict { return Verdict{Domain: key} })
	slices.SortFunc(found, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Via, b.Via))
	})
	return found
}

// SilentSince is since when a machine's silence counts against it: its last report, or the
// beginning of the term, or when it could last not have been heard.
func (s *Detector) SilentSince(now time.Time, m Observation) time.Time {
	from := m.LastHeartbeat
	if from.IsZero() {
		from = s.started
	}
	since := now.Sub(from)
	if since <= tuning.CutLeases*s.lease {
		// More likely the way to the zone is cut than its machines are gone: they need
		// time to find a sibling that relays for them, and its zone's controllers may be
		// keeping their tasks alive.
		from = latest(from, s.zones[m.Zone])
	}
	if since <= s.lease && !m.LastHeartbeat.IsZero() {
		// The controller that their reports came through is silent: they turn to the
		// next one in half a lease. Past a whole one nothing on them lives any more.
		from = latest(from, s.ways[m.Via])
	}
	if since <= s.lease {
		// A switch is more likely down than all machines behind it: their tasks go on, and
		// are still there if it comes back before their leases end. After that nothing on
		// them lives, and they are given up like any.
		for _, d := range m.Domains {
			from = latest(from, s.domains[d])
		}
	}
	if since <= 2*s.lease {
		from = latest(from, s.woke)
	}
	return from
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
