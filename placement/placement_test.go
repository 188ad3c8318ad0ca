package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// With b = 0, 2, 5 and mu = 2, 1, 4, the servers finish 6+1+0 = 7 tasks by level 3, and 8+2+0 = 10 by level 4.
func TestFillMatchesWorkedExample(t *testing.T) {
	servers := []Server{{Mu: 2}, {Busy: 2, Mu: 1}, {Busy: 5, Mu: 4}}
	if level, ok := Level(servers, 10); !ok || level != 4 {
		t.Fatalf("level %d, want 4", level)
	}
	if got := Fill(servers, 10); !slices.Equal(got, []int{8, 2, 0}) {
		t.Errorf("shares %v, want 8, 2, 0", got)
	}
	// Busy becomes max(b, level).
	if servers[0].Busy != 4 || servers[1].Busy != 4 || servers[2].Busy != 5 {
		t.Errorf("busy until %+v, want 4, 4, 5", servers)
	}
	// Nine tasks need level 4 as well; the last server below it gets only the rest.
	if got := Fill([]Server{{Mu: 2}, {Busy: 2, Mu: 1}, {Busy: 5, Mu: 4}}, 9); !slices.Equal(got, []int{8, 1, 0}) {
		t.Errorf("shares %v, want 8, 1, 0", got)
	}
}

// Ten tasks that last 12 slots are assigned to three idle machines that run four tasks at once, not to ten machines
// with one task each, since a machine with one small task may lack the resources for a large one. A machine above the
// level gets none.
func TestFillStartsAsManyTasksAsFitOnOneMachine(t *testing.T) {
	var servers []Server
	for range 12 {
		servers = append(servers, Server{Mu: 4.0 / 12, FreeCapacity: 4})
	}
	servers[0] = Server{Busy: 9, Mu: 4.0 / 12, FreeCapacity: 4}
	if got := Fill(servers, 10); !slices.Equal(got[:4], []int{0, 4, 4, 2}) {
		t.Errorf("shares %v, want 0, 4, 4, 2 and no more", got)
	}
}

func TestBusyRoundsUpPerJob(t *testing.T) {
	if b := Busy([]QueuedJob{{3, 2}, {1, 4}, {0, 1}, {4, 0.5}}); b != 2+1+8 {
		t.Errorf("busy for %d slots, want 11", b)
	}
}

func TestFillWithoutCapacityPlacesNothing(t *testing.T) {
	if Fill([]Server{{}}, 3) != nil || Fill(nil, 1) != nil {
		t.Error("shares without a server that takes tasks")
	}
}

// Level agrees with a linear search over the levels. The shares of Fill add up to the number of tasks, and no server
// above the level gets tasks.
func TestLevelAndFillAgreeWithLinearSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		var servers []Server
		for range 1 + rng.IntN(8) {
			servers = append(servers, Server{Busy: rng.IntN(20), Mu: float64(rng.IntN(9)) / 4})
		}
		tasks := 1 + rng.IntN(60)
		want := -1
		for level := 0; level < 2000 && want < 0; level++ {
			sum := 0.0
			for _, server := range servers {
				sum += float64(max(level-server.Busy, 0)) * server.Mu
			}
			if sum >= float64(tasks) {
				want = level
			}
		}
		got, ok := Level(servers, tasks)
		if ok != (want >= 0) || ok && got != want {
			t.Fatalf("%v, %d tasks: level %d, want %d", servers, tasks, got, want)
		}
		if !ok {
			continue
		}
		before := slices.Clone(servers)
		sum := 0
		for i, n := range Fill(servers, tasks) {
			sum += n
			if n > 0 && before[i].Busy >= got {
				t.Fatalf("%v: server %d above the level got %d", before, i, n)
			}
			if float64(n) > float64(got-before[i].Busy)*before[i].Mu+1 && n > 0 {
				t.Fatalf("%v, %d tasks: server %d got %d", before, tasks, i, n)
			}
		}
		if sum != tasks {
			t.Fatalf("%d of %d tasks placed", sum, tasks)
		}
	}
}

// The bounds between which Level searches must not exclude the least level that covers the tasks.
func TestLevelIsLeastThatCoversTasks(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 8))
	for range 3000 {
		servers := make([]Server, 1+rng.IntN(20))
		for i := range servers {
			servers[i] = Server{Busy: rng.IntN(60), Mu: rng.Float64() * 3}
			if rng.IntN(5) == 0 {
				servers[i].Mu = float64(rng.IntN(4))
			}
		}
		n := 1 + rng.IntN(200)
		level, ok := Level(servers, n)
		if !ok {
			if coveredTasks(servers, 1<<20) > 0 {
				t.Fatalf("no level for %v", servers)
			}
			continue
		}
		if coveredTasks(servers, level) < float64(n)-1e-6 || coveredTasks(servers, level-1) >= float64(n)-epsilon {
			t.Fatalf("level %d for %d tasks on %v", level, n, servers)
		}
	}
}
