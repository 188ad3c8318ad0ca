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

// DataView is the JSON view of all datasets, copies in progress and waiting jobs for operators.
type DataView struct {
	Datasets []DatasetView     `json:"datasets"`
	Copies   []CopyView        `json:"copies"`
	Waiting  []api.WaitingView `json:"waiting"`
}

// DatasetView is the view of one dataset for operators.
type DatasetView struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
	Parts int    `json:"parts"`
	// CompleteHolders is the number of machines that hold all parts.
	CompleteHolders int `json:"machines_whole"`
	// AnyHolders is the number of machines that hold at least one part.
	AnyHolders int `json:"machines_some"`
	// PartsWithoutHolder is the number of parts that no machine holds.
	PartsWithoutHolder int `json:"parts_nowhere"`
	// State is empty, "removing" or "removed".
	State string `json:"state,omitempty"`
	// Jobs is the number of known jobs that have the dataset as an input.
	Jobs int `json:"jobs"`
}

// CopyView is the view of one copy in progress for operators.
type CopyView struct {
	Machine     string `json:"machine"`
	Dataset     string `json:"dataset"`
	Part        int    `json:"part"`
	CopiedBytes int64  `json:"bytes_got"`
	TotalBytes  int64  `json:"bytes"`
	Source      string `json:"from"`
	// FailedSources maps each source that did not deliver the part to the reason.
	FailedSources map[string]string `json:"failed,omitempty"`
	// CacheFull is true if the machine's cache has no space for the part.
	CacheFull bool `json:"cache_full,omitempty"`
}

// Datasets returns the view of datasets, the machines that hold them, and the copies in progress. It returns false if
// datasets are off. The holders are counted from a snapshot after s.mu is released, because counting takes long.
func (s *Scheduler) Datasets() (view DataView, enabled bool) {
	view, snapshot, enabled := s.datasetsWithoutHolders()
	if !enabled {
		return DataView{}, false
	}
	slices.SortFunc(view.Datasets, func(a, b DatasetView) int { return strings.Compare(a.Name, b.Name) })
	for i := range view.Datasets {
		view.Datasets[i].countHolders(snapshot)
	}
	return view, true
}

// datasetsWithoutHolders returns the view of datasets without the fields that depend on holders, and the index snapshot
// from which these fields are computed. It returns false if datasets are off.
func (s *Scheduler) datasetsWithoutHolders() (view DataView, snapshot *replicas.Snapshot, enabled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.datasets == nil {
		return DataView{}, nil, false
	}
	snapshot = s.datasets.index.Snapshot()
	view = DataView{Datasets: s.datasetViews(snapshot), Copies: []CopyView{}, Waiting: s.inputWaitingViews()}
	for _, transfer := range s.datasets.planner.Transfers() {
		view.Copies = append(view.Copies, CopyView{
			Machine:       transfer.Machine,
			Dataset:       transfer.Dataset,
			Part:          transfer.Part,
			CopiedBytes:   transfer.ReceivedBytes,
			TotalBytes:    transfer.TotalBytes,
			Source:        transfer.Sources[0].String(),
			FailedSources: transfer.FailedSources,
			CacheFull:     transfer.CacheFull,
		})
	}
	return view, snapshot, true
}

// datasetViews returns the views of the datasets, unsorted and without counts of holders. It leaves out removed datasets
// of which no machine holds a part. Datasets must be on, and s.mu must be held.
func (s *Scheduler) datasetViews(snapshot *replicas.Snapshot) []DatasetView {
	jobs := map[string]int{}
	for _, job := range s.jobOrder {
		for _, jobInput := range job.inputs {
			jobs[jobInput.name]++
		}
	}
	views := []DatasetView{}
	for _, entry := range s.datasets.entries {
		if entry.State == dataset.Removed && !snapshot.HasReplicas(entry.Name) {
			continue
		}
		views = append(views, DatasetView{Name: entry.Name, Bytes: entry.Bytes, Parts: entry.PartCount, State: entry.State, Jobs: jobs[entry.Name]})
	}
	return views
}

// inputWaitingViews returns the jobs whose tasks wait for inputs. Datasets must be on, and s.mu must be held.
func (s *Scheduler) inputWaitingViews() []api.WaitingView {
	views := []api.WaitingView{}
	for _, job := range s.jobOrder {
		if !s.inputsReady(job) {
			views = append(views, api.WaitingView{Job: job.id, Tasks: job.taskCount - job.completedCount, Reason: "a dataset is not known to this controller yet"})
		} else if waiting := s.datasets.waiting[job.id]; waiting > 0 {
			views = append(views, api.WaitingView{Job: job.id, Tasks: waiting, Reason: "inputs are not on their machines yet"})
		}
	}
	return views
}

// countHolders sets the fields of the view that depend on which machines hold the dataset.
func (v *DatasetView) countHolders(snapshot *replicas.Snapshot) {
	holdersOfAny := roaring.New()
	for part := range v.Parts {
		holders := snapshot.Holders(v.Name, part)
		if len(holders) == 0 {
			v.PartsWithoutHolder++
		}
		for _, machine := range holders {
			holdersOfAny.Add(uint32(machine))
		}
	}
	v.CompleteHolders = len(snapshot.CompleteHolders(v.Name))
	v.AnyHolders = int(holdersOfAny.GetCardinality())
}

// logDatasets logs the backlog and progress of staging. It does nothing if datasets are off. s.mu must be held.
func (s *Scheduler) logDatasets() {
	if s.datasets == nil {
		return
	}
	tasks := 0
	for _, waiting := range s.datasets.waiting {
		tasks += waiting
	}
	planner := s.datasets.planner
	slog.Info("staging", "tasks_waiting", tasks, "jobs_waiting", len(s.datasets.waiting), "copies", len(planner.Transfers()),
		"backlog_mb", int(planner.TotalQueuedBytes()/bytesPerMB), "planned", planner.PlannedTransfers, "failed", planner.SourceFailures)
}
