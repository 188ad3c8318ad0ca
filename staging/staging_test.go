package staging

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/replicas"
)

var inventory = &dataset.Summary{Name: "inv", Bytes: 80, Parts: 8, Usual: 10}

// fakeAgent is an agent as the protocol has it: it takes newer orders, copies a part a step
// sources its first source that works, and keeps what stands in its order.
type fakeAgent struct {
	name                             string
	incarnation, sequence            uint64
	term, orderNumber                uint64
	orderedSets                      []api.StageSet
	holds                            map[uint32]bool
	corrupt, down                    bool
	failures                         map[int][]api.StageFailure
	copiesFromStore, copiesFromPeers int
	quota                            int64
}

func (agent *fakeAgent) address() string { return agent.name + ":1" }

func (agent *fakeAgent) apply(order api.StageOrder) bool {
	if order.Term < agent.term || order.Term == agent.term && order.Order < agent.orderNumber || order.Incarnation != agent.incarnation {
		return false
	}
	agent.term, agent.orderNumber, agent.orderedSets = order.Term, order.Order, order.Sets
	return true
}

func (agent *fakeAgent) heartbeat() *api.StageHeartbeat {
	agent.sequence++
	heartbeat := &api.StageHeartbeat{Machine: agent.name, Address: agent.address(), Incarnation: agent.incarnation, Seq: agent.sequence, Term: agent.term, Order: agent.orderNumber, Quota: agent.quota, All: true}
	held := roaring.New()
	for k := range agent.holds {
		held.Add(k)
	}
	heartbeat.Holds = []api.StageHeld{{Dataset: "inv", Manifest: inventory.Manifest.String(), Of: 8, Parts: api.PartSet{Bitmap: held}}}
	for _, s := range agent.orderedSets {
		heartbeat.Pinned = append(heartbeat.Pinned, api.StageHeld{Dataset: s.Dataset, Manifest: s.Manifest, Parts: api.PartSet{Bitmap: roaring.And(held, s.Parts.Bitmap)}})
		for _, transfer := range s.Copies {
			if !agent.holds[uint32(transfer.Part)] {
				heartbeat.Copies = append(heartbeat.Copies, api.StageProgress{Dataset: s.Dataset, Part: transfer.Part, Of: 10, From: transfer.From[0], Failed: agent.failures[transfer.Part]})
			}
		}
	}
	return heartbeat
}

// fakeCluster moves parts between played agents as the orders say.
type fakeCluster struct {
	agents    map[string]*fakeAgent
	names     []string
	storeDown bool
	now       time.Time
}

func newFakeCluster(size int) *fakeCluster {
	cluster := &fakeCluster{agents: map[string]*fakeAgent{}, now: time.Unix(1000, 0)}
	for i := range size {
		name := fmt.Sprintf("n-%d", i)
		cluster.agents[name] = &fakeAgent{name: name, incarnation: 1, holds: map[uint32]bool{}, failures: map[int][]api.StageFailure{}, quota: 1 << 30}
		cluster.names = append(cluster.names, name)
	}
	return cluster
}

func (cluster *fakeCluster) step(planner *Planner, demands []Demand) {
	cluster.now = cluster.now.Add(time.Second)
	for _, name := range cluster.names {
		if !cluster.agents[name].down {
			planner.ApplyHeartbeat(cluster.agents[name].heartbeat(), cluster.now)
		}
	}
	for _, name := range planner.Plan(demands, cluster.now) {
		if order, _, ok := planner.Order(name); ok && !cluster.agents[name].down {
			cluster.agents[name].apply(order)
		}
	}
	type got struct {
		p *fakeAgent
		k uint32
	}
	var done []got
	for _, name := range cluster.names {
		agent := cluster.agents[name]
		for _, s := range agent.orderedSets {
			for _, transfer := range s.Copies {
				if agent.down || agent.holds[uint32(transfer.Part)] {
					continue
				}
				for _, source := range transfer.From {
					peer := cluster.agents[machineOfAddress(source.Peer)]
					why, corrupt := "", false
					switch {
					case source.Store && cluster.storeDown, peer != nil && peer.down:
						why = "reset"
					case peer != nil && peer.corrupt:
						why, corrupt = "wrong bytes", true
					case peer != nil && !peer.holds[uint32(transfer.Part)]:
						why = "missing"
					}
					if why == "" {
						done = append(done, got{agent, uint32(transfer.Part)})
						if source.Store {
							agent.copiesFromStore++
						} else {
							agent.copiesFromPeers++
						}
						break
					}
					agent.failures[transfer.Part] = append(agent.failures[transfer.Part], api.StageFailure{From: source, Why: why, Corrupt: corrupt})
				}
			}
		}
	}
	for _, g := range done {
		g.p.holds[g.k] = true
		delete(g.p.failures, int(g.k))
	}
}

