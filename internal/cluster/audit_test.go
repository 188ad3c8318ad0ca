package cluster

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/settings"
)

// history is an audit of three jobs of team t, which has a limit of three CPUs, and a fourth job that depends on the
// first. The times of requests are given in seconds since start. A cancellation must take effect within 1 ms.
type history struct {
	*Audit
	start time.Time
}

func newHistory() *history {
	h := &history{NewAudit([]settings.Team{{Name: "t", CPUsMax: 3}}, settings.Workers{CancelDeadlineS: 0.001}), time.Now().Add(-time.Hour)}
	for _, id := range []string{"run-000001", "run-000002", "run-000003"} {
		h.Submit(api.Submission{ID: id, Team: "t", Tasks: 2, CPUs: 1})
	}
	h.Submit(api.Submission{ID: "run-000004", Team: "t", Tasks: 1, CPUs: 1, Awaits: []string{"run-000001"}})
	return h
}

// recordRequest records a request that is sent and answered at the given seconds.
func (h *history) recordRequest(kind RequestKind, id string, sent, answered, status int, state string) {
	at := func(second int) time.Time { return h.start.Add(time.Duration(second) * time.Second) }
	h.CheckAnswer(JobRequest{JobID: id, Kind: kind, SentAt: at(sent), AnsweredAt: at(answered), Status: status, State: state})
}

// recordAcceptance records the acceptance of a job at second 1.
func (h *history) recordAcceptance(id string) {
	h.recordRequest(SubmitRequest, id, 0, 1, http.StatusCreated, api.Pending)
}

// recordCompletion records that both tasks of the first job start and complete.
func (h *history) recordCompletion() {
	for _, task := range []string{"run-000001/0", "run-000001/1"} {
		h.Started(task, "m1", 1)
		h.Ended(task, "m1", true)
	}
}

