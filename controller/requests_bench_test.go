package controller

import (
	"context"
	"testing"

	"switchferry/peer"
	"switchferry/policy"
)

// BenchmarkQuestion is a user's question at the leader, for a job in memory.
func BenchmarkQuestion(b *testing.B) {
	s := newLeader(&testing.T{})
	job := smallJob("run-000001")
	job.Tasks = 40
	s.submit(job)
	n := New(context.Background(), userSettings(), policy.Default(), s.clock, s.state)
	n.scheduler = s.Scheduler
	r := peer.Request{Verb: VerbStatus, Job: "run-000001"}
	b.ReportAllocs()
	for b.Loop() {
		if a := n.Handle(context.Background(), r, false); a.Status != 200 {
			b.Fatal(a.Status)
		}
	}
}