func machineOfAddress(addr string) string {
	if len(addr) < 2 {
		return ""
	}
	return addr[:len(addr)-2]
}

var limits = Limits{LinkRate: 100, StoreRate: 100, PerLink: 2, AtStore: 2, Peers: true}

func demandAll(cluster *fakeCluster, parts ...int) (out []Demand) {
	for _, part := range parts {
		for _, name := range cluster.names {
			out = append(out, Demand{name, inventory, part})
		}
	}
	return out
}

func (cluster *fakeCluster) confirmed(planner *Planner, demands []Demand) bool {
	for _, demand := range demands {
		if !planner.Confirmed(demand.Machine, demand.Set, demand.Part) {
			return false
		}
	}
	return true
}

// Whoever wants a part, it leaves the store once; the rest comes from machine to machine,
// within the limits of each link.
func TestEachPartLeavesTheStoreOnce(t *testing.T) {
	cluster := newFakeCluster(9)
	planner := New(5, limits, replicas.New())
	demands := demandAll(cluster, 0, 1, 2)
	for range 40 {
		cluster.step(planner, demands)
		for _, agent := range planner.agents {
			if agent.incoming > 2 || agent.outgoing > 2 || planner.storeTransfers > 2 || agent.incoming < 0 || agent.outgoing < 0 {
				t.Fatalf("%s: %d in, %d out, %d from the store", agent.name, agent.incoming, agent.outgoing, planner.storeTransfers)
			}
		}
	}
	fromStore := 0
	for _, agent := range cluster.agents {
		fromStore += agent.copiesFromStore
	}
	if !cluster.confirmed(planner, demands) || fromStore != 3 {
		t.Fatalf("proved %v, %d parts from the store", cluster.confirmed(planner, demands), fromStore)
	}
}

// The store goes, and a peer that holds a part lies about it or is gone: others are tried,
// and in the end everything is there.
func TestTroubledSourcesAreLeft(t *testing.T) {
	for _, kind := range []string{"store", "lies", "silent"} {
		cluster := newFakeCluster(5)
		planner := New(5, limits, replicas.New())
		cluster.agents["n-0"].holds[0] = true
		if kind == "store" {
			cluster.storeDown = true
		}
		cluster.agents["n-0"].corrupt = kind == "lies"
		for i := range 60 {
			if kind == "silent" && i == 3 {
				cluster.agents["n-0"].down = true
			}
			if i == 20 {
				cluster.storeDown = false
			}
			cluster.step(planner, demandAll(cluster, 0, 1)[1:])
		}
		for _, name := range cluster.names[1:] {
			if !planner.Confirmed(name, inventory, 0) || !planner.Confirmed(name, inventory, 1) {
				t.Errorf("%s: %s lacks a part", kind, name)
			}
		}
		if kind == "lies" && cluster.agents["n-1"].copiesFromPeers+cluster.agents["n-2"].copiesFromPeers == 0 && cluster.agents["n-3"].copiesFromPeers+cluster.agents["n-4"].copiesFromPeers == 0 {
			t.Error("lies: nobody copied from an honest peer")
		}
	}
}

