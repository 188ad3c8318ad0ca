package failuredetector

import (
	"cmp"
	"slices"
	"time"

	"switchferry/tuning"
)

// Observation is what the leader knows of the heartbeats of one machine that is expected to send them.
type Observation struct {
	// Zone is the machine's zone. It is empty while the zone is not known, as for a recorded machine that
	// has sent no heartbeat and that the cloud does not list. Such machines most likely no longer exist, and
	// are not grouped into a zone.
	Zone string
	// Via is the controller that relayed the last heartbeat, empty if the heartbeat came directly. It is not
	// defined while LastHeartbeat is zero.
	Via string
	// LastHeartbeat is when the last heartbeat of this term arrived; zero if none did.
	LastHeartbeat time.Time
	// Domains are the failure domains that the machine is in, such as racks and switches, if a topology is
	// declared. No controller is in one of them alone.
	Domains []string
	// Timeout is how long the machine may be silent before it counts as not responding.
	Timeout time.Duration
}

// Verdict says that a zone, a failure domain or a path, of which exactly one is set, was newly found lost: most
// of its machines are silent, or, for a zone, none of its controllers is reachable.
type Verdict struct {
	// Zone is a zone's name if IsZone is set.
	Zone   string
	IsZone bool
	// Domain is the name of a failure domain; empty if the verdict concerns a zone or a path.
	Domain string
	// Via is the controller that the heartbeats came through, empty for the direct path.
	Via string
	// Machines is the number of machines that should send heartbeats, Responding the number of those that do.
	Machines, Responding int
	// ControllersUnreachable means that none of the zone's controllers is reachable.
	ControllersUnreachable bool
}

// Detector tracks, for one leadership term, from which machines the leader could not have received
// heartbeats.
type Detector struct {
	started time.Time
	lease   time.Duration
	// lastTick is when the leader last called Tick, resumedAt when its process last resumed after a pause.
	lastTick, resumedAt time.Time
	// zoneLostAt, pathLostAt and domainLostAt are when most machines of a zone, of those whose heartbeats
	// came through one controller, or of a failure domain were last silent.
	zoneLostAt, pathLostAt, domainLostAt map[string]time.Time
	// silentShares and zoneSizes describe each zone at the last call of Observe.
	silentShares map[string]float64
	zoneSizes    map[string]int
}

// New returns the detector of a term that begins now, for workers with leases of this length.
func New(now time.Time, lease time.Duration) *Detector {
	return &Detector{
		started:      now,
		lease:        lease,
		lastTick:     now,
		zoneLostAt:   map[string]time.Time{},
		pathLostAt:   map[string]time.Time{},
		domainLostAt: map[string]time.Time{},
		silentShares: map[string]float64{},
		zoneSizes:    map[string]int{},
	}
}

// Tick must be called in every round of the leader. It returns how long the process was paused, or 0 if the gap
// since the last call is short enough to be due to load. After a pause, heartbeats that arrived meanwhile have
// not been read yet, and workers that switched to another controller meanwhile have not returned yet.
func (d *Detector) Tick(now time.Time) (paused time.Duration) {
	if gap := now.Sub(d.lastTick); gap > tuning.MinProcessPause {
		d.resumedAt, paused = now, gap
	}
	d.lastTick = now
	return paused
}

// ResumedAt returns when the leader's process last resumed after a pause; zero if it never paused.
func (d *Detector) ResumedAt() time.Time { return d.resumedAt }

// PathLostAt returns when most machines whose heartbeats came through a controller were last silent; zero if
// they never were.
func (d *Detector) PathLostAt(via string) time.Time { return d.pathLostAt[via] }

// SilentShare returns the share of a zone's machines that were silent at the last call of Observe, from 0 to
// 1, and how many machines it had.
func (d *Detector) SilentShare(zone string) (share float64, machines int) {
	return d.silentShares[zone], d.zoneSizes[zone]
}

// responses counts the machines of a group that should send heartbeats, and those that do.
type responses struct{ machines, responding int }

// mostSilent reports whether more than half of the group's machines are silent. It is false for a group of one
// machine, which is no evidence about the group.
func (r responses) mostSilent() bool { return r.machines > 1 && 2*r.responding < r.machines }

// responsesByGroup holds the responses of each zone, path or failure domain, by name.
type responsesByGroup map[string]responses

