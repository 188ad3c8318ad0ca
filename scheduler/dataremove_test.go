package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/features"
	"switchferry/store"
)

// state is that of a dataset on record.
func (s *dataStage) recorded(name string) string {
	s.Helper()
	var x dataset.Entry
	if err := json.Unmarshal(s.state.Get(store.DatasetKey(name)), &x); err != nil {
		s.Fatal(err)
	}
	return x.State
}

// listed puts inv on record, as registered.
func (s *dataStage) listed() *dataset.Entry {
	x := &dataset.Entry{Summary: *inv}
	x.Stamp = s.state.Put(store.DatasetKey("inv"), x)
	s.AddDatasets(x)
	return x
}

// unlist takes inv off the list, as any controller does; the leader hears of it by its
// watch, now or later.
func (s *dataStage) unlist(told bool) *dataset.Entry {
	x := &dataset.Entry{Summary: *inv, State: dataset.Removing}
	x.Stamp = s.state.Put(store.DatasetKey("inv"), x)
	if told {
		s.AddDatasets(x)
	}
	return x
}

// A dataset is removed only when nothing needs it: what waits, is copied or runs goes on
// as ever, and then the machines let its bytes go, those that come back later as well.
func TestRemovedWithoutHarm(t *testing.T) {
	s := newDataStage(t, features.Staged)
	s.listed()
	a := s.up("a1", 0, 5)
	s.submit("run-000001", 2, withInputs(api.UseOwn))
	s.round()
	s.round()
	st := s.starts("run-000001/0")[0].o.Commands[0]
	s.unlist(true)
	s.InboxSeen(1 << 40)
	s.MaintainFleet()
	s.commit()
	if got := a.copies(); s.recorded("inv") != dataset.Removing || len(got) != 1 || got[0] != 1 {
		t.Fatalf("state %q, copies %v: the job that needs it must go on", s.recorded("inv"), got)
	}
	a.copied()
	s.alive("a1", task("run-000001/0", st.Attempt, api.TaskRunning, ""))
	s.round()
	s.round()
	second := s.jobs["run-000001"].allocations[1]
	if second == nil {
		t.Fatal("not started though its inputs are there")
	}
	end := func(k int, at uint64) api.TaskReport {
		return task(taskKey("run-000001", k), at, api.TaskExited, api.CauseDone)
	}
	s.alive("a1", end(0, st.Attempt), end(1, second.attempt))
	s.round()
	if len(a.drop) != 0 {
		t.Fatal("let go before it is on record as removed")
	}
	for range 3 {
		s.MaintainFleet()
		s.commit()
		s.round()
	}
	if s.recorded("inv") != dataset.Removed || len(a.drop) != 1 || a.drop[0] != inv.Manifest.String() {
		t.Fatalf("state %q, agents let go %v", s.recorded("inv"), a.drop)
	}
	a.has.Clear()
	s.round()
	s.round()
	b := s.up("b1", 3)
	s.round()
	if len(a.drop) != 0 || len(b.drop) != 1 {
		t.Errorf("a1 is to let go %v, b1 that came back %v", a.drop, b.drop)
	}
}

// Nothing is removed before all is known that siblings accepted until it was taken off the
// list: such a job stands on record, though the leader has not seen it.
func TestRemovalWaitsForWhatSiblingsAccepted(t *testing.T) {
	s := newDataStage(t, features.Staged)
	s.listed()
	rec := store.JobRecord{Job: api.Submission{ID: "run-000007", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img",
		Inputs: []api.Input{{Dataset: "inv", Use: api.UseOwn}}}, At: s.clock.Now().UnixMilli()}
	at := s.state.Put(store.JobKey("run-000007"), rec)
	x := s.unlist(true)
	for range 3 {
		s.InboxSeen(at)
		s.MaintainFleet()
		s.commit()
	}
	if s.recorded("inv") != dataset.Removing {
		t.Fatal("removed under a job that is on record")
	}
	it, err := s.client().Get(context.Background(), store.JobKey("run-000007"))
	if err != nil {
		t.Fatal(err)
	}
	s.Conflict(it.Key, &it)
	s.InboxSeen(x.Stamp)
	s.MaintainFleet()
	s.commit()
	if s.recorded("inv") != dataset.Removing || s.JobsUsing("inv") != 1 {
		t.Fatal("removed under a job that a sibling accepted")
	}
	s.Cancel(gaveUp(), "run-000007")
	for range 3 {
		s.commit()
		s.MaintainFleet()
		s.commit()
	}
	if s.recorded("inv") != dataset.Removed {
		t.Error("not removed though nothing needs it")
	}
}

func (s *stage) client() *store.Client { return store.NewClient("state:1", s.state) }

// Jobs with many inputs are stored in transactions that keep the limit of conditions.
func TestManyInputsKeepTheLimitOfConditions(t *testing.T) {
	s := newDataStage(t, features.Staged)
	var in []api.Input
	for i := range 16 {
		x := &dataset.Entry{Summary: *inv}
		x.Name = fmt.Sprintf("set-%02d", i)
		x.Stamp = s.state.Put(store.DatasetKey(x.Name), x)
		s.AddDatasets(x)
		in = append(in, api.Input{Dataset: x.Name, Use: api.UseOwn})
	}
	for i := range 20 {
		sub := api.Submission{ID: fmt.Sprintf("run-%06d", i), Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", Inputs: in}
		s.Submit(gaveUp(), &sub, s.clock.Now())
	}
	s.commit()
	for i := range 20 {
		if !s.HasJob(fmt.Sprintf("run-%06d", i)) {
			t.Fatalf("job %d is not accepted", i)
		}
	}
	if len(s.state.Refused) > 0 {
		t.Error(s.state.Refused)
	}
}

// A job that races with the removal of its dataset is on one side of it: it is accepted
// and the dataset stays, or it is refused with the reason. It does not matter whether the
// controller that takes it has heard of the removal.
func TestSubmissionRacesWithRemoval(t *testing.T) {
	for _, told := range []bool{false, true} {
		s := newDataStage(t, features.Staged)
		s.listed()
		sub := api.Submission{ID: "run-000001", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img",
			Inputs: []api.Input{{Dataset: "inv", Use: api.UseOwn}}}
		s.Submit(gaveUp(), &sub, s.clock.Now())
		s.unlist(told)
		s.commit()
		if s.state.Get(store.JobKey("run-000001")) != nil || s.HasJob("run-000001") || s.jobs["run-000001"] != nil {
			t.Errorf("told %v: accepted after its dataset was taken off the list", told)
		}
		s.InboxSeen(1 << 40)
		for range 2 {
			s.MaintainFleet()
			s.commit()
		}
		if s.recorded("inv") != dataset.Removed {
			t.Errorf("told %v: %q", told, s.recorded("inv"))
		}
	}
}
