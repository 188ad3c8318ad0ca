package controller

import (
	"cmp"
	"container/heap"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/placement"
	"switchferry/policy"
	"switchferry/quota"
	"switchferry/reachability"
	"switchferry/store"
	"switchferry/tuning"
)

// total is a machine's whole room.
func (m *machine) total() fleet.Resources {
	if m.Spec == nil {
		return fleet.Resources{}
	}
	return fleet.Resources{CPUs: m.Spec.CPUs, Cards: m.Spec.Cards, MemoryGB: m.Spec.MemoryGB}
}

// fetchS is the time to get a job's image: none where it is held or, as far as
// the choice of a machine goes, already on its way.
func (m *machine) fetchS(j *job) float64 {
	if m.images[j.Job.Image] > 0 {
		return 0
	}
	return m.FetchSeconds(j.Job.Image, j.Job.ImageGB)
}

func (m *machine) free() fleet.Resources { return m.total().Sub(m.used) }

// usable tells whether a machine may get new work.
func (c *Core) usable(m *machine) bool {
	return m.Up && m.Spec != nil && !m.returning && m.PreemptedAt.IsZero() && !c.suspect(m) &&
		c.now().After(m.refused) && c.since(m.LastHeartbeat) < c.quiet(m) && m.line.State(c.now(), c.lease()) == reachability.Reachable
}

// quiet is how long a machine may be unheard and still get work.
func (c *Core) quiet(m *machine) time.Duration {
	d := seconds(2.5 * c.set.Facts.Workers.ReportS)
	if m.relay != "" {
		d += tuning.RelayKeep
	}
	return d
}

// allowed tells whether a job's tasks may ever run on a machine.
func allowed(j *job, m *machine) bool {
	return m.Spec.Fits(&j.Job) && (j.Job.Zone == "" || j.Job.Zone == m.Zone) && (!m.Spot || j.Job.Spot)
}

func (c *Core) eligible(j *job, m *machine) bool {
	if !c.usable(m) || !allowed(j, m) {
		return false
	}
	until, ok := j.avoid[m.Name]
	return (!ok || c.now().After(until)) && !c.keptForAged(j, m) && !c.keptForOthers(j, m)
}

// zoneOK tells whether one more task may start in a machine's zone, given
// where the others are or may be.
func zoneOK(j *job, m *machine) bool {
	if j.site != nil && !j.site.Allows(m.Name) {
		return false
	}
	if !j.Job.OneZone && !j.Job.Spread {
		return true
	}
	here := 0
	for _, a := range j.live {
		switch {
		case a.machine.Zone == m.Zone:
			here++
		case j.Job.OneZone:
			return false
		case a.machine.Zone == "":
			// Known from a record only, it may be in this zone.
			here++
		}
	}
	return !j.Job.Spread || here < (j.total+1)/2
}

// withinLimit tells whether a job's team may use one more task's worth, beside what is reserved for another job that
// goes before it (package quota).
func (c *Core) withinLimit(j *job) bool {
	limit, ok := c.active.Limit(j.Job.Team)
	if !ok {
		return false
	}
	use := c.use[j.Job.Team].Add(j.need)
	if r, ok := c.quotas.Reservation(j.Job.Team); ok && r.ID != j.id {
		if o := c.jobs[r.ID]; o != nil && before(o, j) < 0 {
			use = use.Add(r.Resources)
		}
	}
	return limit.Allows(use)
}

// claims are those of the jobs that go before others in their teams, by rank or age, and wait.
func claims(jobs []*job, limitOf func(string) (quota.Limit, bool), use map[string]fleet.Resources, ready func(*job) bool) (out []quota.Demand) {
	stays := map[string]fleet.Resources{}
	for _, j := range jobs {
		if j.Job.Shape == api.Service {
			stays[j.Job.Team] = stays[j.Job.Team].Add(j.need.Scale(len(j.live)))
		}
	}
	for _, j := range jobs {
		limit, ok := limitOf(j.Job.Team)
		if !ok || j.first() == 0 || len(j.pending)+j.queued == 0 || !ready(j) {
			continue
		}
		need := j.need
		if j.Job.Shape == api.Gang {
			need = need.Scale(len(j.pending))
		}
		out = append(out, quota.Demand{Team: j.Job.Team, ID: j.id, Limit: limit, Request: need, Use: use[j.Job.Team], Permanent: stays[j.Job.Team]})
	}
	return out
}

