// Package capacity estimates the resources that a deployment of a given size needs, from figures measured on
// deployments of other sizes. Each figure is fitted as a linear function of workers, running tasks and task starts per
// second. An estimate includes the residual of its fit and is marked as extrapolated if the size lies outside of the
// measured range. The package measures nothing and reads no clock.
package capacity

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Names of the fitted figures, with their units.
const (
	LeaderCPU           = "leader_cpu"         // share of one core, mean
	LeaderCPUP99        = "leader_cpu_p99"     // share of one core, 99th percentile over one-second samples
	LeaderMemory        = "leader_memory"      // MB resident
	LeaderDescriptors   = "leader_descriptors" // open descriptors
	FollowerCPU         = "follower_cpu"       // share of one core, mean, of the follower with the higher load
	FollowerMemory      = "follower_memory"    // MB resident
	FollowerDescriptors = "follower_sockets"   // open descriptors
	TakeoverCPUPeak     = "takeover_cpu_peak"  // share of one core, maximum over one-second samples after a change of leader
	TakeoverMemory      = "takeover_memory"    // MB resident, new leader
	StateRequests       = "state_requests"     // requests per second of all controllers
	StateTransactions   = "state_transactions" // transactions per second of all controllers
	StateChanges        = "state_changes"      // puts and deletes per second of all controllers
	HeartbeatBytes      = "report_bytes"       // bytes per second of all workers' heartbeats and their responses
	CommandMessages     = "command_messages"   // directly sent commands per second to all workers
	PeerBytes           = "sibling_bytes"      // bytes per second between all controllers
	CloudRequests       = "cloud_requests"     // requests per second of all controllers
	FakeWorkerCPU       = "worker_cpu_at_most" // share of one core, all fake workers, services and users together
	TakeoverFirstStart  = "takeover_first"     // seconds from a leader crash to the first task start
	TakeoverAllAnswered = "takeover_all_heard" // seconds from a leader crash until the new leader has answered every worker
)

// Measurement holds the figures measured on a deployment of one size.
type Measurement struct {
	Name    string  `json:"name"`
	Workers float64 `json:"workers"`
	Tasks   float64 `json:"tasks"`
	Starts  float64 `json:"starts_per_s"`
	// Figures holds the measured figures by name; some may be missing.
	Figures map[string]float64 `json:"figures"`
}

// Size is the size of a deployment.
type Size struct {
	Workers       float64 `json:"workers"`
	Tasks         float64 `json:"tasks"`
	JobsPerDay    float64 `json:"jobs_per_day"`
	Starts        float64 `json:"starts_per_s"`
	Teams         float64 `json:"teams"`
	ChangesPerDay float64 `json:"configuration_changes_per_day"`
}

// Planned returns the size that operators plan for.
func Planned() Size {
	return Size{Workers: 1600, Tasks: 38_000, JobsPerDay: 8900, Starts: 97, Teams: 110, ChangesPerDay: 610}
}

// Scale returns the size multiplied by a factor.
func (s Size) Scale(factor float64) Size {
	return Size{s.Workers * factor, s.Tasks * factor, s.JobsPerDay * factor, s.Starts * factor, s.Teams * factor, s.ChangesPerDay * factor}
}

// LinearFit is the linear fit of one figure: a constant and one coefficient for each predictor.
type LinearFit struct {
	Constant  float64 `json:"constant"`
	PerWorker float64 `json:"per_worker"`
	PerTask   float64 `json:"per_task"`
	PerStart  float64 `json:"per_start_a_second"`
	// Residual is the largest deviation of a measured point from the fit, as a fraction of the measured value. Points
	// is the number of measured points; MinSize and MaxSize are the bounds of their sizes.
	Residual         float64 `json:"residual"`
	Points           int     `json:"points"`
	MinSize, MaxSize Size    `json:"-"`
}

// At returns the fitted value at a size.
func (f LinearFit) At(s Size) float64 {
	return f.Constant + f.PerWorker*s.Workers + f.PerTask*s.Tasks + f.PerStart*s.Starts
}

// Extrapolates reports whether a size lies outside of the measured range.
func (f LinearFit) Extrapolates(s Size) bool {
	outside := func(v, lower, upper float64) bool { return v < lower || v > upper }
	return outside(s.Workers, f.MinSize.Workers, f.MaxSize.Workers) || outside(s.Tasks, f.MinSize.Tasks, f.MaxSize.Tasks) || outside(s.Starts, f.MinSize.Starts, f.MaxSize.Starts)
}

// Model maps the name of each figure to its fit.
type Model map[string]LinearFit

// minPoints is the number of measurements that a fit of a figure requires.
const minPoints = 4

// ErrTooFewMeasurements is returned if there are too few measurements for a fit.
var ErrTooFewMeasurements = errors.New("too few measurements")

// Fit fits every figure that has at least minPoints measurements and omits the others from the model. It returns
// ErrTooFewMeasurements if no figure can be fitted.
func Fit(measurements []Measurement) (Model, error) {
	names := map[string]bool{}
	for _, m := range measurements {
		for name := range m.Figures {
			names[name] = true
		}
	}
	model := Model{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		fit, err := fitFigure(name, measurements)
		if errors.Is(err, ErrTooFewMeasurements) {
			continue
		}
		if err != nil {
			return nil, err
		}
		model[name] = fit
	}
	if len(model) == 0 {
		return nil, fmt.Errorf("%w: no figure has %d measurements", ErrTooFewMeasurements, minPoints)
	}
	return model, nil
}