func (g responsesByGroup) add(group string, responding bool) {
	counted := g[group]
	counted.machines++
	if responding {
		counted.responding++
	}
	g[group] = counted
}

// Observe evaluates the observations of all machines that should send heartbeats; zoneUnreachable reports
// whether none of a zone's controllers is reachable. It returns verdicts on the groups that are newly lost,
// sorted by name. A group that stays lost is returned again only after it was not lost for a lease.
func (d *Detector) Observe(now time.Time, each func(yield func(Observation)), zoneUnreachable func(zone string) bool) []Verdict {
	zones, paths, domains := responsesByGroup{}, responsesByGroup{}, responsesByGroup{}
	each(func(observed Observation) {
		responding := !observed.LastHeartbeat.IsZero() && now.Sub(observed.LastHeartbeat) < observed.Timeout
		if observed.Zone != "" {
			zones.add(observed.Zone, responding)
		}
		if !observed.LastHeartbeat.IsZero() {
			paths.add(observed.Via, responding)
		}
		for _, domain := range observed.Domains {
			domains.add(domain, responding)
		}
	})
	d.recordSilentShares(zones)
	verdicts := slices.Concat(
		d.detectLost(now, zones, d.zoneLostAt, func(zone string) Verdict {
			return Verdict{Zone: zone, IsZone: true, ControllersUnreachable: zoneUnreachable(zone)}
		}),
		d.detectLost(now, paths, d.pathLostAt, func(via string) Verdict { return Verdict{Via: via} }),
		d.detectLost(now, domains, d.domainLostAt, func(domain string) Verdict { return Verdict{Domain: domain} }),
	)
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Via, b.Via))
	})
	return verdicts
}

// recordSilentShares stores the silent shares and sizes of zones that SilentShare returns.
func (d *Detector) recordSilentShares(zones responsesByGroup) {
	clear(d.silentShares)
	clear(d.zoneSizes)
	for zone, counted := range zones {
		d.silentShares[zone] = 1 - float64(counted.responding)/float64(counted.machines)
		d.zoneSizes[zone] = counted.machines
	}
}

// detectLost records in lostAt which groups are lost now, and returns verdicts on those that were not lost
// within the last lease. The function verdict returns a group's verdict without its counts.
func (d *Detector) detectLost(now time.Time, groups responsesByGroup, lostAt map[string]time.Time, verdict func(group string) Verdict) []Verdict {
	var verdicts []Verdict
	for group, counted := range groups {
		lost := verdict(group)
		if !lost.ControllersUnreachable && !counted.mostSilent() {
			continue
		}
		if last, known := lostAt[group]; !known || now.Sub(last) > d.lease {
			lost.Machines, lost.Responding = counted.machines, counted.responding
			verdicts = append(verdicts, lost)
		}
		lostAt[group] = now
	}
	return verdicts
}

// SilentSince returns the time from which a machine's silence is counted: the latest of its last heartbeat (the
// beginning of the term if there was none) and of the times at which its heartbeat could not have arrived.
func (d *Detector) SilentSince(now time.Time, observed Observation) time.Time {
	since := observed.LastHeartbeat
	if since.IsZero() {
		since = d.started
	}
	silentFor := now.Sub(since)
	if silentFor <= tuning.PartitionLeases*d.lease {
		// A partition is more likely than the failure of all machines of a zone. The machines need time to
		// find a controller that relays for them, and their own zone's controllers may be renewing the leases
		// of their tasks.
		since = latest(since, d.zoneLostAt[observed.Zone])
	}
	if silentFor <= d.lease && !observed.LastHeartbeat.IsZero() {
		// If the controller that relayed the machine's heartbeats has failed, the worker switches to the next
		// one within half a lease. After a whole lease, no task is left on the machine.
		since = latest(since, d.pathLostAt[observed.Via])
	}
	if silentFor <= d.lease {
		// The failure of a switch is more likely than that of all machines behind it. Their tasks keep running
		// if the switch recovers before the leases expire. After that no task is left, and the machines are
		// released like any others.
		for _, domain := range observed.Domains {
			since = latest(since, d.domainLostAt[domain])
		}
	}
	if silentFor <= 2*d.lease {
		since = latest(since, d.resumedAt)
	}
	return since
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
