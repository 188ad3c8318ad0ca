package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/features"
)

// scatteredReplicas returns a leader with the given number of machines, a dataset with ten times as many parts and three
// holders for each part, and a job of 1,000 tasks. With kind "groups" the parts of the tasks are held by 64 triples of
// machines, with kind "scattered" each part is held by a random triple.
func scatteredReplicas(t *testing.T, machines int, kind string) (*dataHarness, *jobState) {
	rng := rand.New(rand.NewPCG(11, uint64(machines)))
	parts := 10 * machines
	set := &dataset.Summary{Name: "chunks", Bytes: int64(parts) * 64e6, PartCount: parts, CommonPartBytes: 64e6}
	h := &dataHarness{harness: newHarness(t), placement: features.PlacementStaged, agents: map[string]*fakeAgent{}}
	h.enable()
	h.AddDatasets(&dataset.Entry{Summary: *set})
	heldParts := make([]*roaring.Bitmap, machines)
	for i := range heldParts {
		heldParts[i] = roaring.New()
	}
	triples := make([][3]int, 64)
	for i := range triples {
		triples[i] = [3]int{rng.IntN(machines), rng.IntN(machines), rng.IntN(machines)}
	}
	for part := range parts {
		triple := [3]int{rng.IntN(machines), rng.IntN(machines), rng.IntN(machines)}
		if kind == "groups" && part < 1000 {
			triple = triples[part%64]
		}
		for _, m := range triple {
			heldParts[m].Add(uint32(part))
		}
	}
	for i := range machines {
		name := fmt.Sprintf("a%06d", i)
		h.heartbeat(name, 1)
		h.HandleStageHeartbeat(&api.StageHeartbeat{Machine: name, Address: name + ":2", Incarnation: 1, Seq: 1, Quota: 900e9, HoldingsComplete: true,
			Holdings: []api.StageHolding{{Dataset: "chunks", PartCount: parts, Parts: api.PartSet{Bitmap: heldParts[i]}}}})
	}
	h.Submit(cancelledContext(), &api.Submission{ID: "run-000001", Class: "c", Team: "right", Shape: api.JobArray, Rank: "normal", Tasks: 1000,
		CPUs: 4, MemoryGB: 8, Image: "img", ImageGB: 1, Spot: true, EstimateS: 30, Inputs: []api.Input{{Dataset: "chunks", Use: api.UseOwnPart}}}, h.clock.Now())
	h.commit()
	job := h.jobs["run-000001"]
	if job == nil || len(job.pending) != 1000 {
		t.Fatal("the job was not accepted with 1,000 pending tasks")
	}
	h.datasets.snapshot = h.datasets.index.Snapshot()
	return h, job
}

// BenchmarkDataFill measures the whole placement of a job of 1,000 tasks with inputs: busy times, holders, groups,
// water-filling and queues. docs/data.md has a table of the results, which was produced with
//
//	go test -bench DataFill -run '^$' -cpu 1 ./scheduler
func BenchmarkDataFill(b *testing.B) {
	for _, kind := range []string{"groups", "scattered"} {
		for _, machines := range []int{250, 500, 1000, 2000} {
			b.Run(fmt.Sprintf("%s/machines=%d", kind, machines), func(b *testing.B) {
				h, job := scatteredReplicas(&testing.T{}, machines, kind)
				for b.Loop() {
					h.roundTime = h.clock.Now()
					h.placeByLocality(job)
					b.StopTimer()
					if len(job.pending) > 0 {
						b.Fatalf("%d tasks left", len(job.pending))
					}
					for _, machine := range h.machines {
						machine.queues = nil
					}
					job.queued = 0
					for t := range job.taskCount {
						job.pending = append(job.pending, int32(t))
					}
					b.StartTimer()
				}
			})
		}
	}
}

// BenchmarkStage measures planStaging when the copies of the job are already planned and nothing has changed.
func BenchmarkStage(b *testing.B) {
	for _, machines := range []int{250, 1000, 2000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			h, job := scatteredReplicas(&testing.T{}, machines, "scattered")
			h.sendStageOrder = func(string, api.StageOrder) {}
			h.roundTime = h.clock.Now()
			h.placeByLocality(job)
			h.planStaging()
			for b.Loop() {
				h.planStaging()
			}
		})
	}
}
