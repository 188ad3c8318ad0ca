package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/features"
	"switchferry/relay/exchange"
	"switchferry/replicas"
	"switchferry/staging"
	"switchferry/store"
)

// A task with inputs is queued like any other, but it starts only once its inputs are proved whole and pinned on its
// machine. Until then it takes no resources, and other tasks use what is free. What is copied where follows from the
// queues, anew in each round, so it needs no record: a new leader builds its queues as ever and learns from the agents
// which machines hold what.

// datasetState is what one term of the leader knows of datasets. It is guarded by Scheduler.mu.
type datasetState struct {
	settings features.Data

	// entries are the known datasets by name, removed ones included.
	entries map[string]*dataset.Entry
	// unlisted are those of the entries that are being removed or were removed.
	unlisted map[string]*dataset.Entry
	// removing holds, by name of each dataset whose removal is being stored, the state in the record built last.
	removing map[string]string
	// inboxRevision is the revision of the state service up to which all jobs are known that peers accepted.
	inboxRevision uint64

	// index says which machines hold which parts.
	index *replicas.Index
	// snapshot is that of the index that one round of the placer uses.
	snapshot *replicas.Snapshot
	planner  *staging.Planner
	// stuckSince is, by machine, since when its cache has had no space for what it was to copy.
	stuckSince map[string]time.Time
	// waiting counts the tasks that waited for their inputs in the last round, by job.
	waiting map[string]int

	// hintedVersion is the version of the index that was last stored as a hint, at hintStoredAt.
	hintedVersion uint64
	hintStoredAt  time.Time

	// relayedOrders are the agents, by machine, whose last heartbeat was relayed by a peer.
	relayedOrders map[string]*relayedOrder
	// orderMailboxes hold the orders for those agents, by peer.
	orderMailboxes *exchange.Mailboxes
}

// input is a dataset that a job needs.
type input struct {
	name string
	// partPerTask says that each task needs the part of its own number only, and not the whole dataset.
	partPerTask bool
	// summary is nil while the dataset is not known.
	summary *dataset.Summary
}

// UseData turns datasets on. It must be called before anything is loaded.
func (s *Scheduler) UseData(dataSettings features.Data) {
	index := replicas.New()
	datasets := &datasetState{
		settings:       dataSettings,
		entries:        map[string]*dataset.Entry{},
		unlisted:       map[string]*dataset.Entry{},
		removing:       map[string]string{},
		index:          index,
		snapshot:       index.Snapshot(),
		stuckSince:     map[string]time.Time{},
		waiting:        map[string]int{},
		relayedOrders:  map[string]*relayedOrder{},
		orderMailboxes: newMailboxes(s, store.AgentResponsePrefix, store.AgentResponseKey, s.stageOrderBody),
	}
	datasets.planner = staging.New(s.term, staging.Limits{
		LinkRate:  dataSettings.LinkMBs * bytesPerMB,
		StoreRate: dataSettings.StoreMBs * bytesPerMB,
		PerLink:   dataSettings.PerLink,
		AtStore:   dataSettings.AtStore,
		Peers:     datasets.localityAware(),
	}, index)
	s.datasets = datasets
}

// bytesPerMB is the unit of rates and sizes in settings and logs.
const bytesPerMB = 1e6

// localityAware reports whether placement considers which machines hold a job's inputs.
func (d *datasetState) localityAware() bool {
	return d.settings.Placement == features.Local || d.settings.Placement == features.Staged
}

// AddDatasets adds or updates datasets as the state service holds them. It keeps none of the entries.
func (s *Scheduler) AddDatasets(entries ...*dataset.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addDatasets(entries...)
}

// addDatasets is AddDatasets. s.mu must be held.
func (s *Scheduler) addDatasets(entries ...*dataset.Entry) {
	if s.datasets == nil {
		return
	}
	anyNew := false
	for _, entry := range entries {
		if s.datasets.update(entry) {
			anyNew = true
		}
	}
	if !anyNew {
		return
	}
	for _, job := range s.jobOrder {
		s.resolveInputs(job)
	}
	s.wakePlacer()
}

// update adds a dataset, or takes over the state of a newer record of it. It returns whether the dataset is new.
// Scheduler.mu must be held.
func (d *datasetState) update(entry *dataset.Entry) (isNew bool) {
	known := d.entries[entry.Name]
	isNew = known == nil
	if isNew {
		added := *entry
		d.entries[entry.Name] = &added
	} else if entry.Stamp > known.Stamp {
		// Jobs point to the summary, which never changes.
		known.State, known.Stamp = entry.State, entry.Stamp
	}
	if entry.State != dataset.Listed {
		d.unlisted[entry.Name] = d.entries[entry.Name]
	}
	if entry.State == dataset.Removed {
		d.planner.RemoveDataset(entry.Name, entry.Manifest.String())
	}
	return isNew
}

// resolveInputs looks up those of a job's datasets that it has not found yet. s.mu must be held.
func (s *Scheduler) resolveInputs(job *jobState) {
	if len(job.inputs) == 0 {
		for _, named := range job.Job.Inputs {
			job.inputs = append(job.inputs, input{name: named.Dataset, partPerTask: named.Use == api.UseOwn})
		}
	}
	if s.datasets == nil {
		return
	}
	for i := range job.inputs {
		entry := s.datasets.entries[job.inputs[i].name]
		if job.inputs[i].summary == nil && entry != nil && entry.State != dataset.Removed {
			job.inputs[i].summary = &entry.Summary
		}
	}
}

// inputsReady reports whether all of a job's datasets are known. A job that was accepted while datasets were on must not
// start without its inputs now that they are off. s.mu must be held.
func (s *Scheduler) inputsReady(job *jobState) bool {
	return !slices.ContainsFunc(job.inputs, func(jobInput input) bool { return s.datasets == nil || jobInput.summary == nil })
}

// inputsStaged reports whether a task's inputs are proved to be on a machine, as those of a job without inputs always
// are. s.mu must be held.
func (s *Scheduler) inputsStaged(job *jobState, task int, machine *machineState) bool {
	for _, jobInput := range job.inputs {
		if s.datasets == nil || !s.datasets.staged(jobInput, task, machine.Name) {
			return false
		}
	}
	return true
}

// staged reports whether what a task needs of a dataset is proved to be on a machine. Scheduler.mu must be held.
func (d *datasetState) staged(jobInput input, task int, machine string) bool {
	switch {
	case jobInput.summary == nil:
		return false
	case jobInput.partPerTask:
		return d.planner.Confirmed(machine, jobInput.summary, task)
	default:
		return d.planner.ConfirmedAll(machine, jobInput.summary)
	}
}

// DecodeDataset decodes and checks a dataset's record. The entry's Stamp is the record's revision. Errors do not name
// the record; they are part of responses to users.
func DecodeDataset(item *store.Item) (*dataset.Entry, error) {
	var entry dataset.Entry
	if err := json.Unmarshal(item.Value, &entry); err != nil {
		return nil, err
	}
	entry.Stamp = item.Revision
	if entry.State != dataset.Listed && entry.State != dataset.Removing && entry.State != dataset.Removed {
		return nil, fmt.Errorf("state %.20q is not known to this version", entry.State)
	}
	if err := entry.Check(); err != nil {
		return nil, err
	}
	return &entry, nil
}
