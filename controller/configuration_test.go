package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// parseOverEmptyFiles parses a configuration document and overlays it on a file configuration without teams.
func parseOverEmptyFiles(t *testing.T, text string) *configuration.Active {
	t.Helper()
	document, err := configuration.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return document.Overlay(configuration.FromFiles(nil, policy.Default()), 3)
}

// Without the leader, a submission is checked only against a recently confirmed configuration, and stored only on the
// condition that this configuration is still the newest.
func TestSubmissionWithoutLeaderRequiresConfirmedConfiguration(t *testing.T) {
	ctx := t.Context()
	var unresponsive atomic.Bool
	controller, clock, state := newFollower(t, &unresponsive, func(context.Context, peer.Request) peer.Response { return peer.RetryLater(notLeading) })
	controller.configuration.newRevisionStore()
	submit := func(id string) peer.Response {
		return controller.Handle(ctx, peer.Request{Verb: VerbSubmit, Body: []byte(strings.Replace(sampleJob, "run-000001", id, 1))}, false)
	}
	if response := submit("run-000001"); response.Status != http.StatusServiceUnavailable || response.RetryAfterS == 0 || !strings.Contains(string(response.Body), "cannot be confirmed") {
		t.Fatalf("before anything was read: %d %s", response.Status, response.Body)
	}
	refresh := func() {
		if _, err := controller.configuration.revisions.Refresh(ctx); err != nil {
			t.Fatal(err)
		}
	}
	refresh()
	if response := submit("run-000001"); response.Status != http.StatusCreated {
		t.Fatalf("confirmed: %d %s", response.Status, response.Body)
	}
	// Another revision is stored that this controller has not read. While its lease is valid it may still check
	// submissions against the old revision, but it must not store a job on that basis.
	revision := &configuration.Revision{Number: 1, Document: "[[teams]]\nname = \"t\"\ncpus_max = 0.5\n"}
	head, parts, err := configuration.Encode(revision, 16<<10)
	if err != nil {
		t.Fatal(err)
	}
	state.Put(configuration.PartKey(1, 0), parts[0])
	state.Put(configuration.HeadKey, head)
	if response := submit("run-000002"); response.Status != http.StatusServiceUnavailable || state.Get(store.JobKey("run-000002")) != nil {
		t.Errorf("after an unread configuration change: %d %s", response.Status, response.Body)
	}
	refresh()
	if response := submit("run-000002"); response.Status != http.StatusUnprocessableEntity || !strings.Contains(string(response.Body), "team's limit") {
		t.Errorf("under the new configuration: %d %s", response.Status, response.Body)
	}
	// Known jobs are still answered with their state, whatever the current limit.
	if response := submit("run-000001"); response.Status != http.StatusOK {
		t.Errorf("a known job: %d %s", response.Status, response.Body)
	}
	clock.Advance(tuning.ConfigurationLease)
	if response := submit("run-000003"); response.Status != http.StatusServiceUnavailable {
		t.Errorf("after the configuration lease has expired: %d %s", response.Status, response.Body)
	}
	if response := controller.Handle(ctx, peer.Request{Verb: VerbStatus, Job: "run-000001"}, false); response.Status != http.StatusOK {
		t.Errorf("a status request after the lease has expired: %d %s", response.Status, response.Body)
	}
}

// A refusal is checked again before it is sent, since the configuration may have been replaced while the process was
// paused.
func TestRefusalByAnExpiredConfigurationIsNotSent(t *testing.T) {
	ctx := t.Context()
	var unresponsive atomic.Bool
	controller, clock, _ := newFollower(t, &unresponsive, neverAnswer)
	controller.configuration.newRevisionStore()
	if _, err := controller.configuration.revisions.Refresh(ctx); err != nil {
		t.Fatal(err)
	}
	var submission api.Submission
	if err := json.Unmarshal([]byte(sampleJob), &submission); err != nil {
		t.Fatal(err)
	}
	submission.Team = "unknown"
	rules, _, err := controller.submissions.CheckFeasibility(nil, &submission)
	if err == nil || !controller.submissions.StillValid(rules, nil) {
		t.Fatalf("refused with %v, or the refusal is not valid", err)
	}
	clock.Advance(tuning.ConfigurationLease)
	if controller.submissions.StillValid(rules, nil) {
		t.Error("the refusal is still valid after the lease has expired")
	}
}

// changeConfiguration applies a change request to a controller without an applier, and returns the response.
func changeConfiguration(controller *Controller, body []byte) peer.Response {
	return encodeResponse(controller.configuration.handler().Change(context.Background(), nil, body))
}

// The configuration can be changed only once all controllers have recorded that they support changes. A document that
// has an error or configures a feature that is off is refused.
func TestConfigurationChangeRequiresSupportByAllControllers(t *testing.T) {
	controller := newLeader(t).otherController()
	controller.settings.Peers = []settings.Peer{{Member: "z"}}
	controller.configuration.newRevisionStore()
	response := controller.Handle(context.Background(), peer.Request{Verb: VerbConfigure, Body: []byte(`{}`)}, true)
	if response.Status != http.StatusServiceUnavailable {
		t.Errorf("without a leader: %d %s", response.Status, response.Body)
	}
	for body, want := range map[string]string{
		`x`:                        "body",
		`{"document":"[polic]\n"}`: `"line":1,"field":"polic"`,
		`{"document":"[features]\nahead_tasks = 3\n"}`: "datasets are off",
	} {
		if response := changeConfiguration(controller, []byte(body)); response.Status != http.StatusBadRequest || !strings.Contains(string(response.Body), want) {
			t.Errorf("%s: %d %s", body, response.Status, response.Body)
		}
	}
	if response := changeConfiguration(controller, []byte(`{"document":""}`)); response.Status != http.StatusServiceUnavailable || !strings.Contains(string(response.Body), "not seen yet of") {
		t.Errorf("before all controllers have recorded support: %d %s", response.Status, response.Body)
	}
}

// A setting that a later revision omits takes its value from the files again.
func TestOmittedSettingFallsBackToFiles(t *testing.T) {
	controller := newLeader(t).otherController()
	controller.features.data.AheadTasks = 5
	if ahead := *controller.configuration.withFileDefaults(parseOverEmptyFiles(t, "[features]\nahead_tasks = 9\n")).AheadTasks; ahead != 9 {
		t.Fatalf("ahead_tasks is %d, want 9 from the document", ahead)
	}
	if ahead := *controller.configuration.withFileDefaults(parseOverEmptyFiles(t, "")).AheadTasks; ahead != 5 {
		t.Errorf("ahead_tasks is %d after a revision omits it, want 5 from the features file", ahead)
	}
}