func (c *Core) ready(j *job) bool {
	return j.accepted && j.FinalState == "" && !c.now().Before(j.pause) && c.dataReady(j) && (len(j.live) == 0 || j.Job.Shape == api.Gang || !c.mistaken(j))
}

// estimate is how long a task of the job runs, in seconds.
func estimate(j *job) float64 { return math.Max(tuning.MinRun, j.Job.EstimateS) }

// Place gives work to machines. It is the only place where tasks get one.
func (c *Core) Place() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beat(c.now())
	if !c.loaded || !c.hooks.Valid() {
		return
	}
	c.at = c.clock.Now()
	defer func() { c.at = time.Time{} }()
	c.sortQueues()
	c.quotas.Reserve(c.at, claims(c.order, c.active.Limit, c.use, c.ready))
	for _, m := range c.machines {
		if len(m.queue) > 0 && !c.usable(m) {
			for _, q := range m.queue {
				q.giveBack()
			}
			m.queue = nil
		}
	}
	if c.data != nil {
		c.data.snap = c.data.index.Snapshot()
		c.unstick()
		defer c.stage()
	}
	c.lookAround()
	c.keepRoom()
	for _, j := range c.order {
		if len(j.pending) == 0 || !c.ready(j) || !c.aimed(j) {
			continue
		}
		switch {
		case j.Job.Shape == api.Service:
			c.placeService(j)
		case j.Job.Shape == api.Gang:
			c.placeGang(j)
		case c.withinLimit(j) && len(j.inputs) > 0:
			c.dataFill(j)
		case c.withinLimit(j):
			c.waterFill(j)
		}
	}
	ms := c.byName()
	c.serve(ms)
	lowest := lowestRank(c.order)
	for _, j := range c.order {
		if j.rank <= lowest && (!j.entitled || c.since(j.arrived) < tuning.GuaranteePatience) {
			// Nothing may be stopped for it.
			continue
		}
		if j.Job.Shape == api.JobArray && len(j.pending)+j.queued > 0 {
			c.preempt(j, ms)
		}
	}
}

// lowestRank is the least rank of those of the jobs that are on machines.
func lowestRank(jobs []*job) int {
	lowest := api.RankProduction
	for _, j := range jobs {
		if len(j.live) > 0 {
			lowest = min(lowest, j.rank)
		}
	}
	return lowest
}

// byName lists the machines by name. The list is shared and must not be changed.
func (c *Core) byName() []*machine {
	if c.sorted == nil {
		c.sorted = make([]*machine, 0, len(c.machines))
		for _, m := range c.machines {
			c.sorted = append(c.sorted, m)
		}
		slices.SortFunc(c.sorted, func(a, b *machine) int { return strings.Compare(a.Name, b.Name) })
	}
	return c.sorted
}

// ahead is what a machine has outstanding for jobs up to and with j in the
// order of the queues, as equation (2) needs it, and the room that services
// leave.
func (c *Core) ahead(m *machine, j *job, slot float64) (_ []placement.Queued, room fleet.Resources) {
	room = m.total()
	// It is asked for each job and machine: what it counts in is used again.
	if c.count == nil {
		c.count = map[*job]int{}
	}
	clear(c.count)
	count, queued := c.count, c.queued[:0]
	for _, a := range m.assigns {
		if a.job.Job.Shape == api.Service {
			room = room.Sub(a.job.need)
		} else if !a.stop && before(a.job, j) <= 0 {
			count[a.job]++
		}
	}
	for _, q := range m.queue {
		if before(q.job, j) <= 0 {
			count[q.job] += len(q.tasks)
		}
	}
	for o, n := range count {
		mu := placement.Mu(max(1, room.Multiple(o.need)), slot, estimate(o))
		queued = append(queued, placement.Queued{Tasks: n, Mu: mu})
	}
	c.queued = queued
	return queued, room
}

// server is a machine as the water-filling sees it for a job, without what it must fetch.
func (c *Core) server(m *machine, j *job, slot float64) placement.Server {
	queued, room := c.ahead(m, j, slot)
	return placement.Server{Busy: placement.Busy(queued), Mu: placement.Mu(room.Multiple(j.need), slot, estimate(j)), Free: m.free().Multiple(j.need)}
}

