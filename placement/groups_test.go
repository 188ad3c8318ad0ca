package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func tasks(from, to int) (out []int32) {
	for t := from; t < to; t++ {
		out = append(out, int32(t))
	}
	return out
}

func TestGroupsByHoldersFewestFirst(t *testing.T) {
	holders := [][]int32{{1, 2}, {0}, {1, 2}, nil, {0, 1, 2}}
	got := Groups(tasks(0, 5), func(t int32) []int32 { return holders[t] })
	want := []Group{{[]int32{3}, nil}, {[]int32{1}, []int32{0}}, {[]int32{0, 2}, []int32{1, 2}}, {[]int32{4}, []int32{0, 1, 2}}}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%v", got)
	}
}

type flatCost struct{ slots int }

func (f flatCost) Slots(int, int) int { return f.slots }
func (f flatCost) Least(int) int      { return f.slots }
func (f flatCost) Rate(int) float64   { return math.Inf(1) }
func (f flatCost) Took(int, int, int) {}

// slowLinkCost has links that bring one task's inputs a slot.
type slowLinkCost struct{ flatCost }

func (slowLinkCost) Rate(int) float64 { return 1 }

// Tasks whose inputs nobody holds are one group, but each needs its own: found when two
// tasks were packed on one idle machine, one after the other over its link, while others
// stood idle.
func TestTasksThatNeedCopiesSpreadOverMachines(t *testing.T) {
	servers := make([]Server, 4)
	for i := range servers {
		servers[i] = Server{Mu: 4, Free: 4}
	}
	for _, s := range FillGroups(servers, []Group{{Tasks: tasks(0, 4)}}, slowLinkCost{flatCost{1}}, 64) {
		if len(s.Tasks) != 1 {
			t.Fatalf("%d tasks wait for one link", len(s.Tasks))
		}
	}
}

// A machine without the inputs takes part once its holders are busy for longer than the
// copying takes, and not before.
func TestMachineWithoutInputsIsUsedOnlyIfCopyingIsSooner(t *testing.T) {
	for _, c := range []struct{ copy, away int }{{100, 0}, {2, 8}} {
		servers := []Server{{Busy: 10, Mu: 1}, {Busy: 0, Mu: 1}}
		groups := []Group{{tasks(0, 10), []int32{0}}}
		away := 0
		for _, s := range FillGroups(servers, groups, flatCost{c.copy}, 64) {
			if s.Server == 1 {
				away += len(s.Tasks)
			}
		}
		if (away > 0) != (c.away > 0) || away < c.away {
			t.Errorf("copying for %d slots: %d tasks away", c.copy, away)
		}
		if c.away > 0 && servers[1].Busy != away {
			t.Errorf("the machine that copies is busy for %d slots with %d tasks", servers[1].Busy, away)
		}
	}
}

// However a job is cut into groups, each task goes to exactly one server, and, without
// copies, to a holder.
func TestEveryTaskIsPlacedOnceAndOnAHolder(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	for range 300 {
		servers := make([]Server, 1+rng.IntN(30))
		for i := range servers {
			servers[i] = Server{Busy: rng.IntN(20), Mu: 0.2 + rng.Float64()*3, Free: rng.IntN(3)}
		}
		n := rng.IntN(200)
		holders := make([][]int32, n)
		for k := range holders {
			for i := range servers {
				if rng.IntN(4) == 0 {
					holders[k] = append(holders[k], int32(i))
				}
			}
		}
		groups := Groups(tasks(0, n), func(t int32) []int32 { return holders[t] })
		var inputCost InputCost
		if rng.IntN(2) == 0 {
			inputCost = flatCost{rng.IntN(10)}
		}
		seen := map[int32]bool{}
		for _, s := range FillGroups(servers, groups, inputCost, rng.IntN(6)) {
			for _, k := range s.Tasks {
				if seen[k] {
					t.Fatalf("task %d twice", k)
				}
				seen[k] = true
				if inputCost == nil && !slices.Contains(holders[k], int32(s.Server)) {
					t.Fatalf("task %d is away from its inputs", k)
				}
			}
		}
		for k := range holders {
			if !seen[int32(k)] && (inputCost != nil || len(holders[k]) > 0) {
				t.Fatalf("task %d is lost", k)
			}
		}
	}
}

// network is a graph with room on its edges; flows are pushed along shortest paths.
type network struct {
	edges [][]edge
}

type edge struct{ to, back, capacity int }

func (n *network) addEdge(from, to, concurrent int) {
	n.edges[from] = append(n.edges[from], edge{to, len(n.edges[to]), concurrent})
	n.edges[to] = append(n.edges[to], edge{from, len(n.edges[from]) - 1, 0})
}

