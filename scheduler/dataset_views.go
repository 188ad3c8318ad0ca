package scheduler

import (
	"log/slog"
	"slices"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/replicas"
)

// DataView is what operators see of datasets, as JSON.
type DataView struct {
	Datasets []DatasetView     `json:"datasets"`
	Copies   []CopyView        `json:"copies"`
	Waiting  []api.WaitingView `json:"waiting"`
}

// DatasetView is what operators see of one dataset.
type DatasetView struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
	Parts int    `json:"parts"`
	// Whole counts the machines that hold all parts, Some those that hold any.
	Whole int `json:"machines_whole"`
	Some  int `json:"machines_some"`
	// Nowhere counts the parts that no machine holds.
	Nowhere int `json:"parts_nowhere"`
	// State is empty, "removing" or "removed".
	State string `json:"state,omitempty"`
	// Jobs counts the jobs that need the dataset.
	Jobs int `json:"jobs"`
}

// CopyView is what operators see of one copy that is under way.
type CopyView struct {
	Machine string `json:"machine"`
	Dataset string `json:"dataset"`
	Part    int    `json:"part"`
	Got     int64  `json:"bytes_got"`
	Of      int64  `json:"bytes"`
	From    string `json:"from"`
	// Failed holds, by source, why it did not give the part.
	Failed map[string]string `json:"failed,omitempty"`
	// Full says that the machine's cache has no space for the part.
	Full bool `json:"cache_full,omitempty"`
}

// Datasets returns the view of datasets, of the machines that hold them, and of what is copied. It returns false if
// datasets are off. Which machines hold what is read from a snapshot after s.mu is released, as it takes long.
func (s *Scheduler) Datasets() (view DataView, runningOn bool) {
	view, snapshot, runningOn := s.datasetsWithoutHolders()
	if !runningOn {
		return DataView{}, false
	}
	slices.SortFunc(view.Datasets, func(a, b DatasetView) int { return strings.Compare(a.Name, b.Name) })
	for i := range view.Datasets {
		view.Datasets[i].countHolders(snapshot)
	}
	return view, true
}

// datasetsWithoutHolders returns the view of datasets but for what depends on the machines that hold them, and the
// snapshot that says which do. It returns false if datasets are off.
func (s *Scheduler) datasetsWithoutHolders() (view DataView, snapshot *replicas.Snapshot, runningOn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.datasets == nil {
		return DataView{}, nil, false
	}
	snapshot = s.datasets.index.Snapshot()
	view = DataView{Datasets: s.datasetViews(snapshot), Copies: []CopyView{}, Waiting: s.inputWaitingViews()}
	for _, transfer := range s.datasets.planner.Copies() {
		view.Copies = append(view.Copies, CopyView{
			Machine: transfer.Machine,
			Dataset: transfer.Dataset,
			Part:    transfer.Part,
			Got:     transfer.Got,
			Of:      transfer.Of,
			From:    transfer.From[0].String(),
			Failed:  transfer.Failed,
			Full:    transfer.Full,
		})
	}
	return view, snapshot, true
}

// datasetViews returns the datasets, in no order and without counts of holders. Removed ones are left out once no
// machine holds any of them. Datasets must be on, and s.mu must be held.
func (s *Scheduler) datasetViews(snapshot *replicas.Snapshot) []DatasetView {
	jobs := map[string]int{}
	for _, job := range s.jobOrder {
		for _, jobInput := range job.inputs {
			jobs[jobInput.name]++
		}
	}
	views := []DatasetView{}
	for _, entry := range s.datasets.entries {
		if entry.State == dataset.Removed && !snapshot.Known(entry.Name) {
			continue
		}
		views = append(views, DatasetView{Name: entry.Name, Bytes: entry.Bytes, Parts: entry.Parts, State: entry.State, Jobs: jobs[entry.Name]})
	}
	return views
}

// inputWaitingViews returns the jobs whose tasks wait for inputs. Datasets must be on, and s.mu must be held.
func (s *Scheduler) inputWaitingViews() []api.WaitingView {
	views := []api.WaitingView{}
	for _, job := range s.jobOrder {
		if !s.inputsReady(job) {
			views = append(views, api.WaitingView{Job: job.id, Tasks: job.taskCount - job.completedCount, Why: "a dataset is not known to this controller yet"})
		} else if waiting := s.datasets.waiting[job.id]; waiting > 0 {
			views = append(views, api.WaitingView{Job: job.id, Tasks: waiting, Why: "inputs are not on their machines yet"})
		}
	}
	return views
}

// countHolders counts the machines that hold the dataset.
func (v *DatasetView) countHolders(snapshot *replicas.Snapshot) {
	holdersOfAny := roaring.New()
	for part := range v.Parts {
		holders := snapshot.Holders(v.Name, part)
		if len(holders) == 0 {
			v.Nowhere++
		}
		for _, machine := range holders {
			holdersOfAny.Add(uint32(machine))
		}
	}
	v.Whole = len(snapshot.Complete(v.Name))
	v.Some = int(holdersOfAny.GetCardinality())
}

// logDatasets logs the backlog and the progress of staging. s.mu must be held.
func (s *Scheduler) logDatasets() {
	if s.datasets == nil {
		return
	}
	tasks := 0
	for _, waiting := range s.datasets.waiting {
		tasks += waiting
	}
	planner := s.datasets.planner
	slog.Info("staging", "tasks_waiting", tasks, "jobs_waiting", len(s.datasets.waiting), "copies", len(planner.Copies()),
		"backlog_mb", int(planner.Backlog()/bytesPerMB), "planned", planner.Planned, "failed", planner.Failed)
}