// waterFill queues a job's waiting tasks by the paper's Algorithm 2. All tasks
// of a job need one image, so they form one group; the machines that lack the
// image take part with the fetch added to their busy time.
func (c *Core) waterFill(j *job) {
	open := c.open(j)
	if open <= 0 {
		return
	}
	slot := c.active.Policy.Value(policy.SlotS, nil)
	// Most machines wait for one of a few fetches: the policy's expression is asked once for
	// each.
	penalty := map[float64]int{}
	type candidate struct {
		m    *machine
		s    placement.Server
		free float64
	}
	var all []candidate
	for _, m := range c.byName() {
		if !c.eligible(j, m) || j.site != nil && !j.site.Allows(m.Name) {
			continue
		}
		s := c.server(m, j, slot)
		if s.Mu <= 0 {
			continue
		}
		wait := c.costs(j, 0, m, true).Seconds()
		slots, known := penalty[wait]
		if !known {
			slots = fetchPenalty(c.active.Policy, wait, slot)
			penalty[wait] = slots
		}
		s.Busy += slots
		all = append(all, candidate{m, s, m.free().CPUs})
	}
	// Of machines that are as busy, those with the least room left come first.
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.s.Busy, b.s.Busy), cmp.Compare(a.free, b.free))
	})
	ms, servers := make([]*machine, len(all)), make([]placement.Server, len(all))
	for i, x := range all {
		ms[i], servers[i] = x.m, x.s
	}
	share := placement.Fill(servers, open)
	if share == nil {
		return
	}
	slices.Sort(j.pending)
	for i, n := range share {
		if n > 0 {
			ms[i].enqueue(j, j.pending[:n])
			j.pending = j.pending[n:]
			j.queued += n
		}
	}
	slog.Debug("job queued", "job", j.id, "machines", len(ms), "shares", share)
}

// enqueue puts tasks into a machine's queue in the order of the jobs.
func (m *machine) enqueue(j *job, tasks []int32) {
	at, ok := slices.BinarySearchFunc(m.queue, j, func(q *queue, j *job) int { return before(q.job, j) })
	if !ok {
		m.queue = slices.Insert(m.queue, at, &queue{job: j})
	}
	m.queue[at].tasks = append(m.queue[at].tasks, tasks...)
}

// pop takes the first task of a queue.
func (q *queue) pop() int {
	t := q.tasks[0]
	q.tasks = q.tasks[1:]
	q.job.queued--
	return int(t)
}

// giveBack returns a queue's tasks to their job, to be placed again.
func (q *queue) giveBack() {
	q.job.pending = append(q.job.pending, q.tasks...)
	q.job.queued -= len(q.tasks)
	q.tasks = nil
}

func (m *machine) trim() {
	m.queue = slices.DeleteFunc(m.queue, func(q *queue) bool { return len(q.tasks) == 0 })
}

// startable tells whether a task of the job can start on the machine now.
func (c *Core) startable(j *job, m *machine) bool {
	return c.ready(j) && m.free().Fits(j.need) && len(m.assigns)+len(m.ended) < tuning.ReportTasks && c.eligible(j, m) && zoneOK(j, m) && c.withinLimit(j)
}

// place is a queue and the machine that it is on.
type place struct {
	m *machine
	q *queue
}

