// Package staging plans which parts of datasets are copied where, from whom, and in which
// orderNumber. It is a step function: agents' reports and what is wanted go in, orders come out;
// it does no I/O, has no lock and no clock. It does not know jobs, or why a part is wanted.
//
// For each machine there is one order, which names all that the machine shall have. It
// carries the leader's term and a number that grows, and an agent refuses an older one.
// That a part is pinned is proved by a report that keeps an order of this term no older
// than the one which asked for the part without a break since: from then on it stays, until
// the leader itself takes it out of the order. No proof rests on time.
package staging

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/cost"
	"switchferry/dataset"
	"switchferry/replicas"
	"switchferry/tuning"
)

// Limits are those of links and store.
type Limits struct {
	// LinkRate is what a machine's link carries each way, StoreRate what the store
	// gives, in bytes a second; 0: not known, and not weighed.
	LinkRate, StoreRate float64
	// PerLink is how many copies one machine takes in, and gives out, at once; AtStore
	// how many the store gives at once.
	PerLink, AtStore int
	// Peers: machines copy from one another. Without, all comes from the store.
	Peers bool
}

// Demand is one part that a machine shall have. Wants come in the order in which they are
// to be met.
type Demand struct {
	Machine string
	Set     *dataset.Summary
	Part    int
}

// Planner is the state of one term.
type Planner struct {
	term            uint64
	limits          Limits
	index           *replicas.Index
	agents          map[string]*agentState
	agentsByAddress map[string]*agentState
	agentsByID      map[replicas.MachineID]*agentState
	// storeTransfers are copies under way from the store, queuedBytes their bytes.
	storeTransfers   int
	queuedStoreBytes float64
	// corruptPeers are peers that gave wrong bytes; they are no source any more.
	corruptPeers map[string]bool
	// transfersByPart counts the machines that a part is being copied to, over any link.
	transfersByPart map[partKey]int
	// missingBytes are the machines that are to have a part and lack it, with the bytes that
	// they lack, as of the last round.
	missingBytes map[partKey]map[replicas.MachineID]float64
	// removedManifests are datasets that are removed for good, with their manifests: agents let
	// go of what they hold of them.
	removedManifests map[string]string
	// Counters since the term began.
	Planned, Failed int
}

type partKey struct {
	dataset string
	part    int
}

type agentState struct {
	name, address         string
	id                    replicas.MachineID
	incarnation, sequence uint64
	lastHeartbeat         time.Time
	replicasVersion       uint64
	cacheQuota, used      int64
	// orderNumber is the number of its newest order, sent when that last went out; applied is
	// the newest that it keeps. The first one goes out even if it asks for nothing: an
	// earlier leader's must not keep parts for ever.
	orderNumber, appliedOrder uint64
	orderSentAt               time.Time
	// planned: a round has looked at it. Before that its order says nothing, and sent out
	// would let go what an earlier leader's tasks run on.
	planned            bool
	desired            map[string]*desiredDataset
	incoming, outgoing int
	// queuedBytes are the bytes of copies to it that are under way or wait.
	queuedBytes  float64
	desiredBytes float64
	cacheFull    bool
	// removedDatasets are the removed datasets of which it holds something; redrop: they changed
	// since its last order.
	removedDatasets map[string]bool
	removalsChanged bool
}

// desiredDataset is what an order says of one dataset.
type desiredDataset struct {
	summary *dataset.Summary
	parts   *roaring.Bitmap
	// addedInOrder is the order that last added a part.
	addedInOrder uint64
	pinned       *roaring.Bitmap
	transfers    map[int]*partTransfer
}

// partTransfer is one copy in an order.
type partTransfer struct {
	sources       []api.StageSource
	receivedBytes int64
	lastProgress  time.Time
	// failures are sources that it failed with.
	failures map[api.StageSource]string
}

// New makes the desk of a term.
func New(term uint64, limits Limits, index *replicas.Index) *Planner {
	return &Planner{term: term, limits: limits, index: index, agents: map[string]*agentState{}, agentsByAddress: map[string]*agentState{},
		agentsByID: map[replicas.MachineID]*agentState{}, corruptPeers: map[string]bool{}, transfersByPart: map[partKey]int{}, missingBytes: map[partKey]map[replicas.MachineID]float64{}, removedManifests: map[string]string{}}
}