// Proofs hold only for an order that asked without a break, and for this term. A part that
// was out of the order in between may have been evicted, whatever an earlier report said.
func TestConfirmationNeedsUninterruptedOrderOfThisTerm(t *testing.T) {
	cluster := newFakeCluster(1)
	planner := New(5, limits, replicas.New())
	one := []Demand{{"n-0", inventory, 1}}
	for range 5 {
		cluster.step(planner, one)
	}
	if !planner.Confirmed("n-0", inventory, 1) {
		t.Fatal("not proved")
	}
	old := cluster.agents["n-0"].heartbeat()
	planner.Plan(nil, cluster.now)
	if planner.Confirmed("n-0", inventory, 1) {
		t.Fatal("proved though it may go")
	}
	planner.Plan(one, cluster.now)
	old.Seq += 5
	planner.ApplyHeartbeat(old, cluster.now)
	if planner.Confirmed("n-0", inventory, 1) {
		t.Fatal("proved by a report that keeps an order from before the break")
	}
	cluster.agents["n-0"].sequence += 9
	for range 3 {
		cluster.step(planner, one)
	}
	if !planner.Confirmed("n-0", inventory, 1) {
		t.Fatal("not proved again")
	}
	// The next leader believes nothing that its own order did not ask for.
	next := New(6, limits, replicas.New())
	next.ApplyHeartbeat(cluster.agents["n-0"].heartbeat(), cluster.now)
	next.Plan(one, cluster.now)
	next.ApplyHeartbeat(cluster.agents["n-0"].heartbeat(), cluster.now)
	if next.Confirmed("n-0", inventory, 1) {
		t.Fatal("proved under an earlier leader's order")
	}
	for range 3 {
		cluster.step(next, one)
	}
	late, _, _ := planner.Order("n-0")
	if !next.Confirmed("n-0", inventory, 1) || cluster.agents["n-0"].apply(late) {
		t.Fatal("the new leader's order does not hold, or an old one was taken")
	}
}

// The most urgent wants get a cache that cannot hold them all.
func TestMostUrgentDemandsGetTheCache(t *testing.T) {
	cluster := newFakeCluster(1)
	cluster.agents["n-0"].quota = 35
	planner := New(5, limits, replicas.New())
	for range 20 {
		cluster.step(planner, demandAll(cluster, 4, 5, 6, 7))
	}
	if got := len(cluster.agents["n-0"].holds); got != 3 || cluster.agents["n-0"].holds[7] {
		t.Fatalf("it holds %v", cluster.agents["n-0"].holds)
	}
}

// However agents come, go and begin anew, the counts of links stay right and in the end
// everything wanted is there.
func TestTransferCountsStayRightThroughRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 3))
		cluster := newFakeCluster(6)
		planner := New(5, limits, replicas.New())
		var demands []Demand
		for i := range 200 {
			if i < 150 {
				agent := cluster.agents[cluster.names[rng.IntN(6)]]
				switch rng.IntN(8) {
				case 0:
					agent.down = !agent.down
				case 1:
					agent.incarnation, agent.sequence = agent.incarnation+1, 0
				case 2:
					planner.RemoveMachine(agent.name)
					agent.holds, agent.incarnation, agent.sequence, agent.orderedSets, agent.term, agent.orderNumber = map[uint32]bool{}, agent.incarnation+1, 0, nil, 0, 0
				case 3:
					cluster.storeDown = !cluster.storeDown
				case 4:
					demands = nil
					for range rng.IntN(12) {
						demands = append(demands, Demand{cluster.names[rng.IntN(6)], inventory, rng.IntN(8)})
					}
				}
			} else {
				cluster.storeDown = false
				for _, agent := range cluster.agents {
					agent.down = false
				}
			}
			cluster.step(planner, demands)
			outgoing, incoming, fromStore := 0, 0, 0
			for _, agent := range planner.agents {
				size := 0
				for _, desired := range agent.desired {
					size += len(desired.transfers)
					for _, transfer := range desired.transfers {
						if transfer.sources[0].Store {
							fromStore++
						}
					}
				}
				if agent.incoming != size || agent.outgoing < 0 || agent.incoming > 2 {
					t.Fatalf("seed %d: %s counts %d in for %d, %d out", seed, agent.name, agent.incoming, size, agent.outgoing)
				}
				outgoing, incoming = outgoing+agent.outgoing, incoming+agent.incoming
			}
			if fromStore != planner.storeTransfers || outgoing > incoming {
				t.Fatalf("seed %d: %d from the store, counted %d", seed, fromStore, planner.storeTransfers)
			}
		}
		if !cluster.confirmed(planner, demands) {
			t.Fatalf("seed %d: not all of %v is there", seed, demands)
		}
	}
}