// serve starts queued tasks, job by job in the order of the queues: first where
// they are queued, then on other machines with room, out of the longest queue
// that holds the job. A machine does not start a later job of its own queue while
// it could serve an earlier one that waits elsewhere: one task left behind a long
// one, on one machine, keeps its whole job from being done.
func (c *Core) serve(ms []*machine) {
	where := map[*job][]place{}
	length := map[*machine]int{}
	least := math.Inf(1)
	low := false
	for _, m := range ms {
		for _, q := range m.queue {
			where[q.job] = append(where[q.job], place{m, q})
			length[m] += len(q.tasks)
			least = math.Min(least, q.job.need.CPUs)
			low = low || q.job.rank == api.RankLow
		}
	}
	if len(where) == 0 {
		return
	}
	// Most machines are full most of the time: those without room for the
	// smallest queued task are passed over.
	var roomy []*machine
	for _, m := range ms {
		if m.free().CPUs+tuning.RoomSlack >= least && c.usable(m) {
			roomy = append(roomy, m)
		}
	}
	room, reserve := 0.0, 0.0
	if low {
		room, reserve = c.reserve(ms)
	}
	for _, j := range c.order {
		if j.queued == 0 || len(roomy) == 0 || !c.ready(j) || !c.withinLimit(j) {
			continue
		}
		at := where[j]
		spare := func() bool {
			if j.aged {
				// One task's turn.
				return !j.started.Equal(c.now())
			}
			return j.rank > api.RankLow || room-j.need.CPUs >= reserve
		}
		for _, p := range at {
			for len(p.q.tasks) > 0 && spare() && c.startable(j, p.m) {
				i := c.next(p.q, p.m)
				if i < 0 {
					break
				}
				c.start(j, p.q.take(i), p.m, nil, "queued here")
				length[p.m]--
				room -= j.need.CPUs
			}
		}
		if j.queued > 0 && len(j.inputs) > 0 {
			c.shift(j, roomy, at)
		} else if j.queued > 0 && spare() {
			for _, m := range c.pullers(j, roomy) {
				for j.queued > 0 && spare() && c.startable(j, m) {
					from := -1
					for i, p := range at {
						if len(p.q.tasks) > 0 && (from < 0 || length[p.m] > length[at[from].m]) {
							from = i
						}
					}
					c.start(j, at[from].q.pop(), m, nil, "pulled")
					length[at[from].m]--
					room -= j.need.CPUs
				}
			}
		}
		roomy = slices.DeleteFunc(roomy, func(m *machine) bool { return m.free().CPUs+tuning.RoomSlack < least })
	}
	for m := range length {
		m.trim()
	}
}

// reserve is the room there is, and how much of it jobs of rank low leave to others.
// Tiny tasks that filled every gap at once had to be stopped by the dozen for each of
// the owners' tasks, and started again elsewhere.
func (c *Core) reserve(ms []*machine) (room, reserve float64) {
	owned := 0.0
	for _, m := range ms {
		if !c.usable(m) {
			continue
		}
		room += m.free().CPUs
		for _, a := range m.assigns {
			if a.job.rank > api.RankLow {
				owned += a.job.need.CPUs
			}
		}
	}
	return room, c.active.Policy.Value(policy.ReserveCPUs, policy.Vars{"owned_cpus": owned})
}

// pullers are the machines that may take a job's task off another's queue, those
// that hold the image first, and of those the ones with the least room left.
func (c *Core) pullers(j *job, roomy []*machine) []*machine {
	var out []*machine
	for _, m := range roomy {
		if c.startable(j, m) && c.worthPulling(j, m) {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(c.costs(j, 0, a, true).Seconds(), c.costs(j, 0, b, true).Seconds()),
			cmp.Compare(a.free().CPUs, b.free().CPUs))
	})
	return out
}

// worthPulling tells whether a machine without the image should take a job's
// task off a holder's queue: once the job has waited as long as the fetch takes,
// so that at worst it waits twice what was best.
func (c *Core) worthPulling(j *job, m *machine) bool {
	f := c.costs(j, 0, m, true).Seconds()
	return f <= tuning.FreeFetch || c.since(j.arrived).Seconds() >= tuning.PullPatience*f
}

// start records a task's machine; the command goes out once that is stored.
func (c *Core) start(j *job, task int, m *machine, victims []*assign, why string) {
	a := c.hold(j, task, m, c.nextAttempt())
	a.victims = victims
	c.commitStart(a, why)
}

func (c *Core) commitStart(a *assign, why string) {
	a.turn, a.job.started = a.job.aged, c.now()
	slog.Debug("task placed", "task", a.key, "machine", a.machine.Name, "attempt", a.attempt, "why", why, "image", a.machine.HasImage(a.job.Job.Image))
	c.touchShard(a.job, a.task, c.locked(func() {
		a.committed = true
		if a.job.live[a.task] == a {
			c.toPush[a.machine] = true
		}
	}))
}

