// Package failuredetector judges what the silence of machines says: since when it counts against
// one, and how many may be given up at once. It knows when and on which way machines were
// lastHeartbeat in this term, not what they are or what runs on them; it has no clock and no lock.
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
	// lastHeartbeat and the cloud does not list. It is most likely gone, and its kind is no zone.
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
	// lastTick is when the leader last did its rounds; woke is the end of its last
	// standstill.
	lastTick, resumedAt time.Time
	// zoneLostAt, ways and domains are when most of a zone, of those that came one way, or of a
	// domain were last unheard.
	zoneLostAt, pathLostAt, domainLostAt map[string]time.Time
	silentShares                         map[string]float64
	zoneSizes                            map[string]int
}

// New begins a term whose workers' lease is so long.
func New(now time.Time, lease time.Duration) *Detector {
	return &Detector{lease: lease, started: now, lastTick: now, zoneLostAt: map[string]time.Time{}, pathLostAt: map[string]time.Time{}, domainLostAt: map[string]time.Time{}, silentShares: map[string]float64{}, zoneSizes: map[string]int{}}
}

// Tick notes that the leader does its rounds. A gap that no load explains is a standstill,
// whose length it gives: reports that came meanwhile are still to be read, and workers that
// turned away meanwhile are still to come back. 0: there was none.
func (d *Detector) Tick(now time.Time) (paused time.Duration) {
	if gap := now.Sub(d.lastTick); gap > tuning.StandstillMin {
		d.resumedAt, paused = now, gap
	}
	d.lastTick = now
	return paused
}

// ResumedAt is the end of the leader's last standstill; zero: it never stood still.
func (d *Detector) ResumedAt() time.Time { return d.resumedAt }

// PathLostAt is when most machines whose reports came through a controller were last unheard.
func (d *Detector) PathLostAt(via string) time.Time { return d.pathLostAt[via] }

// SilentShare is the part of a zone's machines that were unheard at the last look, and how many
// machines there were.
func (d *Detector) SilentShare(zone string) (float64, int) {
	return d.silentShares[zone], d.zoneSizes[zone]
}

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
// machines out of reach. The findings are those to be told of, in the order of their names.
func (d *Detector) Observe(now time.Time, each func(yield func(Observation)), zoneUnreachable func(zone string) bool) (verdicts []Verdict) {
	type count struct{ all, heard int }
	zones, paths, domains := map[string]*count{}, map[string]*count{}, map[string]*count{}
	add := func(counts map[string]*count, key string, responding bool) {
		counted := counts[key]
		if counted == nil {
			counted = &count{}
			counts[key] = counted
		}
		counted.all++
		if responding {
			counted.heard++
		}
	}
	each(func(observed Observation) {
		responding := !observed.LastHeartbeat.IsZero() && now.Sub(observed.LastHeartbeat) < observed.Timeout
		if observed.Zone != "" {
			add(zones, observed.Zone, responding)
		}
		if !observed.LastHeartbeat.IsZero() {
			add(paths, observed.Via, responding)
		}
		for _, domain := range observed.Domains {
			add(domains, domain, responding)
		}
	})
	clear(d.silentShares)
	clear(d.zoneSizes)
	for zone, counted := range zones {
		d.silentShares[zone], d.zoneSizes[zone] = 1-float64(counted.heard)/float64(counted.all), counted.all
		unreachable := zoneUnreachable(zone)
		if unreachable || counted.all > 1 && 2*counted.heard < counted.all {
			if last, ok := d.zoneLostAt[zone]; !ok || now.Sub(last) > d.lease {
				verdicts = append(verdicts, Verdict{Zone: zone, IsZone: true, Machines: counted.all, Responding: counted.heard, Cut: unreachable})
			}
			d.zoneLostAt[zone] = now
		}
	}
	detectLost := func(counts map[string]*count, lostAt map[string]time.Time, verdict func(key string) Verdict) {
		for key, counted := range counts {
			if counted.all > 1 && 2*counted.heard < counted.all {
				if last, ok := lostAt[key]; !ok || now.Sub(last) > d.lease {
					lost := verdict(key)
					lost.Machines, lost.Responding = counted.all, counted.heard
					verdicts = append(verdicts, lost)
				}
				lostAt[key] = now
			}
		}
	}
	detectLost(paths, d.pathLostAt, func(key string) Verdict { return Verdict{Via: key} })
	detectLost(domains, d.domainLostAt, func(key string) Verdict { return Verdict{Domain: key} })
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Via, b.Via))
	})
	return verdicts
}

// SilentSince is since when a machine's silence counts against it: its last report, or the
// beginning of the term, or when it could last not have been heard.
func (d *Detector) SilentSince(now time.Time, observed Observation) time.Time {
	from := observed.LastHeartbeat
	if from.IsZero() {
		from = d.started
	}
	silentFor := now.Sub(from)
	if silentFor <= tuning.CutLeases*d.lease {
		// More likely the way to the zone is cut than its machines are gone: they need
		// time to find a sibling that relays for them, and its zone's controllers may be
		// keeping their tasks alive.
		from = latest(from, d.zoneLostAt[observed.Zone])
	}
	if silentFor <= d.lease && !observed.LastHeartbeat.IsZero() {
		// The controller that their reports came through is silent: they turn to the
		// next one in half a lease. Past a whole one nothing on them lives any more.
		from = latest(from, d.pathLostAt[observed.Via])
	}
	if silentFor <= d.lease {
		// A switch is more likely down than all machines behind it: their tasks go on, and
		// are still there if it comes back before their leases end. After that nothing on
		// them lives, and they are given up like any.
		for _, domain := range observed.Domains {
			from = latest(from, d.domainLostAt[domain])
		}
	}
	if silentFor <= 2*d.lease {
		from = latest(from, d.resumedAt)
	}
	return from
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
