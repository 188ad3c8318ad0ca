// Command scaleplot plots the results of `switchferry experiment scale --json`. It is a separate program because the
// plotting library loads its fonts at program start, a cost that every controller would otherwise bear.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"switchferry/experiment"
)

// Dimensions of the plots.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: scaleplot RESULT.json DIRECTORY")
		os.Exit(2)
	}
	if err := drawPlots(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "scaleplot:", err)
		os.Exit(1)
	}
}

// result is the scale result to plot.
type result struct{ experiment.ScaleResult }

// drawPlots writes plots of processor time, memory and waits into a directory.
func drawPlots(file, dir string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var r result
	if err := json.Unmarshal(raw, &r.ScaleResult); err != nil {
		return fmt.Errorf("%s is not what `experiment scale --json` prints: %w", file, err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	cpu := r.steadyPoints(func(s *experiment.ScaleStep) float64 { return s.Leader.CPUMean })
	peak := r.steadyPoints(func(s *experiment.ScaleStep) float64 { return s.Leader.CPUP99 })
	follower := r.steadyPoints(func(s *experiment.ScaleStep) float64 { return s.Follower.CPUMean })
	if err := writePlot(filepath.Join(dir, "processor.png"), "processor time of a controller", "workers", "cores", "leader, mean", cpu, "leader, p99 of seconds", peak, "follower, mean", follower); err != nil {
		return err
	}
	memory := r.steadyPoints(func(s *experiment.ScaleStep) float64 { return s.Leader.MemoryMB })
	if err := writePlot(filepath.Join(dir, "memory.png"), "memory of a controller", "workers", "MB", "leader", memory, "follower", r.steadyPoints(func(s *experiment.ScaleStep) float64 { return s.Follower.MemoryMB })); err != nil {
		return err
	}
	var waitCurves []any
	for _, rank := range []string{"high", "normal"} {
		waitCurves = append(waitCurves, rank, r.steadyPoints(func(s *experiment.ScaleStep) float64 { return float64(s.Waits[rank].P99) / 1000 }))
	}
	return writePlot(filepath.Join(dir, "waits.png"), "wait for the start of a job's last task, p99", "workers", "s", waitCurves...)
}

// steadyPoints returns a figure of the steady steps over the number of workers.
func (r *result) steadyPoints(figure func(s *experiment.ScaleStep) float64) (points plotter.XYs) {
	for i := range r.Steps {
		if s := &r.Steps[i]; s.Name == experiment.SteadyStep {
			points = append(points, plotter.XY{X: float64(s.Workers), Y: figure(s)})
		}
	}
	slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
	return points
}

func writePlot(file, title, x, y string, curves ...any) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min = 0
	if err := plotutil.AddLinePoints(p, curves...); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return p.Save(plotWidth, plotHeight, file)
}
