package scheduler

import (
	"context"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/settings"
	"switchferry/store"
)

// runVersion1Term runs a scripted term with jobs of several shapes that run, are done, are cancelled, or are accepted
// by a peer. testdata/version1.json holds the records that controllers of the first version wrote in the same term,
// before they supported any other version.
func runVersion1Term(t *testing.T) *harness {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 9, 21, 14, 0, 0, 0, time.UTC))
	h := (&harness{T: t, clock: clock, state: fake.NewState(clock), seq: map[string]uint64{}}).elect()
	for _, name := range []string{"a1", "a2", "b1"} {
		h.heartbeat(name, 1)
	}
	h.submit("run-000001", 450, func(x *api.Submission) { x.CPUs, x.MemoryGB, x.Rank = 0.5, 1, "low" })
	h.submit("run-000002", 2, func(x *api.Submission) { x.Shape, x.Rank, x.CPUs = api.Service, "prod", 1; x.Spread = true })
	h.submit("run-000003", 1, func(x *api.Submission) { x.CPUs, x.DeadlineS, x.Types = 0.1, 90, []string{"m8"} })
	h.submit("run-000004", 1, nil)
	for range 2 {
		h.Place()
		h.commit()
	}
	for _, name := range []string{"a1", "a2", "b1"} {
		var reports []api.TaskReport
		for key, alloc := range h.machines[name].allocations {
			if strings.HasPrefix(key, "run-000003/") || key == "run-000001/0" {
				reports = append(reports, taskReport(key, alloc.attempt, api.TaskExited, api.CauseDone))
			} else {
				reports = append(reports, taskReport(key, alloc.attempt, api.TaskRunning, ""))
			}
		}
		h.heartbeat(name, 1, reports...)
	}
	h.commit()
	h.Cancel(cancelledContext(), "run-000004")
	h.commit()
	h.imagesChanged = true
	h.storeImageHints(h.clock.Now().Add(time.Hour))
	h.commit()
	h.state.Put(store.InboxKey("run-000009"), store.InboxRecord{})
	h.state.Put(store.InboxKey("run-000008"), store.InboxRecord{Cancel: true})
	return h
}

// The records that this version writes before UseCurrentFormat are byte for byte those of the first version. Setting
// WRITE_VERSION1 rewrites the file of expected records.
func TestRecordsMatchVersionOne(t *testing.T) {
	h := runVersion1Term(t)
	items, _, err := store.NewClient("state:1", h.state).List(context.Background(), "sf/")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.MarshalIndent(items, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join("testdata", "version1.json")
	if os.Getenv("WRITE_VERSION1") != "" {
		if err := os.WriteFile(file, append(raw, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	// As long as a process of the first version may come back, the records must be identical byte for byte.
	if string(raw)+"\n" != string(want) {
		t.Errorf("the records differ from those of the first version:\n%s", raw)
	}
}

// A leader of this version continues from the records of the first version. Once no process of the first version can
// come back, it rewrites them in its own shard size with the same allocations and completions.
func TestVersionOneRecordsAreReadAndResharded(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "version1.json"))
	var items []store.Item
	if err == nil {
		err = json.Unmarshal(raw, &items)
	}
	if err != nil {
		t.Fatal(err)
	}
	h := newHarness(t)
	for _, item := range items {
		h.state.Put(item.Key, item.Value)
	}
	h.elect()
	allocatedMachines := func() map[string]string {
		machines := map[string]string{}
		for _, job := range h.jobs {
			for _, alloc := range job.allocations {
				machines[alloc.key] = alloc.machine.Name
			}
		}
		return machines
	}
	before, done := allocatedMachines(), h.jobs["run-000001"].completedCount
	if len(before) != 37 || done != 1 || len(h.jobs) != 3 {
		t.Fatalf("%d allocations, %d tasks done, %d jobs, want 37, 1 and 3", len(before), done, len(h.jobs))
	}
	h.limits.Announced = settings.AnnouncedStateLimits{ValueKB: 2, TxnOps: 4}
	h.elect()
	h.UseCurrentFormat()
	h.commit()
	for _, key := range []string{"sf/t/run-000001/0", "sf/t/run-000001/1", "sf/t/run-000002/0"} {
		if h.state.Get(key) != nil {
			t.Error("a record of the first version was not deleted:", key)
		}
	}
	h.elect()
	if got := allocatedMachines(); !maps.Equal(got, before) || h.jobs["run-000001"].completedCount != done {
		t.Errorf("%d allocations restored, want the same %d; %d tasks done, want %d", len(got), len(before), h.jobs["run-000001"].completedCount, done)
	}
}
