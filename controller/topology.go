package controller

import (
	"cmp"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/topology"
	"switchferry/tuning"
)

// UseTopologyFile switches topology on, unless the file is nil; it is called before Run.
func (n *Controller) UseTopologyFile(f *topology.File) { n.topology = f }

// checkSite reads what a submission asks of where its tasks stand, and whether that can be.
func checkSite(s *api.Submission, body []byte) (status int, err error) {
	if s.Near, s.Survive, err = api.ParseSite(body, s.Tasks); err != nil {
		return http.StatusBadRequest, err
	}
	if s.Shape == api.JobArray {
		// Its tasks can run a few at a time.
		return 0, nil
	}
	if why := topology.Infeasible(s.Near, s.Survive, s.Tasks); why != "" {
		return http.StatusUnprocessableEntity, &api.FieldError{Field: "survive", Want: why}
	}
	return 0, nil
}

// watchTopology takes new versions of the file while the node runs.
func (n *Controller) watchTopology() {
	for n.ctx.Err() == nil {
		n.sleep(n.ctx, tuning.TopologyEvery)
		m, err := n.topology.Reload()
		if err != nil {
			slog.Error("topology file not taken", "err", err)
		}
		if core := n.leading(); m != nil && core != nil {
			n.useAgain(core)
		}
	}
}

// where is what the leader knows of where machines stand.
type where struct {
	tree *topology.Tree
	// lone and ambiguous are how many machines were last complained about.
	lone, ambiguous int
	seek            topology.Search
	held            topology.Reservations
}

// UseTopology switches near and survive on, before anything is loaded.
func (c *Core) UseTopology(m *topology.Map) { c.where = &where{tree: topology.NewTree(m)} }

// MoveTopology goes over to another version of the topology. What runs stays where it is and
// counts where it stands now; only what is placed from here on goes by the new one.
func (c *Core) MoveTopology(m *topology.Map) {
	c.mu.Lock()
	defer c.mu.Unlock()
	moveTopology(c, m)
}

// moveTopology is MoveTopology with the lock held; it does nothing without a topology, or with the one that is used.
func moveTopology(c *Core, m *topology.Map) {
	if c.where == nil || c.where.tree.Map() == m {
		return
	}
	c.where.tree = c.where.tree.Rebased(m)
	c.where.lone, c.where.ambiguous = 0, 0
	for _, j := range c.jobs {
		if j.site != nil {
			j.site = j.site.Rebased(c.where.tree)
		}
	}
	slog.Info("topology changed", "version", m.Version())
	c.kick()
}

// sited gives a job that asks where its tasks stand the count of where they do.
func (c *Core) sited(j *job) {
	if c.where == nil {
		return
	}
	j.site = c.where.tree.NewSite(j.Job.Near, j.Job.Survive)
}

// roomChanged keeps the summed room of domains.
func (c *Core) roomChanged(m *machine) {
	if c.where != nil && m.Spec != nil {
		c.where.tree.Set(m.Name, m.free(), c.usable(m))
	}
}

func (c *Core) leftTopology(name string) {
	if c.where != nil {
		c.where.tree.Remove(name)
	}
}

// lookAround takes in which machines may get work now: that ends by time as well, with no
// event of their own.
func (c *Core) lookAround() {
	if c.where == nil {
		return
	}
	w := c.where
	for _, m := range c.machines {
		c.roomChanged(m)
	}
	for _, j := range c.order {
		if j.Job.Near != nil && j.queued > 0 && len(j.live) == 0 {
			// Where it goes is chosen anew: a domain may have filled up since.
			c.takeBack(j)
		}
	}
	// Else each start would be weighed against reservations that nobody asks for any more.
	w.held.Expire(c.now())
	if l, a := w.tree.Unlisted(), w.tree.Ambiguous(); l > w.lone || a > w.ambiguous {
		w.lone, w.ambiguous = l, a
		slog.Warn("machines that the topology does not name stand alone; of those that two domains name the first counts", "not_named", l, "named_twice", a)
	}
}

