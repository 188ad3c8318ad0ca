package capacity

import (
	"errors"
	"fmt"
	"math"
	"path/filepath"
	"strings"
	"testing"

	"switchferry/settings"
)

// exactMeasurements returns noise-free measurements with the given coefficients, at sizes whose dimensions are
// linearly independent.
func exactMeasurements(fit LinearFit) (measurements []Measurement) {
	for _, s := range []Size{{Workers: 100, Tasks: 500, Starts: 1}, {Workers: 200, Tasks: 4000, Starts: 9}, {Workers: 400, Tasks: 9000, Starts: 2}, {Workers: 800, Tasks: 3000, Starts: 40}, {Workers: 1600, Tasks: 40000, Starts: 30}} {
		measurements = append(measurements, Measurement{Workers: s.Workers, Tasks: s.Tasks, Starts: s.Starts, Figures: map[string]float64{"f": fit.At(s)}})
	}
	return measurements
}

func TestFitRecoversExactCoefficients(t *testing.T) {
	want := LinearFit{Constant: 0.01, PerWorker: 0.0001, PerTask: 0.000003, PerStart: 0.0007}
	m, err := Fit(exactMeasurements(want))
	if err != nil {
		t.Fatal(err)
	}
	got := m["f"]
	for _, c := range [][2]float64{{got.Constant, want.Constant}, {got.PerWorker, want.PerWorker}, {got.PerTask, want.PerTask}, {got.PerStart, want.PerStart}} {
		if math.Abs(c[0]-c[1]) > 1e-6*c[1] {
			t.Errorf("coefficient %g, want %g", c[0], c[1])
		}
	}
	if got.Residual > 1e-9 || got.Points != 5 {
		t.Errorf("fit %+v, want no residual and 5 points", got)
	}
}

// Coefficients are not negative, even if a negative one would fit noisy measurements better, and the estimate of a
// constant figure does not depend on the size.
func TestFitHasNoNegativeCoefficients(t *testing.T) {
	all := exactMeasurements(LinearFit{Constant: 1, PerWorker: 0.01})
	all[4].Figures["f"] *= 0.8
	for i := range all {
		all[i].Figures["same"] = 7
	}
	m, err := Fit(all)
	if err != nil {
		t.Fatal(err)
	}
	for name, f := range m {
		if f.Constant < 0 || f.PerWorker < 0 || f.PerTask < 0 || f.PerStart < 0 {
			t.Errorf("%s: %+v", name, f)
		}
	}
	if got := m["same"].At(Size{Workers: 1e6}); math.Abs(got-7) > 1 {
		t.Errorf("a constant figure of 7 is estimated as %g", got)
	}
	if _, err := Fit(all[:3]); !errors.Is(err, ErrTooFewMeasurements) {
		t.Errorf("fit of 3 measurements: error %v, want %v", err, ErrTooFewMeasurements)
	}
}

// A fit without one of the sizes of the embedded run predicts the figures of that size within 25%.
func TestFitPredictsHeldOutSize(t *testing.T) {
	record, err := Embedded()
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []float64{400, 800, 1600} {
		var remaining []Measurement
		var heldOut *Measurement
		for i, measurement := range record.Measurements {
			switch {
			case measurement.Workers != size:
				remaining = append(remaining, measurement)
			case measurement.Name == "steady":
				heldOut = &record.Measurements[i]
			}
		}
		model, err := Fit(remaining)
		if err != nil {
			t.Fatal(err)
		}
		for _, figure := range []string{LeaderCPU, LeaderCPUP99, LeaderMemory, StateRequests, HeartbeatBytes, PeerBytes} {
			got, want := model[figure].At(sizeOf(*heldOut)), heldOut.Figures[figure]
			if math.Abs(got-want) > 0.25*want {
				t.Errorf("%s at %g workers: %g, measured %g", figure, size, got, want)
			}
		}
	}
}

// Estimates outside of the measured range are marked, and limits are ordered by when a growing deployment reaches
// them.
func TestTableMarksExtrapolationAndLimitsAreOrdered(t *testing.T) {
	record, err := Embedded()
	if err != nil {
		t.Fatal(err)
	}
	model, err := Fit(record.Measurements)
	if err != nil {
		t.Fatal(err)
	}
	rows := model.Table(Planned())
	if len(rows) < 15 {
		t.Fatalf("%d rows, want 15 or more", len(rows))
	}
	for _, r := range rows {
		if r.Extrapolated || !r.LargerExtrapolated || !(r.Value > 0) || r.Larger < r.Value && r.Role != workerRole {
			t.Errorf("row %+v", r)
		}
	}
	configuration := &settings.Settings{Facts: settings.Facts{State: settings.StateLimits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}, Cloud: settings.CloudLimits{RPS: 8}, Resources: settings.Resources{CPU: 1, RAMMB: 512, MaxSockets: 10_000}}}
	ampleMemory := model.Limits(Planned(), configuration)
	configuration.Facts.Resources.RAMMB = 60
	littleMemory := model.Limits(Planned(), configuration)
	if littleMemory[0].Name != "facts.resources.ram_mb, leader" || littleMemory[0].Factor >= 1 || littleMemory[0].Needed <= 60 || ampleMemory[0].Factor <= littleMemory[0].Factor {
		t.Errorf("first limit %+v, with more memory %+v", littleMemory[0], ampleMemory[0])
	}
	for i := range ampleMemory[1:] {
		if ampleMemory[i].Factor > ampleMemory[i+1].Factor {
			t.Errorf("limits not in ascending order of Factor: %+v", ampleMemory)
		}
	}
	// At the size scaled by Factor the figure equals the bound.
	firstLimit := ampleMemory[0]
	for _, other := range model.Limits(Planned().Scale(firstLimit.Factor), configuration) {
		if other.Name == firstLimit.Name && math.Abs(other.Needed-firstLimit.Bound) > 1e-6*firstLimit.Bound {
			t.Errorf("at %g times the size, the figure differs from the bound: %+v", firstLimit.Factor, other)
		}
	}
}

func TestReadReportsMissingFile(t *testing.T) {
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil || !strings.Contains(fmt.Sprint(err), "measurements") {
		t.Error(err)
	}
}
