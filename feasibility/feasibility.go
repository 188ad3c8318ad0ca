// Package feasibility finds jobs that no machine will ever serve, however many there are: rentals follow
// how many processors are asked for in all, so that a fleet with room to spare may have none of the
// type, the zone or the size that one job needs. It has no clock and no lock.
package feasibility

import (
	"fmt"
	"slices"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/quota"
)

// Machine is one that is there or coming. Used is what services take of it, which end by their users
// alone.
type Machine struct {
	Spec *api.MachineType
	Zone string
	Spot bool
	Used fleet.Resources
}

// Pool is one kind of machine that the cloud rents.
type Pool struct {
	Type *api.MachineType
	Zone string
	Spot bool
}

// serves tells whether a machine can at some time run a task of a job.
func (m *Machine) serves(job *api.Submission) bool {
	if m.Spec == nil || m.Spot && !job.Spot || job.Zone != "" && job.Zone != m.Zone || !m.Spec.Fits(job) {
		return false
	}
	free := fleet.Resources{CPUs: m.Spec.CPUs, Cards: m.Spec.Cards, MemoryGB: m.Spec.MemoryGB}
	return free.Sub(m.Used).Fits(fleet.RequestOf(job))
}

// Unplaceable are the jobs of which no machine can ever run a task, in their order; of those that ask for the
// same, the first.
func Unplaceable(jobs []*api.Submission, machines []Machine) (out []*api.Submission) {
	seen := map[string]bool{}
	for _, job := range jobs {
		key := fmt.Sprint(job.Types, job.Zone, job.Spot, job.CPUs, job.Cards, job.MemoryGB, job.ImageGB)
		if seen[key] {
			continue
		}
		seen[key] = true
		if !slices.ContainsFunc(machines, func(m Machine) bool { return m.serves(job) }) {
			out = append(out, job)
		}
	}
	return out
}

// PoolFor is the first pool whose machines can run a job's tasks.
func PoolFor(job *api.Submission, pools []Pool) (Pool, bool) {
	i := slices.IndexFunc(pools, func(pool Pool) bool {
		return (&Machine{Spec: pool.Type, Zone: pool.Zone, Spot: pool.Spot}).serves(job)
	})
	if i < 0 {
		return Pool{}, false
	}
	return pools[i], true
}

// ConcurrentRequest is the least that a job must have at once, to run at all.
func ConcurrentRequest(job *api.Submission) fleet.Resources {
	if job.Shape == api.JobArray {
		return fleet.RequestOf(job)
	}
	return fleet.RequestOf(job).Scale(job.Tasks)
}

// CanRun checks a submission against teams' limits and machine types. Not decided:
// the machine types are not known yet.
func CanRun(job *api.Submission, limitOf func(team string) (quota.Limit, bool), types []api.MachineType) (err error, undecided bool) {
	limit, ok := limitOf(job.Team)
	if !ok {
		return &api.FieldError{Field: "owner", Want: "no such team"}, false
	}
	if !limit.Allows(ConcurrentRequest(job)) {
		return &api.FieldError{Field: "parts", Want: "the job needs more than its team's limit"}, false
	}
	if len(types) == 0 {
		return nil, true
	}
	for i := range types {
		if types[i].Fits(job) {
			return nil, false
		}
	}
	return &api.FieldError{Field: "cores", Want: "a task fits no allowed machine type"}, false
}
