package fleet

import (
	"switchferry/api"
	"switchferry/tuning"
)

// Resources is an amount of each resource of a machine: CPUs, cards (accelerators) and memory in gigabytes. The zero
// value is no resources. Amounts may be fractional, and differences may be negative.
type Resources struct{ CPUs, Cards, MemoryGB float64 }

// RequestOf returns the resources that one task of a job requests.
func RequestOf(job *api.Submission) Resources {
	return Resources{job.CPUs, job.Cards, job.MemoryGB}
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUs - other.CPUs, r.Cards - other.Cards, r.MemoryGB - other.MemoryGB}
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUs + other.CPUs, r.Cards + other.Cards, r.MemoryGB + other.MemoryGB}
}

// Scale returns n times r.
func (r Resources) Scale(n int) Resources {
	factor := float64(n)
	return Resources{r.CPUs * factor, r.Cards * factor, r.MemoryGB * factor}
}

// Fits reports whether a request fits into r, with a tolerance of tuning.ResourceSlack for rounding errors of decimal
// amounts.
func (r Resources) Fits(request Resources) bool {
	const slack = tuning.ResourceSlack
	return r.CPUs+slack >= request.CPUs && r.Cards+slack >= request.Cards && r.MemoryGB+slack >= request.MemoryGB
}

// emptyRequestCount is the number of empty requests that fit into any resources.
const emptyRequestCount = 1 << 20

// Count returns how many times a request fits into r at once, with the tolerance of Fits. An empty request fits 1<<20
// times.
func (r Resources) Count(request Resources) int {
	n := emptyRequestCount
	for _, pair := range [3]struct{ available, requested float64 }{
		{r.CPUs, request.CPUs}, {r.Cards, request.Cards}, {r.MemoryGB, request.MemoryGB},
	} {
		if pair.requested > 0 {
			n = min(n, max(0, int((pair.available+tuning.ResourceSlack)/pair.requested)))
		}
	}
	return n
}
