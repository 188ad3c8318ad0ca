package cluster

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/settings"
)

// history is an audit of three jobs of team t, whose limit is three processors, with a clock of whole seconds for questions.
// A cancellation has to take effect at once.
type history struct {
	*Audit
	start time.Time
}

func newHistory() *history {
	h := &history{NewAudit([]settings.Team{{Name: "t", CPUsMax: 3}}, settings.Workers{CancelS: 0.001}), time.Now().Add(-time.Hour)}
	for _, id := range []string{"run-000001", "run-000002", "run-000003"} {
		h.Submit(api.Submission{ID: id, Team: "t", Tasks: 2, CPUs: 1})
	}
	h.Submit(api.Submission{ID: "run-000004", Team: "t", Tasks: 1, CPUs: 1, Awaits: []string{"run-000001"}})
	return h
}

// ask plays a question that is sent and answered in these seconds.
func (h *history) ask(kind QuestionKind, id string, asked, answered, status int, state string) {
	at := func(second int) time.Time { return h.start.Add(time.Duration(second) * time.Second) }
	h.Judge(Question{Job: id, Kind: kind, AskedAt: at(asked), AnsweredAt: at(answered), Status: status, State: state})
}

// accept plays the acceptance of a job in second 1.
func (h *history) accept(id string) { h.ask(AskSubmit, id, 0, 1, http.StatusCreated, api.Pending) }

// finish plays the run of both tasks of the first job.
func (h *history) finish() {
	for _, task := range []string{"run-000001/0", "run-000001/1"} {
		h.Started(task, "m1", 1)
		h.Ended(task, "m1", true)
	}
}