// ApplyHeartbeat takes in a report. False: it is older than one that was, and tells nothing.
func (planner *Planner) ApplyHeartbeat(heartbeat *api.StageHeartbeat, now time.Time) bool {
	agent := planner.agents[heartbeat.Machine]
	if agent == nil {
		agent = &agentState{name: heartbeat.Machine, id: planner.index.ID(heartbeat.Machine), orderNumber: 1, desired: map[string]*desiredDataset{}}
		planner.agents[heartbeat.Machine], planner.agentsByID[agent.id] = agent, agent
	}
	agent.lastHeartbeat = now
	if heartbeat.Incarnation < agent.incarnation || heartbeat.Incarnation == agent.incarnation && heartbeat.Seq <= agent.sequence {
		return false
	}
	if heartbeat.Incarnation != agent.incarnation {
		// The agent began anew: it copies nothing now, and its order comes again.
		for _, desired := range agent.desired {
			for part := range desired.transfers {
				planner.cancelTransfer(agent, desired, part)
			}
		}
		agent.orderSentAt, agent.replicasVersion = time.Time{}, 0
	}
	if agent.address != heartbeat.Address {
		delete(planner.agentsByAddress, agent.address)
		agent.address = heartbeat.Address
		planner.agentsByAddress[agent.address] = agent
	}
	agent.incarnation, agent.sequence, agent.cacheQuota, agent.used = heartbeat.Incarnation, heartbeat.Seq, heartbeat.Quota, heartbeat.Used
	agent.appliedOrder = 0
	if heartbeat.Term == planner.term {
		agent.appliedOrder = heartbeat.Order
	}
	if heartbeat.All {
		all := map[string]replicas.Replica{}
		for _, replica := range heartbeat.Holds {
			all[replica.Dataset] = replicas.Replica{Of: replica.Of, Parts: replica.Parts.Bitmap}
		}
		planner.index.Set(heartbeat.Machine, all)
		agent.replicasVersion = heartbeat.Version
		drop := map[string]bool{}
		for _, replica := range heartbeat.Holds {
			if planner.removedManifests[replica.Dataset] != "" && !replica.Parts.IsEmpty() {
				drop[replica.Dataset] = true
			}
		}
		agent.removalsChanged = agent.removalsChanged || !maps.Equal(drop, agent.removedDatasets)
		agent.removedDatasets = drop
	}
	for _, desired := range agent.desired {
		desired.pinned = roaring.New()
	}
	for _, replica := range heartbeat.Pinned {
		if desired := agent.desired[replica.Dataset]; desired != nil && desired.summary.Manifest.String() == replica.Manifest {
			desired.pinned = replica.Parts.Bitmap
			for part := range desired.transfers {
				if desired.pinned.Contains(uint32(part)) {
					planner.cancelTransfer(agent, desired, part)
				}
			}
		}
	}
	agent.cacheFull = false
	for _, copied := range heartbeat.Copies {
		agent.cacheFull = agent.cacheFull || copied.Full
		desired := agent.desired[copied.Dataset]
		if desired == nil || desired.transfers[copied.Part] == nil {
			continue
		}
		transfer := desired.transfers[copied.Part]
		if copied.Got != transfer.receivedBytes {
			transfer.receivedBytes, transfer.lastProgress = copied.Got, now
		}
		for _, failure := range copied.Failed {
			if _, ok := transfer.failures[failure.From]; !ok {
				planner.Failed++
				transfer.failures[failure.From] = failure.Why
			}
			if failure.Corrupt && failure.From.Peer != "" {
				planner.corruptPeers[failure.From.Peer] = true
			}
		}
	}
	return true
}

// ApplyHint takes in what a machine held as an earlier leader knew it. Until its agent is
// lastHeartbeat it gets no order, is no source, and nothing is proved of it.
func (planner *Planner) ApplyHint(machine string, holds map[string]replicas.Replica, now time.Time) {
	if planner.agents[machine] != nil {
		return
	}
	agent := &agentState{name: machine, id: planner.index.ID(machine), orderNumber: 1, desired: map[string]*desiredDataset{}, lastHeartbeat: now}
	planner.agents[machine], planner.agentsByID[agent.id] = agent, agent
	planner.index.Set(machine, holds)
}

