package controller

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/lookup"
	"switchferry/policy"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/upgrade"
)

// testTypes is the catalog of machine types used by the tests.
var testTypes = []api.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 20, PullGBs: 0.5, BootS: 30, Zones: []string{"a", "b"}}}

// testLeader is a scheduler on a fake clock with a fake state service. It starts no goroutines: the test sends the
// workers' heartbeats and commits records.
type testLeader struct {
	*testing.T
	*scheduler.Scheduler
	clock     *clockwork.FakeClock
	state     *fake.State
	committer *store.Committer
	// leading reports whether the scheduler still leads.
	leading bool
	// seq numbers the heartbeats of all machines.
	seq uint64
	// commands holds the commands that were sent directly, by task.
	commands map[string][]api.Command
	// sent holds the direct commands that the test has not delivered yet.
	sent []directCommands
	// terminal holds the jobs in a terminal state.
	terminal *lookup.TerminalStates
}

// directCommands is a response with commands that is sent directly to a machine.
type directCommands struct {
	machine  string
	response api.HeartbeatResponse
}

// leaderRecordSource provides records to the leader's committer, which may write them while the leader leads.
type leaderRecordSource struct {
	*scheduler.Scheduler
	leader *testLeader
}

func (r leaderRecordSource) Condition() (store.Condition, bool) {
	return store.Condition{Key: store.LeaderKey, Revision: r.Term()}, r.leader.leading
}

func (r leaderRecordSource) Deposed() { r.leader.leading = false }

// newLeader returns the leader x of a new term. The only team is t.
func newLeader(t *testing.T) *testLeader {
	t.Helper()
	clock := clockwork.NewFakeClock()
	leader := &testLeader{T: t, clock: clock, state: fake.NewState(clock), terminal: lookup.NewTerminalStates()}
	leader.elect()
	return leader
}

// newLeaderProcess returns a leader and the controller process that serves requests for it. Both share the same
// terminal states.
func newLeaderProcess(t *testing.T) (*testLeader, *Controller) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	leader := &testLeader{T: t, clock: clock, state: fake.NewState(clock)}
	process := leader.otherController()
	leader.terminal = process.jobs.TerminalStates.TerminalStates
	leader.elect()
	process.term.begin(&leaderTerm{scheduler: leader.Scheduler, committer: leader.committer})
	return leader, process
}

// elect begins a new term of the leader x, with empty records.
func (l *testLeader) elect() {
	l.leading, l.commands = true, map[string][]api.Command{}
	set := &settings.Settings{Member: "x"}
	set.Facts.Workers = settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40}
	set.Facts.State = settings.StateLimits{RPS: 200, WriteRPS: 5000, ValueKB: 16, TxnOps: 12}
	set.Facts.Teams = []settings.Team{{Name: "t", CPUsMax: 400}}
	term := l.state.Put(store.LeaderKey, store.LeaderRecord{Member: "x"})
	collaborators := testCollaborators(func() bool { return l.leading })
	collaborators.Records, collaborators.Sender = leaderRecords{l}, leaderCommands{leader: l}
	collaborators.TerminalStates = l.terminal
	l.Scheduler = scheduler.New(term, l.clock, set, policy.Default(), testTypes, collaborators)
	l.committer = store.NewCommitter(store.NewClient("state:1", l.state), leaderRecordSource{l.Scheduler, l}, l.clock, set.Facts.State, map[string]uint64{})
	l.Load(nil, nil)
}

// commit writes all dirty records.
func (l *testLeader) commit() {
	for index := 0; l.committer.Pending() > 0 && index < 2000; index++ {
		l.committer.Step(context.Background())
		l.clock.Advance(time.Millisecond)
	}
}

// heartbeat sends a heartbeat of worker a1 in zone a, which knows the current term.
func (l *testLeader) heartbeat() {
	l.seq++
	l.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Address: "a1:1", Type: "m8", Zone: "a", Incarnation: 1, Seq: l.seq, Term: l.Term()}, "")
}

// smallJob returns a job of team t with one task.
func smallJob(id string) *api.Submission {
	return &api.Submission{ID: id, Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1,
		CPUs: 0.1, MemoryGB: 0.1, Image: "img", ImageGB: 1, Spot: true, EstimateS: 30}
}

// submit submits a job to the leader, commits its record and checks that it was accepted.
func (l *testLeader) submit(job *api.Submission) {
	l.Helper()
	l.Submit(cancelledContext(), job, l.clock.Now())
	l.commit()
	if _, ok := l.JobStatus(job.ID); !ok {
		l.Fatalf("%s not accepted", job.ID)
	}
}

// status returns the state of a job according to the leader, or an empty string if it does not know the job.
func (l *testLeader) status(id string) string {
	if status, ok := l.JobStatus(id); ok {
		return status.State
	}
	final, _ := l.terminal.Get(id)
	return final.State
}

// starts returns the number of run commands that were sent directly for a task.
func (l *testLeader) starts(task string) (n int) {
	for _, command := range l.commands[task] {
		if command.Verb == api.CommandRun {
			n++
		}
	}
	return n
}

// otherController returns another controller, which answers from the records only. No member runs an older version.
func (l *testLeader) otherController() *Controller {
	set := &settings.Settings{Member: "y"}
	set.Facts.State = settings.StateLimits{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 24}
	set.Facts.Teams = []settings.Team{{Name: "t"}}
	controller := New(context.Background(), set, policy.Default(), l.clock, l.state)
	controller.catalog.types = testTypes
	controller.versions.Observe("y", upgrade.VersionRecord{Data: upgrade.DataVersion})
	return controller
}

// cancelledContext returns a context that is already cancelled, so that calls return without waiting.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
