// Package feasibility checks whether a job can ever run: on the machines that exist or that the cloud rents, and within
// its team's limit. Scale-out follows the total of requested CPUs, so a fleet with enough free CPUs may still have no
// machine of the type, zone or size that a job needs.
//
// The package has no clock and no lock.
package feasibility

import (
	"fmt"
	"slices"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/quota"
)

// Machine is a machine that is running or being started.
type Machine struct {
	// Spec is the machine's type; nil while it is not known, and then no job can run on the machine.
	Spec *api.MachineType
	Zone string
	// Spot says whether the machine is a preemptible instance.
	Spot bool
	// UsedByServices is the resources taken by services, which run until their users end them.
	UsedByServices fleet.Resources
}

// Pool is one kind of machine that the cloud rents.
type Pool struct {
	Type *api.MachineType
	Zone string
	Spot bool
}

// canRun reports whether the machine can run a task of a job once everything on it except services has ended.
func (m *Machine) canRun(job *api.Submission) bool {
	if m.Spec == nil || m.Spot && !job.Spot || job.Zone != "" && job.Zone != m.Zone || !m.Spec.Fits(job) {
		return false
	}
	total := fleet.Resources{CPUs: m.Spec.CPUs, Cards: m.Spec.Cards, MemoryGB: m.Spec.MemoryGB}
	return total.Sub(m.UsedByServices).Fits(fleet.RequestOf(job))
}

// Unplaceable returns the jobs whose tasks no machine can ever run, in the given order. Of several jobs with equal
// requirements it returns only the first.
func Unplaceable(jobs []*api.Submission, machines []Machine) (unplaceable []*api.Submission) {
	checked := map[string]bool{}
	for _, job := range jobs {
		requirements := fmt.Sprint(job.Types, job.Zone, job.Spot, job.CPUs, job.Cards, job.MemoryGB, job.ImageGB)
		if checked[requirements] {
			continue
		}
		checked[requirements] = true
		if !slices.ContainsFunc(machines, func(m Machine) bool { return m.canRun(job) }) {
			unplaceable = append(unplaceable, job)
		}
	}
	return unplaceable
}

// PoolFor returns the first pool whose machines can run a job's tasks, and false if there is none.
func PoolFor(job *api.Submission, pools []Pool) (Pool, bool) {
	i := slices.IndexFunc(pools, func(pool Pool) bool {
		machine := Machine{Spec: pool.Type, Zone: pool.Zone, Spot: pool.Spot}
		return machine.canRun(job)
	})
	if i < 0 {
		return Pool{}, false
	}
	return pools[i], true
}

// ConcurrentRequest returns the minimum resources that a job needs at the same time to run: those of one task of a job
// array, and of all tasks of a gang or a service.
func ConcurrentRequest(job *api.Submission) fleet.Resources {
	if job.Shape == api.JobArray {
		return fleet.RequestOf(job)
	}
	return fleet.RequestOf(job).Scale(job.Tasks)
}

// CheckSubmission checks a submission against its team's limit and the machine types; limitOf returns a team's limit,
// and false if there is no such team. The result is undecided if all other checks pass but the machine types are not
// known yet. An error is an *api.FieldError that names the submission's field.
func CheckSubmission(job *api.Submission, limitOf func(team string) (quota.Limit, bool), types []api.MachineType) (undecided bool, err error) {
	limit, ok := limitOf(job.Team)
	if !ok {
		return false, &api.FieldError{Field: "owner", Want: "no such team"}
	}
	if !limit.Allows(ConcurrentRequest(job)) {
		return false, &api.FieldError{Field: "parts", Want: "the job needs more than its team's limit"}
	}
	if len(types) == 0 {
		return true, nil
	}
	if !slices.ContainsFunc(types, func(machineType api.MachineType) bool { return machineType.Fits(job) }) {
		return false, &api.FieldError{Field: "cores", Want: "a task fits no allowed machine type"}
	}
	return false, nil
}