func (n *network) maxFlow(source, sink int) (sum int) {
	for {
		dist := make([]int, len(n.edges))
		dist[source] = 1
		for queue := []int{source}; len(queue) > 0; queue = queue[1:] {
			for _, e := range n.edges[queue[0]] {
				if e.capacity > 0 && dist[e.to] == 0 {
					dist[e.to] = dist[queue[0]] + 1
					queue = append(queue, e.to)
				}
			}
		}
		if dist[sink] == 0 {
			return sum
		}
		next := make([]int, len(n.edges))
		var push func(at, waterFilled int) int
		push = func(at, waterFilled int) int {
			if at == sink {
				return waterFilled
			}
			for ; next[at] < len(n.edges[at]); next[at]++ {
				e := &n.edges[at][next[at]]
				if e.capacity > 0 && dist[e.to] == dist[at]+1 {
					if got := push(e.to, min(waterFilled, e.capacity)); got > 0 {
						e.capacity -= got
						n.edges[e.to][e.back].capacity += got
						return got
					}
				}
			}
			return 0
		}
		for {
			got := push(source, math.MaxInt)
			if got == 0 {
				break
			}
			sum += got
		}
	}
}

// optimalLevel is the least level at which a job's groups flow to their holders, within
// (level-b)*mu tasks each, and the tasks of each server. Two groups may share a slot, which
// the paper's program (4) does not let them, so this is its exact optimum or below.
func optimalLevel(servers []Server, groups []Group) (int, []int) {
	all := 0
	low, high := 0, 0
	for _, g := range groups {
		all += len(g.Tasks)
		var own []Server
		for _, i := range g.Holders {
			own = append(own, servers[i])
		}
		x, _ := Level(own, len(g.Tasks)) // (6)
		low = max(low, x)
	}
	for _, s := range servers {
		high = max(high, s.Busy+ceil(float64(all)/s.Mu))
	}
	try := func(level int) ([]int, bool) {
		source, sink := len(groups)+len(servers), len(groups)+len(servers)+1
		n := network{make([][]edge, sink+1)}
		for g := range groups {
			n.addEdge(source, g, len(groups[g].Tasks))
			for _, h := range groups[g].Holders {
				n.addEdge(g, len(groups)+int(h), all)
			}
		}
		for i, s := range servers {
			n.addEdge(len(groups)+i, sink, int(float64(max(0, level-s.Busy))*s.Mu))
		}
		ok := n.maxFlow(source, sink) == all
		used := make([]int, len(servers))
		for i := range servers {
			es := n.edges[len(groups)+i]
			back := es[len(es)-1]
			used[i] = n.edges[sink][back.back].capacity
		}
		return used, ok
	}
	for low < high {
		if _, ok := try((low + high) / 2); ok {
			high = (low + high) / 2
		} else {
			low = (low+high)/2 + 1
		}
	}
	used, _ := try(low)
	return low, used
}

// paperJob is a job of the paper's experiment (section V): when it arrives, in slots, and
// its groups.
type paperJob struct {
	at     float64
	groups []Group
	mu     []float64
}

// paperJobs draws 250 jobs of about 113,000 tasks in 5.5 groups for 100 servers. The
// paper cuts them out of a published trace; here sizes are drawn with a long tail, as
// no trace is brought in. Alpha is the skew of the groups' first holder, load the share
// indices the servers that the jobs need on average.
func paperJobs(seed uint64, alpha, load float64, holders [2]int) []paperJob {
	const servers, jobs, total = 100, 250, 113_653
	rng := rand.New(rand.NewPCG(seed, 7))
	out := make([]paperJob, jobs)
	weight := make([][]float64, jobs)
	sum := 0.0
	for j := range out {
		n := 1
		for n < 25 && rng.Float64() > 1/5.52 {
			n++
		}
		for range n {
			w := math.Exp(rng.NormFloat64() * 1.4)
			weight[j] = append(weight[j], w)
			sum += w
		}
	}
	zipf := make([]float64, servers)
	norm := 0.0
	for i := range zipf {
		zipf[i] = math.Pow(float64(i+1), -alpha)
		norm += zipf[i]
	}
	span := total / (servers * 4 * load)
	at := 0.0
	for j := range out {
		at += rng.ExpFloat64() * span / jobs
		out[j].at = at
		for range servers {
			out[j].mu = append(out[j].mu, float64(3+rng.IntN(3)))
		}
		task := 0
		for _, w := range weight[j] {
			first, x := 0, rng.Float64()*norm
			for x > zipf[first] && first < servers-1 {
				x -= zipf[first]
				first++
			}
			var on []int32
			for i := range holders[0] + rng.IntN(holders[1]-holders[0]+1) {
				on = append(on, int32((first+i)%servers))
			}
			slices.Sort(on)
			n := max(1, int(math.Round(w/sum*total)))
			out[j].groups = append(out[j].groups, Group{tasks(task, task+n), on})
			task += n
		}
		slices.SortStableFunc(out[j].groups, func(a, b Group) int { return len(a.Holders) - len(b.Holders) })
	}
	return out
}

