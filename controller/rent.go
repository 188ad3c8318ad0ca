package controller

import (
	"cmp"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/failuredetector"
	"switchferry/feasibility"
	"switchferry/policy"
	"switchferry/reachability"
	"switchferry/tuning"
)

// pool is one kind of machine that the cloud rents.
type pool struct {
	typ, zone string
	spot      bool
}

// Tend looks after machines: it returns the names to give back.
func (c *Core) Tend() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.beat(now)
	if !c.loaded || !c.hooks.Valid() {
		return nil
	}
	var out []string
	giveUp := func(m *machine, why string) {
		slog.Info("returning machine", "machine", m.Name, "why", why, "tasks", len(m.assigns))
		m.returning = true
		out = append(out, m.Name)
	}
	c.noteBlindness(now)
	why := map[string]string{}
	var due []failuredetector.Candidate
	for _, m := range c.byName() {
		if m.returning {
			continue
		}
		// A return proves that the machine's tasks are gone.
		switch act, reason := c.judge(m, now); act {
		case failuredetector.Release:
			giveUp(m, reason)
		case failuredetector.ReleaseWithinBudget:
			why[m.Name] = reason
			due = append(due, failuredetector.Candidate{Name: m.Name, Zone: m.Zone, Tasks: len(m.assigns)})
		case failuredetector.Drain:
			until := m.PreemptedAt
			if until.IsZero() {
				until, reason = m.LastHeartbeat.Add(c.lease()), "machine reaches no controller"
			}
			c.evacuate(m, until, cmp.Or(reason, "machine is taken back"))
		case failuredetector.Forget:
			slog.Info("machine forgotten", "machine", m.Name, "why", reason)
			c.forget(m)
		}
	}
	c.askDoubtful(now)
	for _, v := range c.budget.Spend(now, due, c.silence.SilentShare) {
		for _, name := range v.Release {
			giveUp(c.machines[name], why[name])
		}
		if v.Deferred > 0 && now.Sub(c.spared) >= tuning.ReturnTold {
			c.spared = now
			slog.Info("many machines of a zone are silent; most are left for now", "zone", v.Zone, "silent_share", math.Round(100*v.Share)/100,
				"machines", v.Machines, "left", v.Deferred, "tasks_that_wait_for_them", v.DeferredTasks, "returned", len(v.Release))
		}
	}
	stopExcess(c)
	for _, m := range c.overstayed(now) {
		if !m.returning {
			giveUp(m, "holds a cancelled task")
		}
	}
	out = append(out, c.spare(now)...)
	c.keepImages(now)
	c.keepHolds(now)
	c.finishRemovals()
	if now.Sub(c.told) >= tuning.FleetLogEvery {
		c.told = now
		c.tellData()
		c.logFleet()
	}
	for name, at := range c.gone {
		if now.Sub(at) > 10*time.Minute {
			delete(c.gone, name)
		}
	}
	return out
}

// logFleet writes how full the fleet is: processors that are up, taken by tasks
// that run, that fetch or are about to start, and that are being stopped; and
// what waits.
func (c *Core) logFleet() {
	var up, running, starting, stopping float64
	machines := 0
	for _, m := range c.machines {
		if !m.Up || m.Spec == nil || m.returning {
			continue
		}
		machines++
		up += m.Spec.CPUs
		for _, a := range m.assigns {
			switch {
			case a.stop:
				stopping += a.job.need.CPUs
			case a.state == api.TaskRunning:
				running += a.job.need.CPUs
			default:
				starting += a.job.need.CPUs
			}
		}
	}
	jobs, waiting := 0, 0.0
	for _, j := range c.order {
		if n := len(j.pending) + j.queued; n > 0 && j.FinalState == "" {
			jobs++
			waiting += float64(n) * j.need.CPUs
			if since := latest(latest(j.ages, j.started), c.started); !j.passed && c.since(since) > tuning.PassedBy && c.withinLimit(j) && slices.ContainsFunc(c.byName(), func(m *machine) bool {
				return m.Up && !m.returning && m.Spec != nil && allowed(j, m) && m.free().Fits(j.need)
			}) {
				// Users expect that nobody waits 90 s so. Said once.
				j.passed = true
				slog.Warn("job waits though a machine has room for it", "job", j.id, "class", j.Job.Class, "waited", c.since(since).Round(time.Second), "why", c.whyWaiting(j))
			}
		}
	}
	slog.Info("fleet", "machines", machines, "cpus", up, "running", running, "starting", starting, "stopping", stopping, "waiting_jobs", jobs, "waiting_cpus", waiting)
}