// RemoveDataset notes that a dataset, known by its manifest's digest, was removed for good:
// nothing wants it, and agents that hold something of it, now or when they come back, are
// ordered to let it go.
func (planner *Planner) RemoveDataset(name, manifest string) {
	if planner.removedManifests[name] != "" {
		return
	}
	planner.removedManifests[name] = manifest
	snapshot := planner.index.Snapshot()
	if !snapshot.Known(name) {
		return
	}
	for _, agent := range planner.agents {
		if snapshot.Count(agent.id, name) > 0 {
			if agent.removedDatasets == nil {
				agent.removedDatasets = map[string]bool{}
			}
			agent.removedDatasets[name], agent.removalsChanged = true, true
		}
	}
}

// RemoveMachine forgets a machine that no longer exists.
func (planner *Planner) RemoveMachine(machine string) {
	agent := planner.agents[machine]
	if agent == nil {
		return
	}
	for _, desired := range agent.desired {
		for part := range desired.transfers {
			planner.cancelTransfer(agent, desired, part)
		}
	}
	delete(planner.agents, machine)
	delete(planner.agentsByID, agent.id)
	delete(planner.agentsByAddress, agent.address)
	planner.index.Remove(machine)
}

// Alive tells whether a machine's agent was heard within so long: only such machines are
// chosen for tasks with inputs. It is a choice, and no proof of anything.
func (planner *Planner) Alive(machine string, now time.Time, within time.Duration) bool {
	agent := planner.agents[machine]
	return agent != nil && now.Sub(agent.lastHeartbeat) < within
}

// ID is a machine's number in the index of holdings; false: its agent was never heard.
func (planner *Planner) ID(machine string) (replicas.MachineID, bool) {
	agent := planner.agents[machine]
	if agent == nil {
		return 0, false
	}
	return agent.id, true
}

// Full tells whether a machine's cache has no room for what it was to copy.
func (planner *Planner) Full(machine string) bool {
	agent := planner.agents[machine]
	return agent != nil && agent.cacheFull
}

// Confirmed tells whether a part is proved whole, checked and pinned on a machine.
func (planner *Planner) Confirmed(machine string, set *dataset.Summary, part int) bool {
	agent := planner.agents[machine]
	if agent == nil {
		return false
	}
	desired := agent.desired[set.Name]
	return desired != nil && agent.appliedOrder >= desired.addedInOrder && agent.appliedOrder > 0 && desired.pinned.Contains(uint32(part)) && desired.parts.Contains(uint32(part))
}

// ConfirmedAll is the same for all parts of a dataset.
func (planner *Planner) ConfirmedAll(machine string, set *dataset.Summary) bool {
	agent := planner.agents[machine]
	if agent == nil {
		return false
	}
	desired := agent.desired[set.Name]
	return desired != nil && agent.appliedOrder >= desired.addedInOrder && agent.appliedOrder > 0 && int(desired.parts.GetCardinality()) == set.Parts &&
		int(desired.pinned.AndCardinality(desired.parts)) == set.Parts
}

// Idle tells whether every agent that was heard keeps an order of this term, and none is
// to have anything: a round without wants would change nothing.
func (planner *Planner) Idle() bool {
	for _, agent := range planner.agents {
		if len(agent.desired) > 0 || agent.removalsChanged || agent.address != "" && (!agent.planned || agent.appliedOrder != agent.orderNumber) {
			return false
		}
	}
	return true
}

// QueuedBytes is what a machine's link has to bring already, in bytes.
func (planner *Planner) QueuedBytes(machine string) float64 {
	if agent := planner.agents[machine]; agent != nil {
		return agent.queuedBytes
	}
	return 0
}

// ReserveBytes counts bytes that are to come to a machine, until the next round counts anew.
func (planner *Planner) ReserveBytes(machine string, bytes float64) {
	if agent := planner.agents[machine]; agent != nil {
		agent.queuedBytes += bytes
	}
}

// TransferDelay is how long it takes to bring so many bytes over a link that has so many to
// bring already, and from the store as that is loaded now, in seconds. StoreOnly: no
// machine holds them.
func (planner *Planner) TransferDelay(behind, bytes float64, storeOnly bool) float64 {
	return cost.Copy(bytes, behind, planner.limits.LinkRate, planner.queuedStoreBytes, planner.limits.StoreRate, storeOnly || !planner.limits.Peers)
}

