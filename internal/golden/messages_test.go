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
var apiMessages = []message{
	of[api.Submission]("submission"),
	of[api.Input]("input"),
	of[api.Near]("near"),
	of[api.Survive]("survive"),
	of[api.JobStatus]("job-status"),
	of[api.Error]("error"),
	of[api.TaskReport]("task-report"),
	of[api.Heartbeat]("report"),
	of[api.Command]("command"),
	of[api.HeartbeatResponse]("orders"),
	of[api.Redirect]("redirect"),
	of[api.MachineType]("machine-type"),
	of[api.InstanceRequest]("rental"),
	of[api.Instance]("cloud-machine"),
	of[api.StageSource]("stage-source"),
	of[api.StageCopy]("stage-copy"),
	of[api.StageSet]("stage-set"),
	of[api.StageOrder]("stage-order"),
	of[api.StageHeld]("stage-held"),
	of[api.StageFailure]("stage-failure"),
	of[api.StageProgress]("stage-progress"),
	of[api.StageHeartbeat]("stage-report"),
	of[api.TopologyView]("topology-view"),
	of[api.ReservedView]("reserved-view"),
	of[api.DomainView]("domain-view"),
	of[api.WaitingView]("waiting-view"),
	of[api.Explanation]("explanation"),
	of[api.TaskLocation]("stand"),
	of[api.ConfigurationRequest]("configuration-request"),
	of[api.ConfigurationView]("configuration-view"),
	of[api.ConfigurationFieldError]("configuration-mistake"),
	of[api.ConfigurationFieldErrors]("configuration-mistakes"),
	of[api.ConfigurationConflict]("configuration-conflict"),
}

// The JSON of messages between controllers and users, workers, agents or the cloud matches the golden files.
func TestMessagesStayOnTheWire(t *testing.T) {
	pinAll(t, "messages", apiMessages)
}

// The JSON of answers that are defined in other packages, and of requests to the state service, matches the golden files.
func TestMessagesOfOtherPackagesStayOnTheWire(t *testing.T) {
	pinAll(t, "messages", []message{
		of[membership.View]("member-view"),
		of[scheduler.DataView]("data-view"),
		of[scheduler.DatasetView]("dataset-view"),
		of[scheduler.CopyView]("copy-view"),
		of[controller.RemovalView]("removal-view"),
		of[revisions.Answer]("configuration-answer"),
		of[configuration.Difference]("configuration-difference"),
		of[configuration.FieldError]("document-mistake"),
		of[dataset.Summary]("dataset-summary"),
		of[dataset.Manifest]("dataset-manifest"),
		of[store.Item]("state-item"),
		of[store.Condition]("state-condition"),
		of[store.Operation]("state-change"),
		of[store.Event]("state-event"),
	})
}

// Every exported struct of package api with JSON tags has a golden file.
func TestEveryMessageIsPinned(t *testing.T) {
	var pinned []string
	for _, m := range apiMessages {
		pinned = append(pinned, m.name)
	}
	for _, name := range structsWithTags(t, "../../api") {
		if !slices.Contains(pinned, name) {
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
func TestWordsStayOnTheWire(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{api.JobArray, "sweep"}, {api.Gang, "gang"}, {api.Service, "standing"},
		{api.Pending, "pending"}, {api.Running, "running"}, {api.Done, "done"}, {api.Cancelled, "withdrawn"},
		{api.TaskFetching, "fetching"}, {api.TaskRunning, "running"}, {api.TaskSaving, "flushing"}, {api.TaskExited, "ended"},
		{api.CauseDone, "done"}, {api.CauseStopped, "halted"}, {api.CauseError, "error"}, {api.CauseNoRoom, "no_room"},
		{api.CauseBusy, "busy"}, {api.CauseUnknown, "unknown"},
		{api.CommandRun, "run"}, {api.CommandKill, "kill"}, {api.CommandClear, "clear"},
		{api.UseAll, "all"}, {api.UseOwn, "own"},
		{dataset.Listed, ""}, {dataset.Removing, "removing"}, {dataset.Removed, "removed"},
		{configuration.Leave, "leave"}, {configuration.Stop, "stop"},
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
func TestRanksStayOnTheWire(t *testing.T) {
	for level, rank := range []string{"low", "normal", "high", "prod"} {
		var s api.Submission
		decode(t, []byte(`{"rank":"`+rank+`"}`), &s)
		if got := s.RankLevel(); got != level {
			t.Errorf("rank %s has level %d, want %d", rank, got, level)
		}
	}
}