// predictors lists functions that return the predictors of a fit: the constant and the dimensions of the size, in the
// order of the coefficients of LinearFit.
var predictors = []func(m Measurement) float64{
	func(Measurement) float64 { return 1 },
	func(m Measurement) float64 { return m.Workers },
	func(m Measurement) float64 { return m.Tasks },
	func(m Measurement) float64 { return m.Starts },
}

// fitFigure fits one figure. It returns ErrTooFewMeasurements if the figure has fewer than minPoints measurements.
func fitFigure(name string, measurements []Measurement) (LinearFit, error) {
	var points []Measurement
	for _, measurement := range measurements {
		if value, ok := measurement.Figures[name]; ok && value > 0 {
			points = append(points, measurement)
		}
	}
	if len(points) < minPoints {
		return LinearFit{}, fmt.Errorf("%s: %w: %d, at least %d", name, ErrTooFewMeasurements, len(points), minPoints)
	}
	used, coefficients, err := nonNegativeLeastSquares(name, points)
	if err != nil {
		return LinearFit{}, err
	}
	fit := LinearFit{Points: len(points), MinSize: sizeOf(points[0]), MaxSize: sizeOf(points[0])}
	for i, predictor := range used {
		*[]*float64{&fit.Constant, &fit.PerWorker, &fit.PerTask, &fit.PerStart}[predictor] = coefficients[i]
	}
	for _, point := range points {
		size := sizeOf(point)
		fit.Residual = math.Max(fit.Residual, math.Abs(fit.At(size)-point.Figures[name])/point.Figures[name])
		fit.MinSize, fit.MaxSize = minSize(fit.MinSize, size), maxSize(fit.MaxSize, size)
	}
	return fit, nil
}

// nonNegativeLeastSquares finds the coefficients that minimize the sum of squared relative errors, so that small sizes
// have the same weight as large ones. No figure decreases as a deployment grows, so predictors with a negative
// coefficient are removed one at a time, the most negative first, and the remaining ones are fitted again. It returns
// the indices of the remaining predictors and their coefficients.
func nonNegativeLeastSquares(name string, points []Measurement) (used []int, coefficients []float64, err error) {
	used = []int{0, 1, 2, 3}
	for {
		if coefficients, err = leastSquares(name, points, used); err != nil {
			// Some predictors are linearly dependent; the last one is removed.
			if len(used) == 1 {
				return nil, nil, fmt.Errorf("%s: %w", name, err)
			}
			used = used[:len(used)-1]
			continue
		}
		mostNegativeIndex := mostNegative(points, used, coefficients)
		if mostNegativeIndex < 0 {
			return used, coefficients, nil
		}
		used = slices.Delete(slices.Clone(used), mostNegativeIndex, mostNegativeIndex+1)
		if len(used) == 0 {
			return nil, nil, fmt.Errorf("%s: no non-negative coefficients fit the measurements", name)
		}
	}
}

// mostNegative returns the index of the negative coefficient with the largest contribution, or -1 if none is negative.
func mostNegative(points []Measurement, used []int, coefficients []float64) int {
	index := -1
	for i, coefficient := range coefficients {
		if coefficient < 0 && (index < 0 || maxContribution(points, used[i], coefficient) < maxContribution(points, used[index], coefficients[index])) {
			index = i
		}
	}
	return index
}

// maxContribution returns the contribution of a coefficient at the largest value of its predictor.
func maxContribution(points []Measurement, predictor int, coefficient float64) float64 {
	maxValue := 0.0
	for _, p := range points {
		maxValue = math.Max(maxValue, predictors[predictor](p))
	}
	return maxValue * coefficient
}

// leastSquares fits a figure to the predictors with the given indices. It fails if they are linearly dependent.
func leastSquares(name string, points []Measurement, used []int) ([]float64, error) {
	if len(points) < len(used) {
		return nil, fmt.Errorf("%w: %d points for %d coefficients", ErrTooFewMeasurements, len(points), len(used))
	}
	rows := mat.NewDense(len(points), len(used), nil)
	values := mat.NewVecDense(len(points), nil)
	// Each column is scaled to a maximum of 1: task numbers in the tens of thousands beside a constant of 1 would make
	// the matrix ill-conditioned.
	scale := make([]float64, len(used))
	for j, predictor := range used {
		scale[j] = maxContribution(points, predictor, 1)
		if scale[j] == 0 {
			scale[j] = 1
		}
	}
	for i, p := range points {
		v := p.Figures[name]
		values.SetVec(i, 1)
		for j, predictor := range used {
			rows.Set(i, j, predictors[predictor](p)/scale[j]/v)
		}
	}
	var qr mat.QR
	qr.Factorize(rows)
	var solution mat.VecDense
	if err := qr.SolveVecTo(&solution, false, values); err != nil {
		return nil, err
	}
	coefficients := make([]float64, len(used))
	for j := range coefficients {
		coefficients[j] = solution.AtVec(j) / scale[j]
	}
	return coefficients, nil
}

func sizeOf(m Measurement) Size { return Size{Workers: m.Workers, Tasks: m.Tasks, Starts: m.Starts} }

func minSize(a, b Size) Size {
	return Size{Workers: math.Min(a.Workers, b.Workers), Tasks: math.Min(a.Tasks, b.Tasks), Starts: math.Min(a.Starts, b.Starts)}
}

func maxSize(a, b Size) Size {
	return Size{Workers: math.Max(a.Workers, b.Workers), Tasks: math.Max(a.Tasks, b.Tasks), Starts: math.Max(a.Starts, b.Starts)}
}