// InFlight are the machines that a part is on its way to, with the bytes that they still
// lack; the map must not be changed.
func (planner *Planner) InFlight(datasetName string, part int) map[replicas.MachineID]float64 {
	return planner.missingBytes[partKey{datasetName, part}]
}

// Spread is how long it takes until one more machine has a part, as far as its sources go,
// in seconds: they give it to as many machines as they can at once, which then give it on,
// so the number of machines that have it doubles with each copy's time or so.
func (planner *Planner) Spread(set *dataset.Summary, part, holders int) float64 {
	if planner.limits.LinkRate <= 0 || !planner.limits.Peers {
		return 0
	}
	ahead := len(planner.missingBytes[partKey{set.Name, part}])
	return float64(set.PartBytes(part)) / planner.limits.LinkRate * math.Ceil(math.Log2(1+float64(ahead+1)/float64(max(1, holders))))
}

func (planner *Planner) cancelTransfer(agent *agentState, desired *desiredDataset, part int) {
	transfer := desired.transfers[part]
	if transfer == nil {
		return
	}
	delete(desired.transfers, part)
	agent.incoming--
	if planner.transfersByPart[partKey{desired.summary.Name, part}]--; planner.transfersByPart[partKey{desired.summary.Name, part}] <= 0 {
		delete(planner.transfersByPart, partKey{desired.summary.Name, part})
	}
	if source := transfer.sources[0]; source.Store {
		planner.storeTransfers--
	} else if peer := planner.agentsByAddress[source.Peer]; peer != nil {
		peer.outgoing--
	}
}

// Plan takes in all that is wanted, the most urgent first, and decides what is copied.
// What no longer stands in it may be evicted. It gives the machines whose order must go
// out now, in the order of their names.
func (planner *Planner) Plan(demands []Demand, now time.Time) []string {
	planner.updateDesired(demands)
	planner.recount()
	snapshot := planner.index.Snapshot()
	planner.queuedStoreBytes = 0
	clear(planner.missingBytes)
	for _, agent := range planner.agents {
		agent.queuedBytes = 0
	}
	changed := map[*agentState]bool{}
	for _, demand := range demands {
		agent := planner.agents[demand.Machine]
		if agent == nil {
			continue
		}
		desired := agent.desired[demand.Set.Name]
		if desired == nil || !desired.parts.Contains(uint32(demand.Part)) || desired.pinned.Contains(uint32(demand.Part)) || snapshot.Has(agent.id, demand.Set.Name, demand.Part) {
			continue
		}
		size := float64(demand.Set.PartBytes(demand.Part))
		if transfer := desired.transfers[demand.Part]; transfer != nil {
			size -= float64(transfer.receivedBytes)
			if planner.replaceFailedSources(agent, desired, demand.Part, transfer, snapshot, now) {
				changed[agent] = true
			}
		} else if from := planner.chooseSources(agent, demand, snapshot, now, nil); from != nil {
			desired.transfers[demand.Part] = &partTransfer{sources: from, lastProgress: now, failures: map[api.StageSource]string{}}
			planner.countTransfer(agent, demand.Set.Name, demand.Part, from[0])
			changed[agent] = true
		}
		missing := planner.missingBytes[partKey{demand.Set.Name, demand.Part}]
		if missing == nil {
			missing = map[replicas.MachineID]float64{}
			planner.missingBytes[partKey{demand.Set.Name, demand.Part}] = missing
		}
		missing[agent.id] = size
		agent.queuedBytes += size
		if !planner.limits.Peers || len(snapshot.Holders(demand.Set.Name, demand.Part)) == 0 {
			planner.queuedStoreBytes += size
		}
	}
	var out []string
	for _, agent := range planner.agents {
		if agent.address == "" {
			continue
		}
		agent.planned = true
		if agent.removalsChanged {
			changed[agent], agent.removalsChanged = true, false
		}
		if changed[agent] {
			agent.orderNumber++
		}
		if changed[agent] || agent.appliedOrder != agent.orderNumber && now.Sub(agent.orderSentAt) >= tuning.StageResend {
			agent.orderSentAt = now
			out = append(out, agent.name)
		}
	}
	slices.Sort(out)
	return out
}

