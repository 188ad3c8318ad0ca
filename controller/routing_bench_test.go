package controller

import (
	"context"
	"testing"

	"switchferry/peer"
	"switchferry/policy"
)

// BenchmarkStatusRequest measures a status request to the leader for a job in memory.
func BenchmarkStatusRequest(b *testing.B) {
	leader := newLeader(&testing.T{})
	job := smallJob("run-000001")
	job.Tasks = 40
	leader.submit(job)
	controller := New(context.Background(), testSettings(), policy.Default(), leader.clock, leader.state)
	controller.term.begin(&leaderTerm{controller: controller, scheduler: leader.Scheduler})
	request := peer.Request{Verb: VerbStatus, Job: "run-000001"}
	b.ReportAllocs()
	for b.Loop() {
		if response := controller.Handle(context.Background(), request, false); response.Status != 200 {
			b.Fatal(response.Status)
		}
	}
}
