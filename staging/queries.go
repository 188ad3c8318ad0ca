package staging

import (
	"maps"
	"math"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/cost"
	"switchferry/dataset"
	"switchferry/replicas"
)

// Alive returns whether the last heartbeat of a machine's agent is younger than maxAge.
// Placement chooses only such machines for tasks with inputs. The result is a heuristic on which
// correctness must not depend.
func (planner *Planner) Alive(machine string, now time.Time, maxAge time.Duration) bool {
	agent := planner.agents[machine]
	return agent != nil && now.Sub(agent.lastHeartbeat) < maxAge
}

// ID returns a machine's ID in the index of replicas, and false if the machine is unknown.
func (planner *Planner) ID(machine string) (replicas.MachineID, bool) {
	agent := planner.agents[machine]
	if agent == nil {
		return 0, false
	}
	return agent.id, true
}

// CacheFull returns whether a machine's cache has no space for a part that the machine has to copy.
func (planner *Planner) CacheFull(machine string) bool {
	agent := planner.agents[machine]
	return agent != nil && agent.cacheFull
}

// Confirmed returns whether a part is known to be complete, verified and pinned on a machine, as defined
// in the package comment.
func (planner *Planner) Confirmed(machine string, summary *dataset.Summary, part int) bool {
	desired := planner.acknowledgedDataset(machine, summary)
	return desired != nil && desired.pinned.Contains(uint32(part)) && desired.parts.Contains(uint32(part))
}

// ConfirmedAll returns whether Confirmed holds for every part of a dataset.
func (planner *Planner) ConfirmedAll(machine string, summary *dataset.Summary) bool {
	desired := planner.acknowledgedDataset(machine, summary)
	return desired != nil && int(desired.parts.GetCardinality()) == summary.PartCount &&
		int(desired.pinned.AndCardinality(desired.parts)) == summary.PartCount
}

// acknowledgedDataset returns the desired state of a dataset on a machine, or nil if the machine's agent has
// not yet acknowledged an order of this term that contains all desired parts.
func (planner *Planner) acknowledgedDataset(machine string, summary *dataset.Summary) *desiredDataset {
	agent := planner.agents[machine]
	if agent == nil {
		return nil
	}
	desired := agent.desired[summary.Name]
	if desired == nil || agent.appliedOrder == 0 || agent.appliedOrder < desired.addedInOrder {
		return nil
	}
	return desired
}

// Idle returns whether all orders are empty and acknowledged in this term, so that a call of Plan
// without demands would have no effect.
func (planner *Planner) Idle() bool {
	for _, agent := range planner.agents {
		if len(agent.desired) > 0 || agent.removalsChanged {
			return false
		}
		if agent.address != "" && (!agent.planned || agent.appliedOrder != agent.orderNumber) {
			return false
		}
	}
	return true
}

// QueuedBytes returns the number of bytes that a machine still has to receive over its link.
func (planner *Planner) QueuedBytes(machine string) float64 {
	if agent := planner.agents[machine]; agent != nil {
		return agent.queuedBytes
	}
	return 0
}

// ReserveBytes adds bytes to the queued bytes of a machine until the next call of Plan.
func (planner *Planner) ReserveBytes(machine string, bytes float64) {
	if agent := planner.agents[machine]; agent != nil {
		agent.queuedBytes += bytes
	}
}

// TransferDelay returns the estimated time in seconds until the given number of bytes has been copied to
// a machine whose link has queued bytes to receive first. storeOnly says that no machine holds the
// bytes; they then also wait for the bytes queued at the store.
func (planner *Planner) TransferDelay(queued, bytes float64, storeOnly bool) float64 {
	return cost.Copy(bytes, queued, planner.limits.LinkRate, planner.queues.fromStore, planner.limits.StoreRate, storeOnly || !planner.limits.AllowPeers)
}

// MissingBytes returns, as of the last call of Plan, the number of bytes of a part that each machine on
// which it is missing still has to receive. The caller must not modify the map.
func (planner *Planner) MissingBytes(datasetName string, part int) map[replicas.MachineID]float64 {
	return planner.queues.missing[partKey{datasetName, part}]
}