// recount counts what is on each link anew: agents that went and came in between may have
// been counted under an address that another has now.
func (planner *Planner) recount() {
	clear(planner.transfersByPart)
	planner.storeTransfers = 0
	for _, agent := range planner.agents {
		agent.incoming, agent.outgoing = 0, 0
	}
	planned := planner.Planned
	for _, agent := range planner.agents {
		for name, desired := range agent.desired {
			for part, transfer := range desired.transfers {
				planner.countTransfer(agent, name, part, transfer.sources[0])
			}
		}
	}
	planner.Planned = planned
}

func (planner *Planner) countTransfer(agent *agentState, datasetName string, part int, from api.StageSource) {
	planner.Planned++
	agent.incoming++
	planner.transfersByPart[partKey{datasetName, part}]++
	if from.Store {
		planner.storeTransfers++
	} else if peer := planner.agentsByAddress[from.Peer]; peer != nil {
		peer.outgoing++
	}
}

// updateDesired brings the orders in line with what is wanted, as far as each cache can hold
// it; what is more urgent comes first.
func (planner *Planner) updateDesired(demands []Demand) {
	next := map[*agentState]map[string]*roaring.Bitmap{}
	sets := map[string]*dataset.Summary{}
	for _, agent := range planner.agents {
		agent.desiredBytes = 0
	}
	for _, demand := range demands {
		agent := planner.agents[demand.Machine]
		if agent == nil {
			continue
		}
		sets[demand.Set.Name] = demand.Set
		if next[agent] == nil {
			next[agent] = map[string]*roaring.Bitmap{}
		}
		parts := next[agent][demand.Set.Name]
		if parts == nil {
			parts = roaring.New()
			next[agent][demand.Set.Name] = parts
		}
		size := float64(demand.Set.PartBytes(demand.Part))
		if parts.Contains(uint32(demand.Part)) || agent.cacheQuota > 0 && agent.desiredBytes > 0 && agent.desiredBytes+size > float64(agent.cacheQuota) {
			continue
		}
		agent.desiredBytes += size
		parts.Add(uint32(demand.Part))
	}
	for _, agent := range planner.agents {
		different := false
		for name, desired := range agent.desired {
			if parts := next[agent][name]; parts == nil || parts.IsEmpty() {
				for part := range desired.transfers {
					planner.cancelTransfer(agent, desired, part)
				}
				delete(agent.desired, name)
				different = true
			}
		}
		for name, parts := range next[agent] {
			if parts.IsEmpty() {
				continue
			}
			desired := agent.desired[name]
			if desired == nil {
				desired = &desiredDataset{summary: sets[name], parts: roaring.New(), pinned: roaring.New(), transfers: map[int]*partTransfer{}}
				agent.desired[name] = desired
			}
			if parts.Equals(desired.parts) {
				continue
			}
			different = true
			if !roaring.AndNot(parts, desired.parts).IsEmpty() {
				desired.addedInOrder = agent.orderNumber + 1
			}
			for part := range desired.transfers {
				if !parts.Contains(uint32(part)) {
					planner.cancelTransfer(agent, desired, part)
				}
			}
			desired.parts = parts
		}
		if different {
			agent.orderNumber++
			agent.orderSentAt = time.Time{}
		}
	}
}

// chooseSources are where a part comes from, best first; nil: it has to wait. Peers that hold
// it come first, those that give out least, then the store. While another machine gets it
// sources the store, it is waited for: each part shall leave the store once.
func (planner *Planner) chooseSources(agent *agentState, demand Demand, snapshot *replicas.Snapshot, now time.Time, not map[api.StageSource]string) []api.StageSource {
	if agent.address == "" || agent.incoming >= planner.limits.PerLink {
		return nil
	}
	var peers []*agentState
	busy := false
	if planner.limits.Peers {
		for _, machineID := range snapshot.Holders(demand.Set.Name, demand.Part) {
			peer := planner.byID(machineID)
			if peer == nil || peer == agent || peer.address == "" || planner.corruptPeers[peer.address] || now.Sub(peer.lastHeartbeat) > tuning.StageSilent {
				continue
			}
			if _, failed := not[api.StageSource{Peer: peer.address}]; failed {
				continue
			}
			if peer.outgoing >= planner.limits.PerLink {
				busy = true
				continue
			}
			peers = append(peers, peer)
		}
	}
	slices.SortFunc(peers, func(peer, other *agentState) int {
		return cmp.Or(cmp.Compare(peer.outgoing, other.outgoing), cmp.Compare(peer.name, other.name))
	})
	var out []api.StageSource
	for _, peer := range peers[:min(len(peers), tuning.StageSources)] {
		out = append(out, api.StageSource{Peer: peer.address})
	}
	if len(out) > 0 {
		return out
	}
	if busy || planner.storeTransfers >= planner.limits.AtStore || planner.limits.Peers && planner.isProgressing(demand.Set.Name, demand.Part, now) {
		return nil
	}
	return []api.StageSource{{Store: true}}
}

