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

// Alive returns whether a machine's agent sent a heartbeat within the given time. Only such
// machines are chosen for tasks with inputs. It is a preference and proves nothing.
func (planner *Planner) Alive(machine string, now time.Time, within time.Duration) bool {
	agent := planner.agents[machine]
	return agent != nil && now.Sub(agent.lastHeartbeat) < within
}

// ID returns a machine's number in the index of replicas, and false if the machine is unknown.
func (planner *Planner) ID(machine string) (replicas.MachineID, bool) {
	agent := planner.agents[machine]
	if agent == nil {
		return 0, false
	}
	return agent.id, true
}

// Full returns whether a machine's cache has no room for a part that it was to copy.
func (planner *Planner) Full(machine string) bool {
	agent := planner.agents[machine]
	return agent != nil && agent.cacheFull
}

// Confirmed returns whether a part is proved to be whole, checked and pinned on a machine.
func (planner *Planner) Confirmed(machine string, set *dataset.Summary, part int) bool {
	desired := planner.acknowledged(machine, set)
	return desired != nil && desired.pinned.Contains(uint32(part)) && desired.parts.Contains(uint32(part))
}

// ConfirmedAll returns whether Confirmed holds for every part of a dataset.
func (planner *Planner) ConfirmedAll(machine string, set *dataset.Summary) bool {
	desired := planner.acknowledged(machine, set)
	return desired != nil && int(desired.parts.GetCardinality()) == set.Parts &&
		int(desired.pinned.AndCardinality(desired.parts)) == set.Parts
}

// acknowledged returns what a machine shall hold of a dataset, or nil if its agent did not yet
// acknowledge an order of this term that asks for all of it.
func (planner *Planner) acknowledged(machine string, set *dataset.Summary) *desiredDataset {
	agent := planner.agents[machine]
	if agent == nil {
		return nil
	}
	desired := agent.desired[set.Name]
	if desired == nil || agent.appliedOrder == 0 || agent.appliedOrder < desired.addedInOrder {
		return nil
	}
	return desired
}

// Idle returns whether every agent acknowledged its order of this term and no machine shall hold
// anything, so that a call of Plan without demands would change nothing.
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

// QueuedBytes returns the bytes that a machine's link has still to deliver.
func (planner *Planner) QueuedBytes(machine string) float64 {
	if agent := planner.agents[machine]; agent != nil {
		return agent.queuedBytes
	}
	return 0
}

// ReserveBytes adds to a machine's queued bytes until the next call of Plan.
func (planner *Planner) ReserveBytes(machine string, bytes float64) {
	if agent := planner.agents[machine]; agent != nil {
		agent.queuedBytes += bytes
	}
}

// TransferDelay returns how long, in seconds, it takes to deliver the given bytes over a link
// that has queued bytes to deliver before them, or from the store under its present load.
// StoreOnly says that no machine holds the bytes.
func (planner *Planner) TransferDelay(queued, bytes float64, storeOnly bool) float64 {
	return cost.Copy(bytes, queued, planner.limits.LinkRate, planner.queues.fromStore, planner.limits.StoreRate, storeOnly || !planner.limits.Peers)
}

// InFlight returns the machines that shall receive a part and do not have it yet, with the bytes
// that they lack, as of the last call of Plan. The caller must not change the map.
func (planner *Planner) InFlight(set string, part int) map[replicas.MachineID]float64 {
	return planner.queues.missing[partKey{set, part}]
}

// Spread returns how long, in seconds, the sources of a part need until one more machine has it.
// Every holder passes the part on, so the number of holders doubles with each transfer's time.
func (planner *Planner) Spread(set *dataset.Summary, part, holders int) float64 {
	if planner.limits.LinkRate <= 0 || !planner.limits.Peers {
		return 0
	}
	ahead := len(planner.queues.missing[partKey{set.Name, part}])
	doublings := math.Ceil(math.Log2(1 + float64(ahead+1)/float64(max(1, holders))))
	return float64(set.PartBytes(part)) / planner.limits.LinkRate * doublings
}

// Backlog returns the bytes that all machines together have still to receive.
func (planner *Planner) Backlog() float64 {
	sum := 0.0
	for _, agent := range planner.agents {
		sum += agent.queuedBytes
	}
	return math.Max(0, sum)
}

// Order returns a machine's present order and its agent's address. It returns false if the agent
// is unknown, or was not yet seen by a call of Plan.
func (planner *Planner) Order(machine string) (order api.StageOrder, address string, ok bool) {
	agent := planner.agents[machine]
	if agent == nil || !agent.planned {
		return order, "", false
	}
	order = api.StageOrder{
		Term:        planner.term,
		Incarnation: agent.incarnation,
		Order:       agent.orderNumber,
		Known:       agent.replicasVersion,
		Sets:        []api.StageSet{},
	}
	for _, name := range slices.Sorted(maps.Keys(agent.desired)) {
		desired := agent.desired[name]
		set := api.StageSet{Dataset: name, Manifest: desired.summary.Manifest.String(), Parts: api.PartSet{Bitmap: desired.parts}}
		for _, part := range slices.Sorted(maps.Keys(desired.transfers)) {
			set.Copies = append(set.Copies, api.StageCopy{Part: part, From: desired.transfers[part].sources})
		}
		order.Sets = append(order.Sets, set)
	}
	for _, name := range slices.Sorted(maps.Keys(agent.removedDatasets)) {
		if agent.desired[name] == nil {
			order.Drop = append(order.Drop, planner.removedManifests[name])
		}
	}
	return order, agent.address, true
}

// CopyStatus describes one transfer to operators.
type CopyStatus struct {
	Machine, Dataset string
	Part             int
	// Got and Of are the received bytes and the size of the part.
	Got, Of int64
	From    []api.StageSource
	// Failed gives the reason for each source that failed.
	Failed map[string]string
	// Full says that the machine's cache has no room for a part.
	Full bool
}

// Copies returns all transfers, sorted by machine, dataset and part.
func (planner *Planner) Copies() []CopyStatus {
	var statuses []CopyStatus
	for _, machine := range slices.Sorted(maps.Keys(planner.agents)) {
		agent := planner.agents[machine]
		for _, name := range slices.Sorted(maps.Keys(agent.desired)) {
			desired := agent.desired[name]
			for _, part := range slices.Sorted(maps.Keys(desired.transfers)) {
				transfer := desired.transfers[part]
				status := CopyStatus{
					Machine: machine,
					Dataset: name,
					Part:    part,
					Got:     transfer.receivedBytes,
					Of:      desired.summary.PartBytes(part),
					From:    transfer.sources,
					Failed:  map[string]string{},
					Full:    agent.cacheFull,
				}
				for source, why := range transfer.failures {
					status.Failed[source.String()] = why
				}
				statuses = append(statuses, status)
			}
		}
	}
	return statuses
}
