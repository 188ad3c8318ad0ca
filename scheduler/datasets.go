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

// A task with inputs is queued like any other task, but it starts only once the agent of its machine has confirmed that
// its inputs are complete and pinned there. Until then it is not allocated any resources, so other tasks can use them.
// Which parts are copied to which machines is derived from the queues in each round and not stored: a new leader
// rebuilds its queues and learns from the agents which machines hold which parts.

// datasetState is the leader's state of datasets during one term. Scheduler.mu guards it.
type datasetState struct {
	settings features.Data

	// entries are the known datasets by name, removed ones included.
	entries map[string]*dataset.Entry
	// unlisted are the entries that are being removed or were removed, by name.
	unlisted map[string]*dataset.Entry
	// removing maps the name of each dataset whose removal is being stored to the state in the record built last.
	removing map[string]string
	// inboxRevision is the revision of the state service up to which all jobs that peers accepted are known.
	inboxRevision uint64

	// index records which machines hold which parts.
	index *replicas.Index
	// snapshot is the snapshot of index that the current placement round uses.
	snapshot *replicas.Snapshot
	planner  *staging.Planner
	// stuckSince maps a machine to the time since which its cache has had no space for the parts ordered.
	stuckSince map[string]time.Time
	// waiting is the number of tasks of each job, by job ID, that waited for their inputs in the last round.
	waiting map[string]int

	// hintedVersion is the version of the index that was last stored as replica hints for the next leader.
	hintedVersion uint64
	// hintStoredAt is when those hints were stored.
	hintStoredAt time.Time

	// relayedOrders holds, by machine, the relayed order of each agent whose last heartbeat was relayed by a peer.
	relayedOrders map[string]*relayedOrder
	// orderMailboxes hold the orders for these agents, by peer.
	orderMailboxes *exchange.Mailboxes
}

// input is a dataset that a job reads.
type input struct {
	name string
	// partPerTask is true if each task needs only the part whose number is its own, not the whole dataset.
	partPerTask bool
	// summary is nil while the dataset is unknown.
	summary *dataset.Summary
}

// UseData turns datasets on. It must be called before any records are loaded.
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
		LinkRate:         dataSettings.LinkMBs * bytesPerMB,
		StoreRate:        dataSettings.StoreMBs * bytesPerMB,
		TransfersPerLink: dataSettings.CopiesPerLink,
		StoreTransfers:   dataSettings.CopiesAtStore,
		AllowPeers:       datasets.localityAware(),
	}, index)
	s.datasets = datasets
}

// bytesPerMB is the number of bytes in a megabyte, the unit of rates and sizes in settings and logs.
const bytesPerMB = 1e6

// localityAware reports whether placement considers which machines hold a job's inputs.
func (d *datasetState) localityAware() bool {
	return d.settings.Placement == features.PlacementLocal || d.settings.Placement == features.PlacementStaged
}

// AddDatasets adds or updates datasets from their records in the state service. It copies the entries.
func (s *Scheduler) AddDatasets(entries ...*dataset.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addDatasets(entries...)
}

// addDatasets is AddDatasets with s.mu held.
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

// update adds a dataset, or copies the state of a newer record to the known entry. It reports whether the dataset is
// new. Scheduler.mu must be held.
func (d *datasetState) update(entry *dataset.Entry) (isNew bool) {
	known := d.entries[entry.Name]
	isNew = known == nil
	if isNew {
		added := *entry
		d.entries[entry.Name] = &added
	} else if entry.Revision > known.Revision {
		// The entry is kept because jobs point to its summary, which never changes.
		known.State, known.Revision = entry.State, entry.Revision
	}
	if entry.State != dataset.Listed {
		d.unlisted[entry.Name] = d.entries[entry.Name]
	}
	if entry.State == dataset.Removed {
		d.planner.RemoveDataset(entry.Name, entry.ManifestDigest.String())
	}
	return isNew
}

// resolveInputs sets the summaries of those inputs of a job whose dataset was unknown until now. s.mu must be held.
func (s *Scheduler) resolveInputs(job *jobState) {
	if len(job.inputs) == 0 {
		for _, jobInput := range job.Job.Inputs {
			job.inputs = append(job.inputs, input{name: jobInput.Dataset, partPerTask: jobInput.Use == api.UseOwnPart})
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

// inputsReady reports whether all datasets of a job are known. It is false for a job with inputs while datasets are off:
// a job that was accepted while they were on must not start without its inputs. s.mu must be held.
func (s *Scheduler) inputsReady(job *jobState) bool {
	return !slices.ContainsFunc(job.inputs, func(jobInput input) bool { return s.datasets == nil || jobInput.summary == nil })
}

// inputsStaged reports whether the agent of a machine has confirmed that all inputs of a task are there. It is always
// true for a job without inputs. s.mu must be held.
func (s *Scheduler) inputsStaged(job *jobState, task int, machine *machineState) bool {
	for _, jobInput := range job.inputs {
		if s.datasets == nil || !s.datasets.staged(jobInput, task, machine.Name) {
			return false
		}
	}
	return true
}

// staged reports whether the agent of a machine has confirmed that the parts of one input that a task needs are there.
// Scheduler.mu must be held.
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

// DecodeDataset decodes and checks a dataset's record. It sets the entry's Revision to the revision of the record. Its
// errors do not name the record, because they become part of responses to users.
func DecodeDataset(item *store.Item) (*dataset.Entry, error) {
	var entry dataset.Entry
	if err := json.Unmarshal(item.Value, &entry); err != nil {
		return nil, err
	}
	entry.Revision = item.Revision
	if entry.State != dataset.Listed && entry.State != dataset.Removing && entry.State != dataset.Removed {
		return nil, fmt.Errorf("state %.20q is not known to this version", entry.State)
	}
	if err := entry.Check(); err != nil {
		return nil, err
	}
	return &entry, nil
}