// evacuate saves what can be saved of a machine that is about to be taken, or whose lease is about to end.
func (c *Core) evacuate(m *machine, until time.Time, why string) {
	left := until.Sub(c.now()).Seconds()
	for _, a := range m.assigns {
		if a.stop || !a.seen {
			continue
		}
		j := &a.job.Job
		ran := 0.0
		if !a.running.IsZero() {
			ran = c.since(a.running).Seconds()
		}
		finishes := j.Shape == api.JobArray && estimate(a.job)-ran < left
		switch {
		case j.Checkpoint > 0 && left < j.SaveS+2*tuning.SpotNoticeSlack+c.set.Facts.Workers.ReportS:
			c.stopTask(a, j.SaveS, why)
		case j.Checkpoint == 0 && !finishes:
			c.stopTask(a, 0, why)
		}
	}
}

// demand is what unfinished jobs ask for, in processors, and how much of that
// may not run on spot machines.
func (c *Core) demand() (all, ordinary float64) {
	perCPU := 0.0
	for _, t := range c.types {
		perCPU = math.Max(perCPU, t.MemoryGB/t.CPUs)
	}
	for _, j := range c.order {
		if !j.accepted || j.FinalState != "" || j.waits && !c.pipes.soon(j) {
			continue
		}
		one := j.need.CPUs
		if perCPU > 0 {
			// Until the catalog is read, memory says nothing of processors: a
			// new leader took it for a thousandfold demand.
			one = math.Max(one, j.need.MemoryGB/perCPU)
		}
		n := float64(c.asks(j))
		if t, ok := c.active.Team(j.Job.Team); ok && t.CPUsMax > 0 && j.need.CPUs > 0 {
			n = math.Min(n, t.CPUsMax/j.need.CPUs)
		}
		all += n * one
		if !j.Job.Spot {
			ordinary += n * one
		}
	}
	return all, ordinary
}

// overdue tells whether a machine that is not up yet more likely never will be: others are rented instead, while it
// still has its time.
func (c *Core) overdue(m *machine) bool {
	if m.Up || !m.ours || m.Spec == nil {
		return false
	}
	age := c.since(m.RequestedAt)
	late, others := c.boots.Overdue(m.Type, m.RequestedAt, age, seconds(m.Spec.BootS))
	if late && !m.noted {
		m.noted = true
		slog.Info("machine overdue", "machine", m.Name, "type", m.Type, "age", age.Round(time.Second), "others_took", others.Round(time.Second))
	}
	return late
}

// missing tells whether a machine should have reported by now. It may yet come
// back, but others are rented in the meantime: they take long to boot.
func (c *Core) missing(m *machine) bool {
	if m.Up {
		if m.line.State(c.now(), c.lease()) == reachability.OutboundLost || !m.line.AliveThisTerm() && !m.listed && len(m.assigns) == 0 {
			return true
		}
		heard := latest(m.LastHeartbeat, c.silence.ResumedAt())
		if c.since(m.LastHeartbeat) <= seconds(c.set.Facts.Workers.LeaseS) {
			heard = latest(heard, c.silence.PathLostAt(m.via))
		}
		return c.since(heard) > 2*c.quiet(m)
	}
	return m.running && c.since(c.started) > 2*c.quiet(m)
}

// supply is the processors that are up or coming.
func (c *Core) supply() (all, spot float64) {
	for _, m := range c.machines {
		if m.returning || !m.PreemptedAt.IsZero() || m.Spec == nil || c.missing(m) || c.overdue(m) {
			continue
		}
		all += m.Spec.CPUs
		if m.Spot {
			spot += m.Spec.CPUs
		}
	}
	return all, spot
}