func TestAuditFindsEachBrokenRuleAndNoOther(t *testing.T) {
	const id = "run-000001"
	cases := []struct {
		name   string
		play   func(h *history)
		broken map[string]int
	}{
		{"a job that is done", func(h *history) {
			h.finish()
			h.ask(AskStatus, id, 2, 3, 200, api.Done)
			h.ask(AskSubmit, id, 4, 5, 200, api.Done)
		}, nil},
		{"a job that is cancelled", func(h *history) {
			h.CancelRequested(id)
			h.ask(AskStatus, id, 2, 3, 200, api.Cancelled)
			h.ask(AskCancel, id, 2, 4, 200, api.Cancelled)
		}, nil},
		{"an older answer that crossed with the end", func(h *history) {
			h.finish()
			h.ask(AskStatus, id, 3, 4, 200, api.Done)
			h.ask(AskStatus, id, 2, 5, 200, api.Running)
		}, nil},
		{"an older answer to a later question", func(h *history) {
			h.finish()
			h.ask(AskStatus, id, 3, 4, 200, api.Done)
			h.ask(AskStatus, id, 5, 6, 200, api.Running)
		}, map[string]int{WentBack: 1}},
		{"two ends, even if they crossed", func(h *history) {
			h.finish()
			h.CancelRequested(id)
			h.ask(AskCancel, id, 2, 4, 200, api.Cancelled)
			h.ask(AskStatus, id, 3, 5, 200, api.Done)
		}, map[string]int{WentBack: 1}},
		{"cancelled, and nobody asked for it", func(h *history) {
			h.ask(AskStatus, id, 2, 3, 200, api.Cancelled)
		}, map[string]int{WentBack: 1}},
		{"cancelled with a job that it awaits", func(h *history) {
			h.accept("run-000004")
			h.CancelRequested(id)
			h.ask(AskStatus, "run-000004", 2, 3, 200, api.Cancelled)
		}, nil},
		{"not cancelled with a job that it awaits", func(h *history) {
			h.accept("run-000004")
			h.CancelRequested(id)
			h.ask(AskCancel, id, 2, 3, 200, api.Cancelled)
			h.ask(AskStatus, "run-000004", 4, 5, 200, api.Pending)
		}, map[string]int{Orphaned: 1}},
		{"accepted long after a job that it awaits was cancelled", func(h *history) {
			h.CancelRequested(id)
			h.ask(AskCancel, id, 2, 3, 200, api.Cancelled)
			h.ask(AskSubmit, "run-000004", 4, 5, http.StatusCreated, api.Pending)
		}, nil},
		{"still pending long after that", func(h *history) {
			h.CancelRequested(id)
			h.ask(AskCancel, id, 2, 3, 200, api.Cancelled)
			h.ask(AskSubmit, "run-000004", 4, 5, http.StatusCreated, api.Pending)
			h.ask(AskStatus, "run-000004", 6, 7, 200, api.Pending)
		}, map[string]int{Orphaned: 1}},
		{"done before its tasks", func(h *history) {
			h.ask(AskStatus, id, 2, 3, 200, api.Done)
		}, map[string]int{NotDone: 1}},
		{"unknown after it was accepted", func(h *history) {
			h.ask(AskStatus, id, 2, 3, 404, "")
		}, map[string]int{Forgotten: 1}},
		{"refused after it was accepted", func(h *history) {
			h.ask(AskSubmit, id, 2, 3, 422, "")
		}, map[string]int{Forgotten: 1}},
		{"unknown to a question that crossed with its acceptance", func(h *history) {
			h.ask(AskStatus, id, 0, 3, 404, "")
		}, nil},
		{"not answered for long", func(h *history) {
			h.ask(AskStatus, id, 2, 3, 503, "")
			h.Unanswered(id, time.Minute)
		}, map[string]int{Forgotten: 1}},
		{"a job of nobody", func(h *history) {
			h.ask(AskStatus, "run-999999", 2, 3, 404, "")
			h.ask(AskStatus, "run-999998", 2, 3, 200, api.Pending)
		}, map[string]int{Invented: 1}},
		{"on two machines", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.Started(id+"/0", "m2", 1)
		}, map[string]int{RanTwice: 1}},
		{"on a machine again after it ended there", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.Ended(id+"/0", "m1", false)
			h.Started(id+"/0", "m1", 1)
			h.Ended(id+"/0", "m1", false)
			h.Started(id+"/0", "m2", 1)
		}, nil},
		{"on two machines, and a third one after the second ended", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.Started(id+"/0", "m2", 1)
			h.Ended(id+"/0", "m2", false)
			h.Started(id+"/0", "m3", 1)
		}, map[string]int{RanTwice: 2}},
		{"on two machines, and a third one after the first ended", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.Started(id+"/0", "m2", 1)
			h.Ended(id+"/0", "m1", false)
			h.Started(id+"/0", "m3", 1)
		}, map[string]int{RanTwice: 2}},
		{"on three machines", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.Started(id+"/0", "m2", 1)
			h.Started(id+"/0", "m3", 1)
		}, map[string]int{RanTwice: 3}},
		{"more than its team's limit", func(h *history) {
			for _, task := range []string{id + "/0", id + "/1", "run-000002/0", "run-000002/1"} {
				h.Started(task, "m1", 1)
			}
		}, map[string]int{OverQuota: 1}},
		{"on a machine after its cancellation was told", func(h *history) {
			h.Started(id+"/0", "m1", 1)
			h.CancelRequested(id)
			h.ask(AskCancel, id, 2, 3, 200, api.Cancelled)
			h.Sweep()
		}, map[string]int{RanCancelled: 1}},
		{"started after its cancellation was told", func(h *history) {
			h.CancelRequested(id)
			h.ask(AskCancel, id, 2, 3, 200, api.Cancelled)
			h.Started(id+"/0", "m1", 1)
		}, map[string]int{RanCancelled: 1}},
		{"started before a job that it awaits is done", func(h *history) {
			h.accept("run-000004")
			h.Started("run-000004/0", "m1", 1)
		}, map[string]int{TooEarly: 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHistory()
			h.accept(id)
			tc.play(h)
			if broken, why := h.Broken(); !maps.Equal(broken, tc.broken) {
				t.Errorf("%v broken, want %v: %v", broken, tc.broken, why)
			}
		})
	}
}

func TestAuditCountsWhatItSaw(t *testing.T) {
	h := newHistory()
	h.accept("run-000001")
	h.ask(AskStatus, "run-000001", 2, 3, 503, "")
	h.ask(AskStatus, "run-000001", 2, 4, 0, "")
	h.finish()
	h.ask(AskStatus, "run-000001", 5, 6, 200, api.Done)
	h.ask(AskStatus, "run-000001", 5, 7, 200, api.Running)
	want := AuditCounts{Questions: 5, Answers: 3, Crossed: 1, Told: 1, Leaders: 1}
	if got := h.Counts(); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
