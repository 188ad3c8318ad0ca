package golden_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/configuration/revisions"
	"switchferry/controller"
	"switchferry/dataset"
	"switchferry/membership"
	"switchferry/scheduler"
	"switchferry/store"
)

// apiMessages are the messages of package api.
var apiMessages = []goldenMessage{
	messageOf[api.Submission]("submission"),
	messageOf[api.Input]("input"),
	messageOf[api.Near]("near"),
	messageOf[api.Survive]("survive"),
	messageOf[api.JobStatus]("job-status"),
	messageOf[api.Error]("error"),
	messageOf[api.TaskReport]("task-report"),
	messageOf[api.Heartbeat]("report"),
	messageOf[api.Command]("command"),
	messageOf[api.HeartbeatResponse]("orders"),
	messageOf[api.Redirect]("redirect"),
	messageOf[api.MachineType]("machine-type"),
	messageOf[api.InstanceRequest]("rental"),
	messageOf[api.Instance]("cloud-machine"),
	messageOf[api.StageSource]("stage-source"),
	messageOf[api.StageCopy]("stage-copy"),
	messageOf[api.StageSet]("stage-set"),
	messageOf[api.StageOrder]("stage-order"),
	messageOf[api.StageHolding]("stage-held"),
	messageOf[api.StageFailure]("stage-failure"),
	messageOf[api.StageProgress]("stage-progress"),
	messageOf[api.StageHeartbeat]("stage-report"),
	messageOf[api.TopologyView]("topology-view"),
	messageOf[api.ReservedView]("reserved-view"),
	messageOf[api.DomainView]("domain-view"),
	messageOf[api.WaitingView]("waiting-view"),
	messageOf[api.Explanation]("explanation"),
	messageOf[api.TaskLocation]("stand"),
	messageOf[api.ConfigurationRequest]("configuration-request"),
	messageOf[api.ConfigurationView]("configuration-view"),
	messageOf[api.ConfigurationFieldError]("configuration-mistake"),
	messageOf[api.ConfigurationFieldErrors]("configuration-mistakes"),
	messageOf[api.ConfigurationConflict]("configuration-conflict"),
}

// The JSON of messages between controllers and users, workers, agents or the cloud matches the golden files.
func TestAPIMessagesMatchGolden(t *testing.T) {
	compareMessages(t, "messages", apiMessages)
}

// The JSON of answers that are defined in other packages, and of requests to the state service, matches the golden
// files.
func TestMessagesOfOtherPackagesMatchGolden(t *testing.T) {
	compareMessages(t, "messages", []goldenMessage{
		messageOf[membership.View]("member-view"),
		messageOf[scheduler.DataView]("data-view"),
		messageOf[scheduler.DatasetView]("dataset-view"),
		messageOf[scheduler.CopyView]("copy-view"),
		messageOf[controller.RemovalView]("removal-view"),
		messageOf[revisions.ChangeProgress]("configuration-answer"),
		messageOf[configuration.Difference]("configuration-difference"),
		messageOf[configuration.FieldError]("document-mistake"),
		messageOf[dataset.Summary]("dataset-summary"),
		messageOf[dataset.Manifest]("dataset-manifest"),
		messageOf[store.Item]("state-item"),
		messageOf[store.Condition]("state-condition"),
		messageOf[store.Operation]("state-change"),
		messageOf[store.Event]("state-event"),
	})
}

// Every exported struct of package api with JSON tags has a golden file.
func TestEveryAPIMessageHasGoldenFile(t *testing.T) {
	var names []string
	for _, m := range apiMessages {
		names = append(names, m.name)
	}
	for _, name := range structsWithTags(t, "../../api") {
		if !slices.Contains(names, name) {
			t.Errorf("api.%s has no golden file", name)
		}
	}
}

// structsWithTags returns the names of a package's exported structs with JSON tags.
func structsWithTags(t *testing.T, folder string) (names []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no sources in %s, %v", folder, err)
	}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok && spec.Name.IsExported() && hasTags(spec.Type) {
				names = append(names, spec.Name.Name)
			}
			return true
		})
	}
	return names
}

// hasTags reports whether a type is a struct with a JSON tag.
func hasTags(expression ast.Expr) bool {
	fields, ok := expression.(*ast.StructType)
	return ok && slices.ContainsFunc(fields.Fields.List, func(f *ast.Field) bool {
		return f.Tag != nil && strings.Contains(f.Tag.Value, "json:")
	})
}

// The string values of the protocol's enumerations do not change.
func TestProtocolValuesDoNotChange(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{api.JobArray, "sweep"}, {api.Gang, "gang"}, {api.Service, "standing"},
		{api.Pending, "pending"}, {api.Running, "running"}, {api.Done, "done"}, {api.Cancelled, "withdrawn"},
		{api.TaskFetching, "fetching"}, {api.TaskRunning, "running"}, {api.TaskSaving, "flushing"}, {api.TaskExited, "ended"},
		{api.CauseDone, "done"}, {api.CauseStopped, "halted"}, {api.CauseError, "error"}, {api.CauseInsufficientResources, "no_room"},
		{api.CauseConflictingAttempt, "busy"}, {api.CauseNotFound, "unknown"},
		{api.CommandRun, "run"}, {api.CommandKill, "kill"}, {api.CommandClear, "clear"},
		{api.UseAllParts, "all"}, {api.UseOwnPart, "own"},
		{dataset.Listed, ""}, {dataset.Removing, "removing"}, {dataset.Removed, "removed"},
		{configuration.LeaveRunning, "leave"}, {configuration.StopRunning, "stop"},
		{string(membership.Unknown), "unknown"}, {string(membership.Alive), "alive"}, {string(membership.Slow), "slow"},
		{string(membership.Suspected), "suspected"}, {string(membership.Failed), "failed"}, {string(membership.Left), "left"},
		{strings.Join(api.Levels, " "), "region zone switch rack machine"},
	} {
		if c.got != c.want {
			t.Errorf("value %q, want %q", c.got, c.want)
		}
	}
}

// Ranks have the order that the protocol defines.
func TestRankOrderDoesNotChange(t *testing.T) {
	for level, rank := range []string{"low", "normal", "high", "prod"} {
		var s api.Submission
		decode(t, []byte(`{"rank":"`+rank+`"}`), &s)
		if got := s.RankLevel(); got != level {
			t.Errorf("rank %s has level %d, want %d", rank, got, level)
		}
	}
}