func (c *Core) wanted() (want, ordinary float64) {
	all, ord := c.demand()
	// A team without work is not kept room for: its machines would be idle.
	busy := map[string]bool{}
	for _, j := range c.order {
		if j.FinalState == "" && !j.waits {
			busy[j.Job.Team] = true
		}
	}
	guaranteed := 0.0
	for _, t := range c.active.Teams() {
		if busy[t.Name] {
			guaranteed += t.CPUs
		}
	}
	head := c.active.Policy.Value(policy.HeadroomCPUs, policy.Vars{"demand_cpus": all, "guaranteed_cpus": guaranteed})
	return all + head, tuning.ServiceSpare * ord
}

// Rentals says what to rent now.
func (c *Core) Rentals() []api.InstanceRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	// This goes on while the state service is out: the names of rentals are
	// this term's own, and the machines will be needed whoever leads.
	if !c.loaded || c.renting > 0 || now.Sub(c.started) < seconds(2*c.set.Facts.Workers.ReportS) {
		return nil
	}
	want, ordWant := c.wanted()
	want = math.Max(want, c.sought(now))
	all, spot := c.supply()
	inZone := map[string]float64{}
	for _, m := range c.machines {
		if m.Spec != nil && !m.returning {
			inZone[m.Zone] += m.Spec.CPUs
		}
	}
	var pools []pool
	for _, t := range c.types {
		for _, z := range t.Zones {
			for _, s := range []bool{false, true} {
				p := pool{t.Name, z, s}
				if now.After(c.refusals[p]) {
					pools = append(pools, p)
				}
			}
		}
	}
	slices.SortFunc(pools, func(a, b pool) int {
		// Ordinary machines first: nobody takes them back, and services need
		// them. Then the zone that has less, then the sooner one up.
		if a.spot != b.spot {
			if a.spot {
				return 1
			}
			return -1
		}
		if d := inZone[a.zone] - inZone[b.zone]; d != 0 {
			return int(math.Copysign(1, d))
		}
		if d := c.types[a.typ].BootS - c.types[b.typ].BootS; d != 0 {
			return int(math.Copysign(1, d))
		}
		if a.typ+a.zone < b.typ+b.zone {
			return -1
		}
		return 1
	})
	spotShare := c.active.Policy.Value(policy.SpotShare, policy.Vars{"demand_cpus": want})
	out := c.rentUnmet(pools)
	for _, p := range pools {
		t := c.types[p.typ]
		missing := want - all
		if !p.spot {
			missing = math.Max(missing, ordWant-(all-spot))
		} else {
			missing = math.Min(missing, spotShare*want-spot)
		}
		if missing <= 0 || len(out) >= 2 {
			continue
		}
		n := min(tuning.RentBatch, int(math.Ceil(missing/t.CPUs)))
		out = append(out, c.rental(p, n))
		if len(out) == 2 {
			break
		}
		// What will come is unknown; the next round sees it.
		all += float64(n) * t.CPUs
	}
	c.renting = len(out)
	return out
}

// rentUnmet rents a machine for a job that none that is there or coming can ever serve: with as many
// processors as are asked for in all, nothing of its type or zone was ever rented.
func (c *Core) rentUnmet(pools []pool) []api.InstanceRequest {
	var jobs []*api.Submission
	for _, j := range c.order {
		if len(j.pending)+j.queued > 0 && c.ready(j) && c.withinLimit(j) {
			jobs = append(jobs, &j.Job)
		}
	}
	if len(jobs) == 0 {
		return nil
	}
	var ms []feasibility.Machine
	for _, m := range c.machines {
		if m.returning || !m.PreemptedAt.IsZero() || c.missing(m) || c.overdue(m) {
			continue
		}
		x := feasibility.Machine{Spec: m.Spec, Zone: m.Zone, Spot: m.Spot}
		for _, a := range m.assigns {
			if a.job.Job.Shape == api.Service {
				x.Used = x.Used.Add(a.job.need)
			}
		}
		ms = append(ms, x)
	}
	var kinds []feasibility.Pool
	for _, p := range pools {
		kinds = append(kinds, feasibility.Pool{Type: c.types[p.typ], Zone: p.zone, Spot: p.spot})
	}
	for _, s := range feasibility.Unplaceable(jobs, ms) {
		if p, ok := feasibility.PoolFor(s, kinds); ok {
			slog.Info("renting for a job that no machine can serve", "job", s.ID, "type", p.Type.Name, "zone", p.Zone, "spot", p.Spot)
			return []api.InstanceRequest{c.rental(pool{p.Type.Name, p.Zone, p.Spot}, 1)}
		}
	}
	return nil
}