// simulateQueues runs the jobs through first-in-first-out queues. It gives the mean completion time
// in slots by water-filling, the mean of what the optimum would have reached at each
// arrival with the same backlog, and the time of a decision.
func simulateQueues(jobs []paperJob, optimum func(servers []Server, groups []Group) (int, []int)) (mean, best float64, each time.Duration) {
	busyUntil := make([]float64, 100)
	for _, j := range jobs {
		servers := make([]Server, len(busyUntil))
		for i := range servers {
			servers[i] = Server{Busy: int(math.Ceil(max(0, busyUntil[i]-j.at))), Mu: j.mu[i]}
		}
		before := slices.Clone(servers)
		began := time.Now()
		FillGroups(servers, j.groups, nil, len(j.groups))
		each += time.Since(began)
		done := 0
		for i, s := range servers {
			if s.Busy > before[i].Busy {
				done = max(done, s.Busy)
				busyUntil[i] = max(busyUntil[i], j.at+float64(s.Busy))
			}
		}
		mean += float64(done) / float64(len(jobs))
		if optimum != nil {
			level, _ := optimum(before, j.groups)
			best += float64(level) / float64(len(jobs))
		}
	}
	return mean, best, each / time.Duration(len(jobs))
}

// The paper's own experiment, against the exact optimum of each arrival: its Table I has
// water-filling 1 to 5% behind. Table: docs/data.md.
func TestPaperWithinThreePercent(t *testing.T) {
	for _, load := range []float64{0.25, 0.5, 0.75} {
		for _, alpha := range []float64{0, 1, 2} {
			wf, opt := 0.0, 0.0
			for seed := range uint64(3) {
				m, o, _ := simulateQueues(paperJobs(seed, alpha, load, [2]int{8, 12}), optimalLevel)
				wf, opt = wf+m, opt+o
			}
			t.Logf("load %.2f alpha %.0f: water-filling %.1f, optimum %.1f slots, %.4f", load, alpha, wf/3, opt/3, wf/opt)
			if wf > 1.03*opt || wf < opt {
				t.Errorf("load %.2f alpha %.0f: water-filling %.1f, optimum %.1f slots", load, alpha, wf/3, opt/3)
			}
		}
	}
}

// BenchmarkPaper is the same by the number of holders, as the paper's Table I has it (load
// 0.75, alpha 2): slots are the mean completion time, behind the part by which it is above
// the optimum.
func BenchmarkPaper(b *testing.B) {
	for _, p := range []int{4, 6, 8, 10, 12} {
		b.Run(fmt.Sprintf("holders=%d", p), func(b *testing.B) {
			jobs := paperJobs(1, 2, 0.75, [2]int{p, p})
			m, o, _ := simulateQueues(jobs, optimalLevel)
			var each time.Duration
			for b.Loop() {
				_, _, each = simulateQueues(jobs, nil)
			}
			b.ReportMetric(m, "slots")
			b.ReportMetric(m/o-1, "behind")
			b.ReportMetric(float64(each.Nanoseconds())/1000, "us/job")
		})
	}
}

// BenchmarkFleet is one decision at scale: 20 chunks a machine with three holders each,
// half of the machines busy, a job of 1,000 tasks in up to 64 groups by WF and the rest
// one by one.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{250, 500, 1000, 2000} {
		for _, kind := range []string{"groups=64", "scattered"} {
			b.Run(fmt.Sprintf("machines=%d/%s", n, kind), func(b *testing.B) {
				rng := rand.New(rand.NewPCG(5, uint64(n)))
				servers := make([]Server, n)
				for i := range servers {
					servers[i] = Server{Busy: rng.IntN(40), Mu: 0.1 + rng.Float64(), Free: rng.IntN(4)}
				}
				sets := make([][]int32, 64)
				if kind == "scattered" {
					sets = make([][]int32, 1000)
				}
				for i := range sets {
					sets[i] = []int32{int32(rng.IntN(n)), int32(rng.IntN(n)), int32(rng.IntN(n))}
					slices.Sort(sets[i])
					sets[i] = slices.Compact(sets[i])
				}
				all := tasks(0, 1000)
				for b.Loop() {
					s := slices.Clone(servers)
					groups := Groups(all, func(t int32) []int32 { return sets[int(t)%len(sets)] })
					FillGroups(s, groups, flatCost{12}, 64)
				}
			})
		}
	}
}