// isProgressing tells whether a part comes to some machine, and gets on.
func (planner *Planner) isProgressing(datasetName string, part int, now time.Time) bool {
	if planner.transfersByPart[partKey{datasetName, part}] == 0 {
		return false
	}
	for _, agent := range planner.agents {
		if desired := agent.desired[datasetName]; desired != nil {
			if transfer := desired.transfers[part]; transfer != nil && len(transfer.failures) < len(transfer.sources) && now.Sub(transfer.lastProgress) < tuning.StageGiveUp {
				return true
			}
		}
	}
	return false
}

// replaceFailedSources gives a copy whose sources all failed others, if there are any.
func (planner *Planner) replaceFailedSources(agent *agentState, desired *desiredDataset, part int, transfer *partTransfer, snapshot *replicas.Snapshot, now time.Time) bool {
	for _, source := range transfer.sources {
		if _, failed := transfer.failures[source]; !failed && !(source.Peer != "" && planner.corruptPeers[source.Peer]) {
			return false
		}
	}
	failed := maps.Clone(transfer.failures)
	planner.cancelTransfer(agent, desired, part)
	from := planner.chooseSources(agent, Demand{agent.name, desired.summary, part}, snapshot, now, failed)
	if from == nil || slices.Equal(from, transfer.sources) {
		// Nothing better: it stays, and the agent tries again with growing pauses.
		from = transfer.sources
	}
	same := slices.Equal(from, transfer.sources)
	desired.transfers[part] = &partTransfer{sources: from, receivedBytes: transfer.receivedBytes, lastProgress: transfer.lastProgress, failures: map[api.StageSource]string{}}
	if same {
		desired.transfers[part].failures = failed
	}
	planner.countTransfer(agent, desired.summary.Name, part, from[0])
	planner.Planned--
	return !same
}

func (planner *Planner) byID(machineID replicas.MachineID) *agentState {
	return planner.agentsByID[machineID]
}

// Order is a machine's order as it stands; false: its agent is not known, or no round has
// looked at it yet.
func (planner *Planner) Order(machine string) (order api.StageOrder, addr string, ok bool) {
	agent := planner.agents[machine]
	if agent == nil || !agent.planned {
		return order, "", false
	}
	order = api.StageOrder{Term: planner.term, Incarnation: agent.incarnation, Order: agent.orderNumber, Known: agent.replicasVersion, Sets: []api.StageSet{}}
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

// CopyStatus is one copy as operators see it.
type CopyStatus struct {
	Machine, Dataset string
	Part             int
	Got, Of          int64
	From             []api.StageSource
	Failed           map[string]string
	Full             bool
}

// Copies are all copies under way, by machine, dataset and part.
func (planner *Planner) Copies() []CopyStatus {
	var out []CopyStatus
	for _, name := range slices.Sorted(maps.Keys(planner.agents)) {
		agent := planner.agents[name]
		for _, datasetName := range slices.Sorted(maps.Keys(agent.desired)) {
			desired := agent.desired[datasetName]
			for _, part := range slices.Sorted(maps.Keys(desired.transfers)) {
				transfer := desired.transfers[part]
				c := CopyStatus{Machine: name, Dataset: datasetName, Part: part, Got: transfer.receivedBytes, Of: desired.summary.PartBytes(part), From: transfer.sources, Full: agent.cacheFull, Failed: map[string]string{}}
				for source, why := range transfer.failures {
					c.Failed[source.String()] = why
				}
				out = append(out, c)
			}
		}
	}
	return out
}

// Backlog is how many bytes are still to come to all machines.
func (planner *Planner) Backlog() float64 {
	sum := 0.0
	for _, agent := range planner.agents {
		sum += agent.queuedBytes
	}
	return math.Max(0, sum)
}
