package controller

import (
	"log/slog"
	"time"

	"switchferry/ageing"
	"switchferry/api"
	"switchferry/tuning"
)

// keepRoom lets machines drain for jobs whose turn has come and that find no room: else what ends there
// makes room for a smaller task at once, and a task that needs a whole machine, or a gang, never starts
// while these keep coming.
func (c *Core) keepRoom() {
	now, kept, machines := c.now(), map[*job]bool{}, 0
	for _, m := range c.machines {
		if j := m.keptFor; j != nil && (!j.aged || c.jobs[j.id] != j) {
			m.keptFor = nil
		} else if j != nil {
			kept[j] = true
			machines++
		}
	}
	// One job may always have them, however many it needs.
	most := max(1, int(tuning.KeptShare*float64(len(c.machines))))
	for _, j := range c.order {
		if !j.aged || now.Before(j.roomNext) || machines >= most && !kept[j] || !c.withinLimit(j) || len(j.inputs) > 0 || j.site != nil {
			continue
		}
		j.roomNext = now.Add(tuning.KeepRoomEvery)
		tasks := 1
		if j.Job.Shape == api.Gang {
			tasks = len(j.pending)
		}
		var ms []ageing.Machine
		for _, m := range c.byName() {
			if m.keptFor != nil && m.keptFor != j || !c.eligible(j, m) || !zoneOK(j, m) {
				continue
			}
			x := ageing.Machine{Name: m.Name, Zone: m.Zone}
			for _, ms := range c.frees(j, m, tasks) {
				x.At = append(x.At, time.Duration(ms)*time.Millisecond)
			}
			ms = append(ms, x)
		}
		names, at := ageing.Keep(ms, tasks, j.Job.OneZone)
		for _, m := range c.machines {
			if m.keptFor == j {
				m.keptFor = nil
				machines--
			}
		}
		if len(names) == 0 || at <= 0 {
			// There is none ever, or now.
			continue
		}
		if !kept[j] {
			slog.Info("machines drain for a job that has waited long", "job", j.id, "machines", len(names), "in", at.Round(time.Second),
				"waited", now.Sub(j.ages).Round(time.Second))
			kept[j] = true
		}
		for _, n := range names {
			m := c.machines[n]
			m.keptFor, m.keptUntil = j, now.Add(at)
		}
		machines += len(names)
	}
}

// keptForAged tells whether a machine drains for another job, in whose way this one would be:
// production is not held up, and what ends by then may run there meanwhile.
func (c *Core) keptForAged(j *job, m *machine) bool {
	if m.keptFor == nil || m.keptFor == j || j.rank == api.RankProduction {
		return false
	}
	return j.Job.Shape != api.JobArray || c.now().Add(seconds(estimate(j)+m.fetchS(j))).After(m.keptUntil)
}
