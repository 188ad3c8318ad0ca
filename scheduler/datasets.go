package scheduler

import (
	"encoding/json"
	"fmt"
	"time"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/features"
	"switchferry/relay/exchange"
	"switchferry/replicas"
	"switchferry/staging"
	"switchferry/store"
)

// A task with inputs is queued like any other, but starts only once its inputs are proved
// whole and pinned on its machine. Until then it holds no room: others take what is free.
// What is copied where follows from the queues, anew in each round, so it needs no record:
// a new leader builds its queues as ever and learns from the agents who holds what.

// datasetState is what one term knows of datasets.
type datasetState struct {
	settings features.Data
	index    *replicas.Index
	planner  *staging.Planner
	entries  map[string]*dataset.Entry
	// snapshot is who holds what, for one round of the placer.
	snapshot *replicas.Snapshot
	// stuckSince is since when a machine's cache has had no room for what it was to copy.
	stuckSince map[string]time.Time
	// waiting counts tasks that wait for bytes, by job, as of the last round.
	waiting map[string]int
	// hintedVersion is the version of the index that was last put on record, at hintStoredAt.
	hintedVersion uint64
	hintStoredAt  time.Time
	// relayed are the agents whose last report came through a sibling; mail holds the
	// orders for those behind each.
	relayedReports map[string]*relayedReport
	orderMailboxes *exchange.Mailboxes
	// unlisted are datasets that are being removed, or were; inbox is the revision up to
	// which jobs are known that siblings accepted.
	unlisted      map[string]*dataset.Entry
	inboxRevision uint64
	// removing holds, for each whose removal is being stored, the state that was written.
	removing map[string]string
}

// input is a dataset that a job needs. Set is nil while the dataset is not known.
type input struct {
	name        string
	partPerTask bool
	summary     *dataset.Summary
}

// UseData switches datasets on, before anything is loaded.
func (s *Scheduler) UseData(set features.Data) {
	index := replicas.New()
	limits := staging.Limits{LinkRate: set.LinkMBs * 1e6, StoreRate: set.StoreMBs * 1e6, PerLink: set.PerLink, AtStore: set.AtStore,
		Peers: set.Placement == features.Local || set.Placement == features.Staged}
	s.datasets = &datasetState{settings: set, index: index, planner: staging.New(s.term, limits, index), entries: map[string]*dataset.Entry{},
		snapshot: index.Snapshot(), stuckSince: map[string]time.Time{}, waiting: map[string]int{},
		relayedReports: map[string]*relayedReport{}, orderMailboxes: newMailboxes(s, store.StageMailPrefix, store.StageMailKey, s.stageOrderBody), unlisted: map[string]*dataset.Entry{}, removing: map[string]string{}}
}

// localityAware tells whether the placer looks at who holds what.
func (d *datasetState) localityAware() bool {
	return d.settings.Placement == features.Local || d.settings.Placement == features.Staged
}

// AddDatasets takes in datasets as they stand on record.
func (s *Scheduler) AddDatasets(sets ...*dataset.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addDatasets(sets...)
}

func (s *Scheduler) addDatasets(sets ...*dataset.Entry) {
	if s.datasets == nil {
		return
	}
	fresh := false
	for _, entry := range sets {
		old := s.datasets.entries[entry.Name]
		if old == nil {
			x := *entry
			s.datasets.entries[entry.Name] = &x
			fresh = true
		} else if entry.Stamp > old.Stamp {
			// Jobs point to the summary, which never changes.
			old.State, old.Stamp = entry.State, entry.Stamp
		}
		if entry.State != dataset.Listed {
			s.datasets.unlisted[entry.Name] = s.datasets.entries[entry.Name]
		}
		if entry.State == dataset.Removed {
			s.datasets.planner.RemoveDataset(entry.Name, entry.Manifest.String())
		}
	}
	if !fresh {
		return
	}
	for _, job := range s.jobOrder {
		s.resolveInputs(job)
	}
	s.wakePlacer()
}

// resolveInputs finds a job's datasets.
func (s *Scheduler) resolveInputs(job *jobState) {
	if len(job.inputs) == 0 {
		for _, in := range job.Job.Inputs {
			job.inputs = append(job.inputs, input{name: in.Dataset, partPerTask: in.Use == api.UseOwn})
		}
	}
	for i := range job.inputs {
		if job.inputs[i].summary == nil && s.datasets != nil {
			if x := s.datasets.entries[job.inputs[i].name]; x != nil && x.State != dataset.Removed {
				job.inputs[i].summary = &x.Summary
			}
		}
	}
}

// inputsReady tells whether a job's inputs are known here at all. A job that was accepted
// while the feature was on must not start without its inputs now that it is off.
func (s *Scheduler) inputsReady(job *jobState) bool {
	for _, in := range job.inputs {
		if s.datasets == nil || in.summary == nil {
			return false
		}
	}
	return true
}

// inputsStaged tells whether a task's inputs are proved to be on a machine. Jobs without inputs
// are always staged.
func (s *Scheduler) inputsStaged(job *jobState, task int, machine *machineState) bool {
	for _, in := range job.inputs {
		ok := false
		switch {
		case s.datasets == nil || in.summary == nil:
		case in.partPerTask:
			ok = s.datasets.planner.Confirmed(machine.Name, in.summary, task)
		default:
			ok = s.datasets.planner.ConfirmedAll(machine.Name, in.summary)
		}
		if !ok {
			return false
		}
	}
	return true
}

// DecodeDataset reads a dataset's record.
func DecodeDataset(it *store.Item) (*dataset.Entry, error) {
	var s dataset.Entry
	if err := json.Unmarshal(it.Value, &s); err != nil {
		return nil, err
	}
	s.Stamp = it.Revision
	if s.State != dataset.Listed && s.State != dataset.Removing && s.State != dataset.Removed {
		return nil, fmt.Errorf("state %.20q is not known to this version", s.State)
	}
	return &s, s.Check()
}