// roomSoon is what a machine has free once the tasks being stopped are gone.
func (m *machine) roomSoon() (fleet.Resources, []*assign) {
	free := m.free()
	var leaving []*assign
	for _, a := range m.assigns {
		if a.stop {
			free = free.Add(a.job.need)
			leaving = append(leaving, a)
		}
	}
	return free, leaving
}

// mayStop tells whether a task may be stopped for a job: work of lower rank, or,
// for a job that waits within its team's guarantee, work of the same rank that
// another team runs beyond its own. Were higher ranks stopped as well, which is
// allowed, they would stop the job's tasks in turn, and so on without end.
// Production is left alone.
func (c *Core) mayStop(a *assign, j *job) bool {
	o := a.job
	if a.turn && j.rank < api.RankProduction && c.since(a.since) < tuning.TurnKept {
		// Stopped at once, its turn would have come in vain.
		return false
	}
	if o.rank < j.rank {
		return true
	}
	if o.rank > j.rank || !j.entitled || o.beyond == 0 || o.Job.Team == j.Job.Team || o.rank == api.RankProduction ||
		c.since(j.arrived) < tuning.GuaranteePatience {
		return false
	}
	// What is being stopped already is not there to be stopped again: counted as
	// use, it made the other team lose far more than it had borrowed, and that
	// one then took as much back, all over again.
	t, _ := c.active.Team(o.Job.Team)
	stays := c.use[t.Name].Sub(c.leaving[t.Name]).Sub(o.need)
	return stays.CPUs+tuning.RoomSlack >= t.CPUs && stays.Cards+tuning.RoomSlack >= t.Cards
}

// stoppable is what may be stopped on a machine for a job, in no order.
func (c *Core) stoppable(j *job, m *machine) (can []*assign) {
	for _, a := range m.assigns {
		if !a.stop && a.seen && c.mayStop(a, j) {
			can = append(can, a)
		}
	}
	return can
}

// makeRoom finds what to stop so that one task fits, and of that what loses the
// least. False: it cannot be done.
func (c *Core) makeRoom(j *job, m *machine) (leaving, victims []*assign, ok bool) {
	c.searched++
	free, leaving := m.roomSoon()
	if free.Fits(j.need) {
		return leaving, nil, true
	}
	can := c.stoppable(j, m)
	most := free
	for _, a := range can {
		most = most.Add(a.job.need)
	}
	if !most.Fits(j.need) {
		return nil, nil, false
	}
	c.leastFirst(can)
	for _, a := range can {
		free = free.Add(a.job.need)
		victims = append(victims, a)
		if free.Fits(j.need) {
			return leaving, victims, true
		}
	}
	return nil, nil, false
}

// leastFirst puts tasks in the order in which they are stopped.
func (c *Core) leastFirst(can []*assign) {
	slices.SortFunc(can, func(a, b *assign) int {
		return cmp.Or(cmp.Compare(a.job.rank, b.job.rank), cmp.Compare(c.loss(a), c.loss(b)), strings.Compare(a.key, b.key))
	})
}

// moveAside stops tasks to make room for a job.
func (c *Core) moveAside(victims []*assign, j *job) {
	for _, v := range victims {
		v.job.moved[v.task]++
		c.stopTask(v, 0, "room for "+j.id)
	}
}

// loss is the work, in ms, that stopping a task at once throws away. A task that
// made room before counts for more: it is the youngest again each time.
func (c *Core) loss(a *assign) int64 {
	before := int64(a.job.moved[a.task]) * tuning.MovedLoss.Milliseconds()
	if a.running.IsZero() {
		return before
	}
	run := c.since(a.running)
	if cp := seconds(a.job.Job.Checkpoint); cp > 0 {
		run = run % cp
	}
	return before + run.Milliseconds()
}