func TestAuditReportsExactlyTheViolatedRules(t *testing.T) {
	const id = "run-000001"
	cases := []struct {
		name   string
		play   func(h *history)
		broken map[string]int
	}{
		{"done job", func(h *history) {
			h.recordCompletion()
			h.recordRequest(StatusRequest, id, 2, 3, 200, api.Done)
			h.recordRequest(SubmitRequest, id, 4, 5, 200, api.Done)
		}, nil},
		{"cancelled job", func(h *history) {
			h.CancelRequested(id)
			h.recordRequest(StatusRequest, id, 2, 3, 200, api.Cancelled)
			h.recordRequest(CancelRequest, id, 2, 4, 200, api.Cancelled)
		}, nil},
		{"older request answered after the terminal state", func(h *history) {
			h.recordCompletion()
			h.recordRequest(StatusRequest, id, 3, 4, 200, api.Done)
			h.recordRequest(StatusRequest, id, 2, 5, 200, api.Running)
		}, nil},
		{"later request answered with an older state", func(h *history) {
			h.recordCompletion()
			h.recordRequest(StatusRequest, id, 3, 4, 200, api.Done)
			h.recordRequest(StatusRequest, id, 5, 6, 200, api.Running)
		}, map[string]int{StateReverted: 1}},
		{"two different terminal states for overlapping requests", func(h *history) {
			h.recordCompletion()
			h.CancelRequested(id)
			h.recordRequest(CancelRequest, id, 2, 4, 200, api.Cancelled)
			h.recordRequest(StatusRequest, id, 3, 5, 200, api.Done)
		}, map[string]int{StateReverted: 1}},
		{"cancelled without a request", func(h *history) {
			h.recordRequest(StatusRequest, id, 2, 3, 200, api.Cancelled)
		}, map[string]int{StateReverted: 1}},
		{"cancelled after its dependency", func(h *history) {
			h.recordAcceptance("run-000004")
			h.CancelRequested(id)
			h.recordRequest(StatusRequest, "run-000004", 2, 3, 200, api.Cancelled)
		}, nil},
		{"not cancelled after its dependency", func(h *history) {
			h.recordAcceptance("run-000004")
			h.CancelRequested(id)
			h.recordRequest(CancelRequest, id, 2, 3, 200, api.Cancelled)
			h.recordRequest(StatusRequest, "run-000004", 4, 5, 200, api.Pending)
		}, map[string]int{NotCancelledWithDependency: 1}},
		{"accepted long after its dependency was cancelled", func(h *history) {
			h.CancelRequested(id)
			h.recordRequest(CancelRequest, id, 2, 3, 200, api.Cancelled)
			h.recordRequest(SubmitRequest, "run-000004", 4, 5, http.StatusCreated, api.Pending)
		}, nil},
		{"pending long after its acceptance with a cancelled dependency", func(h *history) {
			h.CancelRequested(id)
			h.recordRequest(CancelRequest, id, 2, 3, 200, api.Cancelled)
			h.recordRequest(SubmitRequest, "run-000004", 4, 5, http.StatusCreated, api.Pending)
			h.recordRequest(StatusRequest, "run-000004", 6, 7, 200, api.Pending)
		}, map[string]int{NotCancelledWithDependency: 1}},
		{"reported as done before its tasks", func(h *history) {
			h.recordRequest(StatusRequest, id, 2, 3, 200, api.Done)
		}, map[string]int{DoneBeforeTasks: 1}},
		{"unknown after it was accepted", func(h *history) {
			h.recordRequest(StatusRequest, id, 2, 3, 404, "")
		}, map[string]int{JobLost: 1}},
		{"refused after it was accepted", func(h *history) {
			h.recordRequest(SubmitRequest, id, 2, 3, 422, "")
		}, map[string]int{JobLost: 1}},
		{"unknown to a request sent before its acceptance", func(h *history) {
			h.recordRequest(StatusRequest, id, 0, 3, 404, "")
		}, nil},
		{"unanswered for a minute", func(h *history) {
			h.recordRequest(StatusRequest, id, 2, 3, 503, "")
			h.RecordUnanswered(id, time.Minute)
		}, map[string]int{JobLost: 1}},
		{"job that was never submitted", func(h *history) {
			h.recordRequest(StatusRequest, "run-999999", 2, 3, 404, "")
			h.recordRequest(StatusRequest, "run-999998", 2, 3, 200, api.Pending)
		}, map[string]int{UnknownJob: 1}},
		{"task on two machines", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.Started(id+"/0", "m2", 1)
		}, map[string]int{RanOnTwoMachines: 1}},
		{"task on one machine after another", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.Ended(id+"/0", "m1", false)
			h.Started(id+"/0", "m1", 1)
			h.Ended(id+"/0", "m1", false)
			h.Started(id+"/0", "m2", 1)
		}, nil},
		{"task on two machines, and on a third after the end on the second", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.Started(id+"/0", "m2", 1)
			h.Ended(id+"/0", "m2", false)
			h.Started(id+"/0", "m3", 1)
		}, map[string]int{RanOnTwoMachines: 2}},
		{"task on two machines, and on a third after the end on the first", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.Started(id+"/0", "m2", 1)
			h.Ended(id+"/0", "m1", false)
			h.Started(id+"/0", "m3", 1)
		}, map[string]int{RanOnTwoMachines: 2}},
		{"task on three machines", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.Started(id+"/0", "m2", 1)
			h.Started(id+"/0", "m3", 1)
		}, map[string]int{RanOnTwoMachines: 3}},
		{"team above its limit", func(h *history) {
			for _, task := range []string{id + "/0", id + "/1", "run-000002/0", "run-000002/1"} {
				h.Started(task, "m1", 1)
			}
		}, map[string]int{OverQuota: 1}},
		{"task running after its job was reported as cancelled", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.CancelRequested(id)
			h.recordRequest(CancelRequest, id, 2, 3, 200, api.Cancelled)
			h.CheckCancelledJobs()
		}, map[string]int{RanAfterCancel: 1}},
		{"task started after its job was reported as cancelled", func(h *history) {
			h.CancelRequested(id)
			h.recordRequest(CancelRequest, id, 2, 3, 200, api.Cancelled)
			h.Started(id+"/0", "m1", 1)
		}, map[string]int{RanAfterCancel: 1}},
		{"task started before a dependency is done", func(h *history) {
			h.recordAcceptance("run-000004")
			h.Started("run-000004/0", "m1", 1)
		}, map[string]int{StartedBeforeDependency: 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHistory()
			h.recordAcceptance(id)
			tc.play(h)
			if violations, why := h.Violations(); !maps.Equal(violations, tc.broken) {
				t.Errorf("violations %v, want %v: %v", violations, tc.broken, why)
			}
		})
	}
}

func TestAuditCountsRequestsAndAnswers(t *testing.T) {
	h := newHistory()
	h.recordAcceptance("run-000001")
	h.recordRequest(StatusRequest, "run-000001", 2, 3, 503, "")
	h.recordRequest(StatusRequest, "run-000001", 2, 4, 0, "")
	h.recordCompletion()
	h.recordRequest(StatusRequest, "run-000001", 5, 6, 200, api.Done)
	h.recordRequest(StatusRequest, "run-000001", 5, 7, 200, api.Running)
	want := AuditCounts{Requests: 5, Answers: 3, OutOfOrderAnswers: 1, TerminalJobs: 1, LeaderTerms: 1}
	if got := h.Counts(); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}
