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
func exactMeasurements(cost Slopes) (all []Measurement) {
	for _, s := range []Size{{Workers: 100, Tasks: 500, Starts: 1}, {Workers: 200, Tasks: 4000, Starts: 9}, {Workers: 400, Tasks: 9000, Starts: 2}, {Workers: 800, Tasks: 3000, Starts: 40}, {Workers: 1600, Tasks: 40000, Starts: 30}} {
		all = append(all, Measurement{Workers: s.Workers, Tasks: s.Tasks, Starts: s.Starts, Figures: map[string]float64{"f": cost.At(s)}})
	}
	return all
}

func TestFitRecoversExactCoefficients(t *testing.T) {
	want := Slopes{Constant: 0.01, PerWorker: 0.0001, PerTask: 0.000003, PerStart: 0.0007}
	m, err := Fit(exactMeasurements(want))
	if err != nil {
		t.Fatal(err)
	}
	got := m["f"]
	for _, c := range [][2]float64{{got.Constant, want.Constant}, {got.PerWorker, want.PerWorker}, {got.PerTask, want.PerTask}, {got.PerStart, want.PerStart}} {
		if math.Abs(c[0]-c[1]) > 1e-6*c[1] {
			t.Errorf("%g, want %g", c[0], c[1])
		}
	}
	if got.Residual > 1e-9 || got.Points != 5 {
		t.Errorf("%+v", got)
	}
}

// Coefficients are not negative even if noise suggests it, and a constant figure has no slope.
func TestFitHasNoNegativeCoefficients(t *testing.T) {
	all := exactMeasurements(Slopes{Constant: 1, PerWorker: 0.01})
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
		t.Errorf("three sizes: %v", err)
	}
}

// A fit without one of the sizes of the embedded run predicts the figures of that size within 25%.
func TestFitPredictsHeldOutSize(t *testing.T) {
	record, err := Embedded()
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []float64{400, 800, 1600} {
		var others []Measurement
		var left *Measurement
		for i, m := range record.Measurements {
			switch {
			case m.Workers != size:
				others = append(others, m)
			case m.Name == "steady":
				left = &record.Measurements[i]
			}
		}
		m, err := Fit(others)
		if err != nil {
			t.Fatal(err)
		}
		for _, figure := range []string{LeaderCPU, LeaderPeak, LeaderMemory, StateRequests, ReportBytes, SiblingBytes} {
			got, want := m[figure].At(sizeOf(*left)), left.Figures[figure]
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
		t.Fatalf("%d rows", len(rows))
	}
	for _, r := range rows {
		if r.Beyond || !r.LargerBeyond || !(r.Value > 0) || r.Larger < r.Value && r.Role != workerRole {
			t.Errorf("%+v", r)
		}
	}
	set := &settings.Settings{Facts: settings.Facts{State: settings.State{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}, Cloud: settings.Cloud{RPS: 8}, Resources: settings.Resources{CPU: 1, RAMMB: 512, Sockets: 10_000}}}
	roomy := model.Limits(Planned(), set)
	set.Facts.Resources.RAMMB = 60
	tight := model.Limits(Planned(), set)
	if tight[0].Name != "facts.resources.ram_mb, leader" || tight[0].Factor >= 1 || tight[0].Needed <= 60 || roomy[0].Factor <= tight[0].Factor {
		t.Errorf("%+v, with more memory %+v", tight[0], roomy[0])
	}
	for i := range roomy[1:] {
		if roomy[i].Factor > roomy[i+1].Factor {
			t.Errorf("not in order: %+v", roomy)
		}
	}
	// At the size scaled by Factor the figure equals the bound.
	l := roomy[0]
	for _, other := range model.Limits(Planned().Scale(l.Factor), set) {
		if other.Name == l.Name && math.Abs(other.Needed-l.Bound) > 1e-6*l.Bound {
			t.Errorf("at %g times: %+v", l.Factor, other)
		}
	}
}

func TestReadReportsMissingFile(t *testing.T) {
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil || !strings.Contains(fmt.Sprint(err), "measurements") {
		t.Error(err)
	}
}