// SpreadDelay returns the estimated time in seconds until one more machine has a part, given its number of
// holders. Every holder serves the part to others, so the number of holders doubles in the time of one
// transfer. The result is 0 if the link rate is unknown or machines may not copy from one another.
func (planner *Planner) SpreadDelay(summary *dataset.Summary, part, holders int) float64 {
	if planner.limits.LinkRate <= 0 || !planner.limits.AllowPeers {
		return 0
	}
	pendingReceivers := len(planner.queues.missing[partKey{summary.Name, part}])
	doublings := math.Ceil(math.Log2(1 + float64(pendingReceivers+1)/float64(max(1, holders))))
	return float64(summary.PartBytes(part)) / planner.limits.LinkRate * doublings
}

// TotalQueuedBytes returns the number of bytes that all machines together still have to receive.
func (planner *Planner) TotalQueuedBytes() float64 {
	sum := 0.0
	for _, agent := range planner.agents {
		sum += agent.queuedBytes
	}
	return math.Max(0, sum)
}

// Order returns the current order of a machine and the address of its agent. It returns false if the
// agent is unknown, or if Plan has not been called since the agent's first heartbeat. The caller must not
// modify the order.
func (planner *Planner) Order(machine string) (order api.StageOrder, address string, ok bool) {
	agent := planner.agents[machine]
	if agent == nil || !agent.planned {
		return order, "", false
	}
	order = api.StageOrder{
		Term:         planner.term,
		Incarnation:  agent.incarnation,
		Sequence:     agent.orderNumber,
		KnownVersion: agent.replicasVersion,
		Sets:         []api.StageSet{},
	}
	for _, name := range slices.Sorted(maps.Keys(agent.desired)) {
		desired := agent.desired[name]
		set := api.StageSet{Dataset: name, Manifest: desired.summary.ManifestDigest.String(), Parts: api.PartSet{Bitmap: desired.parts}}
		for _, part := range slices.Sorted(maps.Keys(desired.transfers)) {
			set.Copies = append(set.Copies, api.StageCopy{Part: part, Sources: desired.transfers[part].sources})
		}
		order.Sets = append(order.Sets, set)
	}
	for _, name := range slices.Sorted(maps.Keys(agent.removedDatasets)) {
		if agent.desired[name] == nil {
			order.DropManifests = append(order.DropManifests, planner.removedManifests[name])
		}
	}
	return order, agent.address, true
}

// TransferStatus describes one transfer for display to operators.
type TransferStatus struct {
	Machine, Dataset string
	Part             int
	// ReceivedBytes is the number of received bytes, and TotalBytes the size of the part in bytes.
	ReceivedBytes, TotalBytes int64
	// Sources lists the sources in the order in which the agent tries them.
	Sources []api.StageSource
	// FailedSources maps the name of each source that failed to the reason.
	FailedSources map[string]string
	// CacheFull says that the machine's cache has no space for a part.
	CacheFull bool
}

// Transfers returns all transfers, sorted by machine, dataset and part.
func (planner *Planner) Transfers() []TransferStatus {
	var statuses []TransferStatus
	for _, machine := range slices.Sorted(maps.Keys(planner.agents)) {
		agent := planner.agents[machine]
		for _, name := range slices.Sorted(maps.Keys(agent.desired)) {
			desired := agent.desired[name]
			for _, part := range slices.Sorted(maps.Keys(desired.transfers)) {
				transfer := desired.transfers[part]
				status := TransferStatus{
					Machine:       machine,
					Dataset:       name,
					Part:          part,
					ReceivedBytes: transfer.receivedBytes,
					TotalBytes:    desired.summary.PartBytes(part),
					Sources:       transfer.sources,
					FailedSources: map[string]string{},
					CacheFull:     agent.cacheFull,
				}
				for source, reason := range transfer.failures {
					status.FailedSources[source.String()] = reason
				}
				statuses = append(statuses, status)
			}
		}
	}
	return statuses
}
