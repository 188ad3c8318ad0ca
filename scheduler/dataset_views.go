package scheduler

import (
	"log/slog"
	"slices"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/dataset"
)

// DataView is what operators see of datasets.
type DataView struct {
	Datasets []DatasetView     `json:"datasets"`
	Copies   []CopyView        `json:"copies"`
	Waiting  []api.WaitingView `json:"waiting"`
}

// DatasetView is one dataset: how many machines hold all or some of it, and how many of
// its parts no machine holds.
type DatasetView struct {
	Name    string `json:"name"`
	Bytes   int64  `json:"bytes"`
	Parts   int    `json:"parts"`
	Whole   int    `json:"machines_whole"`
	Some    int    `json:"machines_some"`
	Nowhere int    `json:"parts_nowhere"`
	// State is empty, "removing" or "removed"; Jobs still need it.
	State string `json:"state,omitempty"`
	Jobs  int    `json:"jobs"`
}

// CopyView is one copy under way.
type CopyView struct {
	Machine string            `json:"machine"`
	Dataset string            `json:"dataset"`
	Part    int               `json:"part"`
	Got     int64             `json:"bytes_got"`
	Of      int64             `json:"bytes"`
	From    string            `json:"from"`
	Failed  map[string]string `json:"failed,omitempty"`
	Full    bool              `json:"cache_full,omitempty"`
}

// Datasets shows datasets, who holds them, and what is copied. Who holds what is read from a
// snap, without the core's lock.
func (s *Scheduler) Datasets() (v DataView, on bool) {
	s.mu.Lock()
	d := s.datasets
	if d == nil {
		s.mu.Unlock()
		return v, false
	}
	v = DataView{Datasets: []DatasetView{}, Copies: []CopyView{}, Waiting: []api.WaitingView{}}
	jobs := map[string]int{}
	for _, job := range s.jobOrder {
		for _, in := range job.inputs {
			jobs[in.name]++
		}
	}
	snap := d.index.Snapshot()
	for _, entry := range d.entries {
		if entry.State == dataset.Removed && !snap.Known(entry.Name) {
			continue
		}
		v.Datasets = append(v.Datasets, DatasetView{Name: entry.Name, Bytes: entry.Bytes, Parts: entry.Parts, State: entry.State, Jobs: jobs[entry.Name]})
	}
	for _, x := range d.planner.Copies() {
		v.Copies = append(v.Copies, CopyView{Machine: x.Machine, Dataset: x.Dataset, Part: x.Part, Got: x.Got, Of: x.Of,
			From: x.From[0].String(), Failed: x.Failed, Full: x.Full})
	}
	for _, job := range s.jobOrder {
		switch n := d.waiting[job.id]; {
		case !s.inputsReady(job):
			v.Waiting = append(v.Waiting, api.WaitingView{Job: job.id, Tasks: job.taskCount - job.completedCount, Why: "a dataset is not known to this controller yet"})
		case n > 0:
			v.Waiting = append(v.Waiting, api.WaitingView{Job: job.id, Tasks: n, Why: "inputs are not on their machines yet"})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(v.Datasets, func(a, b DatasetView) int { return strings.Compare(a.Name, b.Name) })
	for i := range v.Datasets {
		x := &v.Datasets[i]
		some := roaring.New()
		for k := range x.Parts {
			on := snap.Holders(x.Name, k)
			if len(on) == 0 {
				x.Nowhere++
			}
			for _, m := range on {
				some.Add(uint32(m))
			}
		}
		x.Whole = len(snap.Complete(x.Name))
		x.Some = int(some.GetCardinality())
	}
	return v, true
}

// logDatasets logs how staging stands.
func (s *Scheduler) logDatasets() {
	if s.datasets == nil {
		return
	}
	tasks := 0
	for _, n := range s.datasets.waiting {
		tasks += n
	}
	slog.Info("staging", "tasks_waiting", tasks, "jobs_waiting", len(s.datasets.waiting), "copies", len(s.datasets.planner.Copies()),
		"backlog_mb", int(s.datasets.planner.Backlog()/1e6), "planned", s.datasets.planner.Planned, "failed", s.datasets.planner.Failed)
}
