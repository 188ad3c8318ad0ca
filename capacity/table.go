package capacity

import (
	"cmp"
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"

	"switchferry/settings"
)

// Record is the result of a scale run: the measurements and the cost of a job of each shape.
type Record struct {
	// Measured describes how and where the measurements were taken.
	Measured     string        `json:"measured"`
	Command      string        `json:"command"`
	Measurements []Measurement `json:"measurements"`
	Jobs         []JobCost     `json:"jobs"`
}

// JobCost is the number of state service changes that one job of a shape causes, from its acceptance to the removal
// of its records.
type JobCost struct {
	Shape   string `json:"shape"`
	Tasks   int    `json:"tasks"`
	Changes int    `json:"changes"`
	// ChangesByKind counts the changes by the kind of record.
	ChangesByKind map[string]int `json:"by"`
}

//go:embed measured.json
var embedded []byte

// Embedded returns the record of the scale run that docs/CAPACITY.md describes.
func Embedded() (*Record, error) {
	var r Record
	if err := json.Unmarshal(embedded, &r); err != nil {
		return nil, fmt.Errorf("decoding the embedded measurements: %w", err)
	}
	return &r, nil
}

// Row is the estimate of one figure of a role.
type Row struct {
	Role   string  `json:"role"`
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Value  float64 `json:"value"`
	// Larger is the value at 1.5 times the size.
	Larger float64 `json:"value_at_1_5"`
	// Residual is the residual of the fit. Extrapolated is true if the size lies outside of the measured range,
	// LargerExtrapolated if 1.5 times the size does.
	Residual           float64 `json:"residual"`
	Extrapolated       bool    `json:"beyond_measured"`
	LargerExtrapolated bool    `json:"beyond_measured_at_1_5"`
}

// workerRole is the role whose figures are measured for all workers together and reported per worker.
const workerRole = "worker"

// rowDefinitions lists the figures of the table in the order of its rows.
var rowDefinitions = []struct {
	role, figure, name, unit string
}{
	{workerRole, HeartbeatBytes, "reports and answers", "bytes/s"},
	{workerRole, FakeWorkerCPU, "processor time at most", "cores"},
	{"follower", FollowerCPU, "processor time, mean", "cores"},
	{"follower", FollowerMemory, "memory", "MB"},
	{"follower", FollowerDescriptors, "descriptors", ""},
	{"leader", LeaderCPU, "processor time, mean", "cores"},
	{"leader", LeaderCPUP99, "processor time, p99 of seconds", "cores"},
	{"leader", LeaderMemory, "memory", "MB"},
	{"leader", LeaderDescriptors, "descriptors", ""},
	{"new leader", TakeoverCPUPeak, "processor time, busiest second", "cores"},
	{"new leader", TakeoverMemory, "memory", "MB"},
	{"new leader", TakeoverFirstStart, "crash to the first start", "s"},
	{"new leader", TakeoverAllAnswered, "crash until all are answered", "s"},
	{"state service", StateRequests, "requests", "1/s"},
	{"state service", StateTransactions, "transactions", "1/s"},
	{"state service", StateChanges, "changes", "1/s"},
	{"cloud", CloudRequests, "requests", "1/s"},
	{"controllers", PeerBytes, "between them", "bytes/s"},
	{"controllers", CommandMessages, "direct commands", "1/s"},
}

// Table returns a row for each figure of the model, in the order of columns.
func (m Model) Table(size Size) (rows []Row) {
	larger := size.Scale(1.5)
	for _, c := range rowDefinitions {
		fit, ok := m[c.figure]
		if !ok {
			continue
		}
		row := Row{Role: c.role, Figure: c.name, Unit: c.unit, Value: fit.At(size), Larger: fit.At(larger), Residual: fit.Residual,
			Extrapolated: fit.Extrapolates(size), LargerExtrapolated: fit.Extrapolates(larger)}
		if c.role == workerRole && size.Workers > 0 {
			row.Value /= size.Workers
			row.Larger /= larger.Workers
		}
		rows = append(rows, row)
	}
	return rows
}

// Limit is an upper bound on one figure and the growth of the deployment that it allows.
type Limit struct {
	Name   string  `json:"limit"`
	Bound  float64 `json:"bound"`
	Needed float64 `json:"needed"`
	// Factor is the factor by which the size may grow within the bound; below 1 the size itself exceeds the bound.
	Factor float64 `json:"fits_times"`
	// Extrapolated is true if the largest size within the bound lies outside of the measured range.
	Extrapolated bool `json:"beyond_measured"`
}

// throttleShare is the fraction of a limit to which the controllers throttle their own requests.
const throttleShare = 0.8

// Limits returns the bounds that the settings impose, in the order in which a growing deployment reaches them.
func (m Model) Limits(size Size, configuration *settings.Settings) (limits []Limit) {
	strictest := configuration.Facts.State.Strictest()
	for _, limit := range []struct {
		name, figure string
		bound        float64
	}{
		{"facts.resources.cpu, leader's mean", LeaderCPU, configuration.Facts.Resources.CPU},
		{"facts.resources.cpu, leader's p99 of seconds", LeaderCPUP99, configuration.Facts.Resources.CPU},
		{"facts.resources.cpu, a new leader's busiest second", TakeoverCPUPeak, configuration.Facts.Resources.CPU},
		{"facts.resources.ram_mb, leader", LeaderMemory, configuration.Facts.Resources.RAMMB},
		{"facts.resources.sockets, leader", LeaderDescriptors, float64(configuration.Facts.Resources.MaxSockets)},
		{"facts.resources.sockets, follower", FollowerDescriptors, float64(configuration.Facts.Resources.MaxSockets)},
		{"facts.state.rps", StateRequests, throttleShare * configuration.Facts.State.RPS},
		{"facts.state.write_rps", StateChanges, throttleShare * strictest.WriteRPS},
		{"facts.cloud.rps", CloudRequests, configuration.Facts.Cloud.RPS},
	} {
		fit, ok := m[limit.figure]
		if !ok || limit.bound <= 0 {
			continue
		}
		factor := fit.growthFactor(size, limit.bound)
		limits = append(limits, Limit{Name: limit.name, Bound: limit.bound, Needed: fit.At(size), Factor: factor, Extrapolated: fit.Extrapolates(size.Scale(factor))})
	}
	sortLimits(limits)
	return limits
}

// growthFactor returns the factor by which a size may grow within a bound, which is exact because the fit is linear. It
// returns math.MaxFloat64 if the figure does not grow with the size.
func (f LinearFit) growthFactor(size Size, bound float64) float64 {
	variablePart := f.At(size) - f.Constant
	if variablePart <= 0 {
		return math.MaxFloat64
	}
	return math.Max(0, (bound-f.Constant)/variablePart)
}

// sortLimits sorts limits by the growth that they allow, the smallest first.
func sortLimits(limits []Limit) {
	slices.SortStableFunc(limits, func(a, b Limit) int { return cmp.Compare(a.Factor, b.Factor) })
}

// Read reads the record of a scale run from a file.
func Read(file string) (*Record, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("measurements: %w", err)
	}
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("measurements: %s is not what `experiment scale --slopes` writes: %w", file, err)
	}
	return &r, nil
}