// aimed chooses where a job's waiting tasks go, and tells whether they go anywhere now.
func (c *Core) aimed(j *job) bool {
	if j.site == nil {
		return true
	}
	may := func(name string) bool {
		m := c.machines[name]
		return m != nil && c.eligible(j, m) && c.stages(j, m)
	}
	ok := j.site.ChooseDomain(j.need, len(j.pending), j.Job.Shape != api.JobArray, may)
	why := j.site.Reason()
	if !ok && j.Job.Shape != api.JobArray && j.rank > lowestRank(c.order) && !c.mistaken(j) && !c.now().Before(j.aimNext) {
		// Arrays stop others one task at a time, like all arrays.
		j.aimNext = c.now().Add(tuning.AimAgain)
		ok = j.site.ChooseDomainByPreemption(j.need, len(j.pending), may, func(name string) []int64 { return c.offer(j, c.machines[name]) })
	}
	if !ok && j.Job.Shape != api.JobArray {
		if kept := c.keepDomain(j, may); kept != "" {
			why = kept
		}
	}
	if why != j.why {
		j.why = why
		if why != "" {
			slog.Info("job waits for a place", "job", j.id, "why", why)
		}
	}
	return ok
}

// stranded are the CPUs of tasks that must stand where no machine with room does, of each job
// those of as many tasks as could stand on a machine more.
func (c *Core) stranded() (cpus float64) {
	for _, j := range c.order {
		if j.site == nil || len(j.pending) == 0 || !c.ready(j) || !c.withinLimit(j) {
			continue
		}
		bound := false
		room := false
		for _, m := range c.machines {
			if !c.eligible(j, m) || !m.free().Fits(j.need) {
				continue
			}
			if zoneOK(j, m) && j.why == "" {
				room = true
				break
			}
			bound = true
		}
		if bound && !room {
			n := len(j.pending)
			if x := j.Job.Survive; x != nil && x.Must {
				n = min(n, x.AtMost)
			}
			cpus += float64(n) * j.need.CPUs
		}
	}
	return cpus
}

// sought is what the fleet should have at least for tasks without a place, in CPUs.
func (c *Core) sought(now time.Time) float64 {
	if c.where == nil {
		return 0
	}
	boot := 0.0
	for _, t := range c.types {
		boot = max(boot, t.BootS)
	}
	supply, _ := c.supply()
	return c.where.seek.TargetCPUs(now, c.stranded(), supply, seconds(boot))
}

// keepDomain reserves a domain that drains before a machine boots for a job that has none, and
// says so.
func (c *Core) keepDomain(j *job, may func(string) bool) string {
	if c.now().Before(j.reserveNext) {
		return j.kept
	}
	j.kept = ""
	j.reserveNext = c.now().Add(tuning.AimAgain)
	boot := 0.0
	for _, t := range c.types {
		if t.Fits(&j.Job) && (boot == 0 || t.BootS < boot) {
			boot = t.BootS
		}
	}
	d, ms := j.site.SoonestDomain(j.need, len(j.pending), may, func(name string) []int64 { return c.frees(j, c.machines[name], len(j.pending)) })
	if d == nil || float64(ms) > boot*1000 {
		return ""
	}
	at := c.now().Add(time.Duration(ms) * time.Millisecond)
	if c.where.held.Reserve(c.now(), topology.Reservation{Job: j.id, Rank: j.rank, Domain: d, At: at}) {
		j.kept = fmt.Sprintf("%s %q is kept for it until it drains", d.Level, d.Name)
	}
	return j.kept
}

