package experiment

import (
	"context"
	"log/slog"
	"os"
	"testing"
	"time"
)

// In a small experiment with real agents and transfers over loopback, all jobs end, the store serves at least the lower
// bound in every mode, and placement with locality and staging reads less from the store than blind placement.
func TestLocalityReadsLessFromStore(t *testing.T) {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	l := LocalityDefaults()
	l.Machines, l.Datasets, l.Jobs, l.TaskRunS, l.PartBytes, l.LinkRate, l.Skews, l.Dir = 6, 4, 16, 0.2, 64<<10, 1<<20, []float64{1}, t.TempDir()
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	r, err := l.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	byName := map[string]PlacementFigures{}
	for _, f := range r.Workloads[0].Placements {
		byName[f.Name] = f
		if f.MinStoreBytes == 0 || f.StoreBytes < f.MinStoreBytes || f.StartP95 <= 0 || f.MakespanS <= 0 {
			t.Errorf("inconsistent figures: %+v", f)
		}
	}
	if s, b := byName["locality+staging"], byName["blind"]; s.StoreBytes >= b.StoreBytes || b.PeerBytes != 0 {
		t.Errorf("staging must read less from the store than blind placement, which must not read from peers: staging %+v, blind %+v", s, b)
	}
}

func TestLocalityRejectsInvalidOptions(t *testing.T) {
	for _, change := range []func(*Locality){func(l *Locality) { l.Machines = 0 }, func(l *Locality) { l.Load = 0 }, func(l *Locality) { l.CachedParts = 1 }} {
		l := LocalityDefaults()
		change(&l)
		if _, err := l.Run(context.Background()); err == nil {
			t.Errorf("invalid options accepted: %+v", l)
		}
	}
}

// The same seed gives the same workload, another seed a different one.
func TestWorkloadIsDeterminedBySeed(t *testing.T) {
	a, b, c := LocalityDefaults(), LocalityDefaults(), LocalityDefaults()
	c.Seed = 9
	x, y, z := a.drawJobs(1), b.drawJobs(1), c.drawJobs(1)
	same := true
	for i := range x {
		if x[i] != y[i] {
			t.Fatal("the same seed gave different workloads")
		}
		same = same && x[i] == z[i]
	}
	if same {
		t.Fatal("different seeds gave the same workload")
	}
}
