package staging

import (
	"math/rand/v2"
	"testing"

	"switchferry/dataset"
	"switchferry/replicas"
)

var inventory = &dataset.Summary{Name: "inv", Bytes: 80, PartCount: 8, CommonPartBytes: 10}

var limits = Limits{LinkRate: 100, StoreRate: 100, TransfersPerLink: 2, StoreTransfers: 2, AllowPeers: true}

// Each part is copied from the store only once, however many machines demand it. The machines copy it
// from one another without exceeding the limit of concurrent transfers per link.
func TestEachPartIsCopiedFromTheStoreOnce(t *testing.T) {
	cluster := newFakeCluster(9)
	planner := New(5, limits, replicas.New())
	demands := demandAll(cluster, 0, 1, 2)
	for range 40 {
		cluster.step(planner, demands)
		for _, agent := range planner.agents {
			if agent.incoming > 2 || agent.outgoing > 2 || planner.counts.fromStore > 2 || agent.incoming < 0 || agent.outgoing < 0 {
				t.Fatalf("%s: %d incoming and %d outgoing transfers, and %d from the store; want 0 to 2 of each", agent.name, agent.incoming, agent.outgoing, planner.counts.fromStore)
			}
		}
	}
	fromStore := 0
	for _, agent := range cluster.agents {
		fromStore += agent.copiesFromStore
	}
	if !cluster.allConfirmed(planner, demands) || fromStore != 3 {
		t.Fatalf("all demands confirmed: %v; %d parts were copied from the store, want 3", cluster.allConfirmed(planner, demands), fromStore)
	}
}

// A source that fails, serves corrupt data or stops responding is replaced by another one, and every
// machine eventually has every part.
func TestFailedSourcesAreReplaced(t *testing.T) {
	for _, kind := range []string{"store", "corrupt", "silent"} {
		t.Run(kind, func(t *testing.T) {
			cluster := newFakeCluster(5)
			planner := New(5, limits, replicas.New())
			cluster.agents["n-0"].holds[0] = true
			cluster.agents["n-0"].servesCorruptData = kind == "corrupt"
			cluster.storeDown = kind == "store"
			for round := range 60 {
				if kind == "silent" && round == 3 {
					cluster.agents["n-0"].down = true
				}
				if round == 20 {
					cluster.storeDown = false
				}
				cluster.step(planner, demandAll(cluster, 0, 1)[1:])
			}
			for _, name := range cluster.names[1:] {
				if !planner.Confirmed(name, inventory, 0) || !planner.Confirmed(name, inventory, 1) {
					t.Errorf("%s: part 0 or part 1 is not confirmed", name)
				}
			}
			if kind == "corrupt" && cluster.agents["n-1"].copiesFromPeers+cluster.agents["n-2"].copiesFromPeers == 0 && cluster.agents["n-3"].copiesFromPeers+cluster.agents["n-4"].copiesFromPeers == 0 {
				t.Error("no part was copied from a peer with correct data")
			}
		})
	}
}

// A part is confirmed only once the agent acknowledged an order of this term since which the part has
// been requested without interruption. A part that was absent from an order in between may have been
// evicted, whatever an earlier heartbeat reported.
func TestConfirmationNeedsUninterruptedOrderOfThisTerm(t *testing.T) {
	cluster := newFakeCluster(1)
	planner := New(5, limits, replicas.New())
	demands := []Demand{{"n-0", inventory, 1}}
	for range 5 {
		cluster.step(planner, demands)
	}
	if !planner.Confirmed("n-0", inventory, 1) {
		t.Fatal("not confirmed")
	}
	oldHeartbeat := cluster.agents["n-0"].heartbeat()
	planner.Plan(nil, cluster.now)
	if planner.Confirmed("n-0", inventory, 1) {
		t.Fatal("confirmed although the part may be evicted")
	}
	planner.Plan(demands, cluster.now)
	oldHeartbeat.Seq += 5
	planner.ApplyHeartbeat(oldHeartbeat, cluster.now)
	if planner.Confirmed("n-0", inventory, 1) {
		t.Fatal("confirmed by a heartbeat that acknowledges an order from before the interruption")
	}
	cluster.agents["n-0"].sequence += 9
	for range 3 {
		cluster.step(planner, demands)
	}
	if !planner.Confirmed("n-0", inventory, 1) {
		t.Fatal("not confirmed again")
	}
	// The next leader confirms a part only after the agent acknowledged that leader's own order.
	nextPlanner := New(6, limits, replicas.New())
	nextPlanner.ApplyHeartbeat(cluster.agents["n-0"].heartbeat(), cluster.now)
	nextPlanner.Plan(demands, cluster.now)
	nextPlanner.ApplyHeartbeat(cluster.agents["n-0"].heartbeat(), cluster.now)
	if nextPlanner.Confirmed("n-0", inventory, 1) {
		t.Fatal("confirmed by an acknowledgement of a previous leader's order")
	}
	for range 3 {
		cluster.step(nextPlanner, demands)
	}
	oldOrder, _, _ := planner.Order("n-0")
	if !nextPlanner.Confirmed("n-0", inventory, 1) || cluster.agents["n-0"].apply(oldOrder) {
		t.Fatal("not confirmed under the new leader's order, or an old order was applied")
	}
}

// If a cache cannot hold all demanded parts, the most urgent ones are copied to it.
func TestMostUrgentDemandsGetCacheSpace(t *testing.T) {
	cluster := newFakeCluster(1)
	cluster.agents["n-0"].quota = 35
	planner := New(5, limits, replicas.New())
	for range 20 {
		cluster.step(planner, demandAll(cluster, 4, 5, 6, 7))
	}
	if got := len(cluster.agents["n-0"].holds); got != 3 || cluster.agents["n-0"].holds[7] {
		t.Fatalf("n-0 holds the parts %v, want 4, 5 and 6", cluster.agents["n-0"].holds)
	}
}

// While agents fail, restart and are replaced and the store fails, the counts of transfers per link stay
// correct. Once the faults end, every demanded part is confirmed.
func TestTransferCountsStayCorrectUnderRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 3))
		cluster := newFakeCluster(6)
		planner := New(5, limits, replicas.New())
		var demands []Demand
		for round := range 200 {
			if round < 150 {
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
				transferCount := 0
				for _, desired := range agent.desired {
					transferCount += len(desired.transfers)
					for _, transfer := range desired.transfers {
						if transfer.sources[0].Store {
							fromStore++
						}
					}
				}
				if agent.incoming != transferCount || agent.outgoing < 0 || agent.incoming > 2 {
					t.Fatalf("seed %d: %s has a count of %d incoming transfers, want %d and at most 2, and of %d outgoing ones", seed, agent.name, agent.incoming, transferCount, agent.outgoing)
				}
				outgoing, incoming = outgoing+agent.outgoing, incoming+agent.incoming
			}
			if fromStore != planner.counts.fromStore || outgoing > incoming {
				t.Fatalf("seed %d: %d transfers from the store, but the count is %d; or more outgoing than incoming transfers", seed, fromStore, planner.counts.fromStore)
			}
		}
		if !cluster.allConfirmed(planner, demands) {
			t.Fatalf("seed %d: not all demands are confirmed: %v", seed, demands)
		}
	}
}