// rental asks for so many machines under a name that is never used again.
func (c *Core) rental(p pool, count int) api.InstanceRequest {
	c.charters++
	return api.InstanceRequest{IdempotencyKey: fmt.Sprintf("t%d-%d", c.term, c.charters), Type: p.typ, Zone: p.zone, Spot: p.spot, Count: count}
}

// Rented takes in the outcome of a rental.
func (c *Core) Rented(r api.InstanceRequest, names []string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renting--
	if err != nil || len(names) < r.Count {
		c.refusals[pool{r.Type, r.Zone, r.Spot}] = c.now().Add(tuning.RefusedPause)
	}
	if err != nil {
		slog.Info("rental refused", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "count", r.Count, "err", err)
		return
	}
	slog.Info("rented", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(names))
	for _, n := range names {
		if _, gone := c.gone[n]; gone {
			continue
		}
		m := c.machine(n)
		if !m.Up {
			m.Type, m.Zone, m.Spot, m.Spec = r.Type, r.Zone, r.Spot, c.types[r.Type]
			m.ours = true
			m.line.MarkStarted()
		}
	}
}

// Listed takes in the cloud's list. It lags: absence from it proves nothing.
func (c *Core) Listed(list []api.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, l := range list {
		if _, gone := c.gone[l.Name]; gone {
			continue
		}
		_, known := c.machines[l.Name]
		m := c.machine(l.Name)
		if !known {
			m.RequestedAt = now.Add(-seconds(l.AgeS))
			slog.Info("machine listed", "machine", l.Name, "type", l.Type, "zone", l.Zone, "state", l.State)
		}
		m.listed = true
		if !m.Up {
			if l.State == "booting" && now.Sub(c.started) > seconds(tuning.ListLagMost*c.set.Facts.Cloud.ListLagS) {
				m.line.MarkStarted()
			}
			m.running = l.State == "running"
			m.Address, m.Type, m.Zone, m.Spot, m.Spec = l.Address, l.Type, l.Zone, l.Spot, c.types[l.Type]
		}
		if l.State == "failed" && !m.returning {
			m.Up, m.failed = false, true
		}
	}
}

// Addresses are the machines that have not reported yet in this term.
func (c *Core) Addresses() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]string{}
	for _, m := range c.machines {
		if !m.Up && m.Address != "" && !m.returning {
			out[m.Name] = m.Address
		}
	}
	return out
}

// Returned means: the cloud has answered, so these machines and all on them are gone.
func (c *Core) Returned(names []string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range names {
		m := c.machines[n]
		if m == nil {
			continue
		}
		if err != nil {
			m.returning = false
			continue
		}
		c.gone[n] = c.now()
		for _, a := range m.assigns {
			c.lost(a, "its machine is gone")
		}
		c.forget(m)
	}
	c.kick()
}

// forget takes a machine that is gone, with all on it, off the lists.
func (c *Core) forget(m *machine) {
	for _, q := range m.queue {
		q.giveBack()
	}
	c.direct(m)
	delete(c.machines, m.Name)
	c.leftTopology(m.Name)
	if c.data != nil {
		c.agentDirect(m.Name)
		c.data.desk.RemoveMachine(m.Name)
	}
	c.sorted = nil
}

// spare finds a machine that is plainly idle.
func (c *Core) spare(now time.Time) []string {
	want, ordWant := c.wanted()
	all, spot := c.supply()
	for _, m := range c.byName() {
		if !c.usable(m) || len(m.assigns) > 0 || len(m.queue) > 0 {
			continue
		}
		keep := seconds(c.active.Policy.Value(policy.IdleKeepS, policy.Vars{"boot_s": m.Spec.BootS}))
		if now.Sub(m.idle) < keep || all-m.Spec.CPUs < want || !m.Spot && all-spot-m.Spec.CPUs < ordWant {
			continue
		}
		slog.Info("returning machine", "machine", m.Name, "why", "idle")
		m.returning = true
		return []string{m.Name}
	}
	return nil
}
