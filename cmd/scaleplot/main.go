// Command scaleplot draws what `switchferry experiment scale --json` measured. It is a program of its own because the
// fonts that it draws with are read when a program starts, which every controller would pay for.
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

// Pictures are so large.
const (
	pictureWidth  = 16 * vg.Centimeter
	pictureHeight = 10 * vg.Centimeter
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: scaleplot RESULT.json DIRECTORY")
		os.Exit(2)
	}
	if err := draw(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "scaleplot:", err)
		os.Exit(1)
	}
}

// result is what is drawn.
type result struct{ experiment.ScaleResult }

// draw writes pictures of the slopes and of the waits into a directory.
func draw(file, dir string) error {
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
	cpu := r.curve(func(s *experiment.ScaleStep) float64 { return s.Leader.CPUMean })
	peak := r.curve(func(s *experiment.ScaleStep) float64 { return s.Leader.CPUP99 })
	follower := r.curve(func(s *experiment.ScaleStep) float64 { return s.Follower.CPUMean })
	if err := picture(filepath.Join(dir, "processor.png"), "processor time of a controller", "workers", "cores", "leader, mean", cpu, "leader, p99 of seconds", peak, "follower, mean", follower); err != nil {
		return err
	}
	memory := r.curve(func(s *experiment.ScaleStep) float64 { return s.Leader.MemoryMB })
	if err := picture(filepath.Join(dir, "memory.png"), "memory of a controller", "workers", "MB", "leader", memory, "follower", r.curve(func(s *experiment.ScaleStep) float64 { return s.Follower.MemoryMB })); err != nil {
		return err
	}
	var waits []any
	for _, rank := range []string{"high", "normal"} {
		waits = append(waits, rank, r.curve(func(s *experiment.ScaleStep) float64 { return float64(s.Waits[rank].P99) / 1000 }))
	}
	return picture(filepath.Join(dir, "waits.png"), "wait for the start of a job's last task, p99", "workers", "s", waits...)
}

// curve is a figure of the steady steps by their size.
func (r *result) curve(figure func(s *experiment.ScaleStep) float64) (points plotter.XYs) {
	for i := range r.Steps {
		if s := &r.Steps[i]; s.Name == experiment.SteadyStep {
			points = append(points, plotter.XY{X: float64(s.Workers), Y: figure(s)})
		}
	}
	slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
	return points
}

func picture(file, title, x, y string, curves ...any) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min = 0
	if err := plotutil.AddLinePoints(p, curves...); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return p.Save(pictureWidth, pictureHeight, file)
}