// placeService starts replicas at once: they skip the water-filling, since
// they run until they are cancelled. A machine that holds the image is worth
// more than one that must fetch it, and worth stopping lower work for.
func (c *Core) placeService(j *job) {
	var unstaged []int32
	defer func() { j.pending = append(j.pending, unstaged...) }()
	for len(j.pending) > 0 && c.withinLimit(j) && c.ready(j) {
		task := int(j.pending[0])
		var best *machine
		var bestOut, bestVictims []*assign
		bestScore := math.Inf(1)
		meant := c.meant(j, task)
		for _, m := range c.byName() {
			if !c.eligible(j, m) || !zoneOK(j, m) || !c.stages(j, m) || meant != nil && meant != m {
				continue
			}
			score := c.costs(j, task, m, false).Seconds()
			if j.site != nil {
				score += tuning.SitePrice * j.site.Cost(m.Name)
			}
			// Replicas on one machine are lost together.
			for _, a := range m.assigns {
				if a.job == j {
					score += 0.5
				} else if a.job.Job.Shape == api.Service {
					score += 0.2
				}
			}
			score += 0.1 * m.used.CPUs / m.Spec.CPUs
			var out, victims []*assign
			if !m.free().Fits(j.need) {
				ok := false
				if !c.mistaken(j) {
					out, victims, ok = c.makeRoom(j, m)
				}
				if !ok {
					continue
				}
				score += 1 + 0.2*float64(len(victims))
			}
			if score < bestScore {
				best, bestOut, bestVictims, bestScore = m, out, victims, score
			}
		}
		if best == nil {
			if meant == nil {
				return
			}
			// What it waited for has no room any more: another is looked for.
			delete(j.meant, task)
			j.pending, unstaged = j.pending[1:], append(unstaged, int32(task))
			continue
		}
		j.pending = j.pending[1:]
		if !c.staged(j, task, best) {
			// Nothing is stopped, and no room held, while its inputs are copied there.
			j.mean(task, best)
			unstaged = append(unstaged, int32(task))
			continue
		}
		c.moveAside(bestVictims, j)
		c.start(j, task, best, append(bestOut, bestVictims...), "service")
	}
}

// placeGang starts all waiting tasks of a gang, or none: a few of them would
// only hold room while they wait for the others.
func (c *Core) placeGang(j *job) {
	if len(j.live) > 0 {
		// The rest of an earlier try ends by itself, for want of its mates.
		return
	}
	ms := slices.Clone(c.byName())
	holders := func(a, b *machine) int {
		return int(c.costs(j, 0, a, false).Seconds() - c.costs(j, 0, b, false).Seconds())
	}
	// A gang whose inputs are being copied keeps to its machines while they will do.
	kept := len(j.meant) > 0
	for _, t := range j.pending {
		kept = kept && c.meant(j, int(t)) != nil
	}
	slices.SortStableFunc(ms, holders)
	var held []*assign
	// Workers bring those together that have the same attempt.
	attempt := c.nextAttempt()
	zone := ""
	for _, first := range ms {
		if !c.eligible(j, first) || !zoneOK(j, first) || j.Job.OneZone && first.Zone == zone {
			continue
		}
		zone = first.Zone
		for _, m := range ms {
			for len(held) < len(j.pending) && c.startable(j, m) && c.stages(j, m) && (!j.Job.OneZone || m.Zone == zone) {
				held = append(held, c.hold(j, int(j.pending[len(held)]), m, attempt))
			}
		}
		if kept {
			for _, a := range held {
				c.drop(a)
			}
			if held = c.holdMeant(j, attempt); held == nil {
				clear(j.meant)
				return
			}
		}
		if len(held) == len(j.pending) {
			break
		}
		for _, a := range held {
			c.drop(a)
		}
		held = nil
	}
	if held == nil {
		if j.site != nil && j.Job.Near != nil && j.Job.Near.Must && j.rank > lowestRank(c.order) && len(j.inputs) == 0 && !c.mistaken(j) {
			c.gangByForce(j, ms)
		}
		return
	}
	for _, a := range held {
		if !c.staged(j, a.task, a.machine) {
			// All of it starts, or nothing: room is held by none meanwhile.
			for _, a := range held {
				j.mean(a.task, a.machine)
				c.drop(a)
			}
			return
		}
	}
	j.pending = nil
	for _, a := range held {
		c.commitStart(a, "gang")
	}
}

// holdMeant makes a gang's tasks count on the machines that their inputs are copied to;
// nil: one of them has no room.
func (c *Core) holdMeant(j *job, attempt uint64) (held []*assign) {
	for _, t := range j.pending {
		m := j.meant[int(t)]
		if m == nil || !c.startable(j, m) {
			for _, a := range held {
				c.drop(a)
			}
			return nil
		}
		held = append(held, c.hold(j, int(t), m, attempt))
	}
	return held
}