// frees is in how many ms each of so many further tasks of a job could start on a machine, as what
// runs there ends by its estimate.
func (c *Core) frees(j *job, m *machine, tasks int) (at []int64) {
	free := m.free()
	type ending struct {
		ms   int64
		room fleet.Resources
	}
	var ends []ending
	for _, a := range m.assigns {
		switch {
		case a.stop:
			ends = append(ends, ending{0, a.job.need})
		case a.job.Job.Shape == api.Service:
			// It ends only by its user.
		default:
			left := estimate(a.job)
			if !a.running.IsZero() {
				left = max(tuning.MinRun, left-c.since(a.running).Seconds())
			}
			ends = append(ends, ending{int64(left * 1000), a.job.need})
		}
	}
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.ms, b.ms) })
	now := int64(0)
	for len(at) < tasks {
		switch {
		case free.Fits(j.need):
			free = free.Sub(j.need)
			at = append(at, now)
		case len(ends) > 0:
			now, free = ends[0].ms, free.Add(ends[0].room)
			ends = ends[1:]
		default:
			return at
		}
	}
	return at
}

// keptForOthers tells whether a machine stands in a domain that is kept for another job, in
// whose way this one would be.
func (c *Core) keptForOthers(j *job, m *machine) bool {
	if c.where == nil || !c.where.held.Any() {
		return false
	}
	var ends time.Time
	if j.Job.Shape != api.Service {
		ends = c.now().Add(seconds(estimate(j) + c.costs(j, 0, m, false).Seconds()))
	}
	return c.where.held.Blocks(c.now(), c.where.tree.Of(m.Name), j.id, j.rank, ends)
}

// offer is what each further task of a job costs on a machine, in work that is thrown away,
// until no more room can be made.
func (c *Core) offer(j *job, m *machine) (costs []int64) {
	free, _ := m.roomSoon()
	can := c.stoppable(j, m)
	c.leastFirst(can)
	cost := int64(0)
	for len(costs) < len(j.pending) {
		switch {
		case free.Fits(j.need):
			free = free.Sub(j.need)
			costs = append(costs, cost)
			cost = 0
		case len(can) > 0:
			free, cost = free.Add(can[0].job.need), cost+c.loss(can[0])
			can = can[1:]
		default:
			return costs
		}
	}
	return costs
}

// gangByForce starts a gang that is to stand near where room for all of it can be made, or
// does nothing: whatever is to be stopped for it counts as stopped while the rest is looked
// for, so that no team loses more than it may.
func (c *Core) gangByForce(j *job, ms []*machine) bool {
	attempt := c.nextAttempt()
	var held []*assign
	victims := map[*assign][]*assign{}
	meant := func(v *assign, stop bool) {
		v.stop = stop
		team := v.job.Job.Team
		if stop {
			c.leaving[team] = c.leaving[team].Add(v.job.need)
		} else {
			c.leaving[team] = c.leaving[team].Sub(v.job.need)
		}
	}
	undo := func() {
		for _, a := range held {
			for _, v := range victims[a] {
				meant(v, false)
			}
		}
	}
	for _, t := range j.pending {
		var best option
		for _, m := range ms {
			if !c.eligible(j, m) || !zoneOK(j, m) || !c.stages(j, m) || !c.withinLimit(j) || len(m.assigns)+len(m.ended) >= tuning.ReportTasks {
				continue
			}
			out, victims, ok := c.makeRoom(j, m)
			if !ok {
				continue
			}
			x := option{m: m, leaving: out, victim: victims}
			for _, v := range victims {
				x.score += float64(c.loss(v))
			}
			if best.m == nil || x.score < best.score {
				best = x
			}
		}
		if best.m == nil {
			undo()
			for _, a := range held {
				c.drop(a)
			}
			return false
		}
		a := c.hold(j, int(t), best.m, attempt)
		a.victims = append(best.leaving, best.victim...)
		victims[a] = best.victim
		for _, v := range best.victim {
			meant(v, true)
		}
		held = append(held, a)
	}
	undo()
	j.pending = nil
	for _, a := range held {
		c.moveAside(victims[a], j)
		c.commitStart(a, "gang")
	}
	return true
}