// option is a machine where room can be made, and what that costs.
type option struct {
	m               *machine
	leaving, victim []*assign
	score           float64
}

// options are the machines where room can be made for a job, cheapest first.
// They are looked at once for the job, not once for each of its tasks: a fleet
// of hundreds of machines and an array of hundreds of tasks would otherwise take
// the leader's whole processor. That is exact, since what is done on one machine
// makes no other one cheaper.
type options []option

func (o options) Len() int { return len(o) }
func (o options) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(o[a].score, o[b].score), strings.Compare(o[a].m.Name, o[b].m.Name)) < 0
}
func (o options) Swap(a, b int) { o[a], o[b] = o[b], o[a] }
func (o *options) Push(x any)   { *o = append(*o, x.(option)) }
func (o *options) Pop() any {
	last := len(*o) - 1
	x := (*o)[last]
	*o = (*o)[:last]
	return x
}

// optionOn is what room for one task of a job costs on a machine.
func (c *Core) optionOn(j *job, m *machine) (option, bool) {
	if !c.eligible(j, m) || !zoneOK(j, m) || len(j.inputs) > 0 && !c.hasStaged(j, m) {
		return option{}, false
	}
	out, victims, ok := c.makeRoom(j, m)
	if !ok {
		return option{}, false
	}
	// Only machines that have a task's inputs are looked at.
	score := c.costs(j, 0, m, true).Image
	for _, a := range victims {
		score += float64(c.loss(a)) / 1000
	}
	return option{m, out, victims, score}, true
}

func (c *Core) options(j *job, all []*machine) *options {
	o := &options{}
	for _, m := range all {
		if x, ok := c.optionOn(j, m); ok {
			*o = append(*o, x)
		}
	}
	heap.Init(o)
	return o
}

// best takes the cheapest option that still stands. The caller puts the machine
// back once it has used it.
func (c *Core) best(j *job, o *options) (option, bool) {
	for o.Len() > 0 {
		x := heap.Pop(o).(option)
		now, ok := c.optionOn(j, x.m)
		if !ok {
			continue
		}
		if now.score <= x.score || o.Len() == 0 || now.score <= (*o)[0].score {
			return now, true
		}
		heap.Push(o, now)
	}
	return option{}, false
}

// pushOption puts a machine back after its use.
func (c *Core) pushOption(j *job, m *machine, o *options) {
	if x, ok := c.optionOn(j, m); ok {
		heap.Push(o, x)
	}
}

// preempt makes room for an array of higher rank that found none.
func (c *Core) preempt(j *job, all []*machine) {
	if !c.ready(j) || c.mistaken(j) || !c.withinLimit(j) || !c.stopsAny(j) {
		return
	}
	opts := c.options(j, all)
	var queues []*queue
	for _, m := range all {
		for _, q := range m.queue {
			if q.job == j {
				queues = append(queues, q)
			}
		}
	}
	for len(j.pending)+j.queued > 0 && c.withinLimit(j) {
		x, ok := c.best(j, opts)
		if !ok {
			break
		}
		task := -1
		if len(j.inputs) > 0 {
			if task = c.takeStaged(j, x.m); task < 0 {
				break
			}
		} else if len(j.pending) > 0 {
			task = int(j.pending[0])
			j.pending = j.pending[1:]
		} else {
			for len(queues) > 0 && len(queues[0].tasks) == 0 {
				queues = queues[1:]
			}
			if len(queues) == 0 {
				break
			}
			task = queues[0].pop()
		}
		c.moveAside(x.victim, j)
		c.start(j, task, x.m, append(x.leaving, x.victim...), "preempting")
		c.pushOption(j, x.m, opts)
	}
	for _, m := range all {
		m.trim()
	}
}

// stopsAny tells whether anything may be stopped for a job at all. Most jobs
// that wait are of the lowest rank, and need not search the fleet.
func (c *Core) stopsAny(j *job) bool {
	for _, o := range c.order {
		for _, a := range o.live {
			if c.mayStop(a, j) {
				return true
			}
			if !a.turn {
				break // what a job's tasks may be stopped for is the same for all others
			}
		}
	}
	return false
}

// Conflict takes in a job record that another node, or a lost answer of ours,
// has written.
func (c *Core) Conflict(key string, found *store.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adopt(key, found)
}
