// Package admission accepts, refuses and cancels jobs. A job that can never run is refused at once with the reason. The
// records of other jobs are written by the scheduler of the current term or, without a leader, directly by this
// package.
package admission

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/controller/jobstatus"
	"switchferry/dataset"
	"switchferry/feasibility"
	"switchferry/features"
	"switchferry/peer"
	"switchferry/retry"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/topology"
	"switchferry/tuning"
	"switchferry/upgrade"
)

// Catalog provides the machine types that the cloud offers.
type Catalog interface {
	// MachineTypes returns the types that were last read, or none before the first read.
	MachineTypes() []api.MachineType
}

// Configuration provides the rules by which submissions are checked.
type Configuration interface {
	// CurrentRules returns the rules in force now. Sched is nil unless this controller certainly leads.
	CurrentRules(sched *scheduler.Scheduler) Rules
}

// Datasets provides the registered datasets.
type Datasets interface {
	// LookUp returns a dataset; the error is store.ErrNotFound if there is none of that name.
	LookUp(ctx context.Context, name string) (*dataset.Entry, error)
	// Evict removes the datasets of a job from the cache, so that the next look-up reads them again.
	Evict(submission *api.Submission)
}

// Options holds the dependencies of a Service.
type Options struct {
	Settings      *settings.Settings
	Clock         clockwork.Clock
	Client        *store.Client
	Versions      *upgrade.VersionRegistry
	Catalog       Catalog
	Configuration Configuration
	Datasets      Datasets
	Jobs          *jobstatus.Reader
	// RequireToken is called, before the user is notified, with the revision at which a cancellation was stored while no
	// leader's key existed. It lies above all fencing tokens of former leaders and below the term of the next one.
	RequireToken func(revision uint64)
}

// Service accepts, refuses and cancels jobs, through the scheduler while this controller leads and otherwise by writing
// their records directly. Its methods may be called concurrently.
type Service struct {
	settings      *settings.Settings
	clock         clockwork.Clock
	client        *store.Client
	catalog       Catalog
	configuration Configuration
	datasets      Datasets
	jobs          *jobstatus.Reader
	// Versions tracks which members may still run a process of an older version.
	Versions *upgrade.VersionRegistry
	// Data specifies whether jobs may have inputs. It is set before the first request.
	Data features.Data
	// TopologyOn reports whether jobs may have topology constraints. It is set before the first request.
	TopologyOn bool
	// leaderlessWriter writes the records of jobs that are accepted without the leader.
	leaderlessWriter *store.HedgedClient
	// leaderlessCanceller writes the records of jobs that are cancelled while no leader's key exists, and nothing else, so
	// that no leader's key existed at its committed revision.
	leaderlessCanceller *store.HedgedClient
	requireToken        func(revision uint64)

	// mu guards retries, which spreads the retries of refused submissions over the time needed to accept them.
	mu      sync.Mutex
	retries *retry.Spread
}

// New returns a Service with datasets and topology off.
func New(options Options) *Service {
	writeRate := options.Settings.Facts.State.Strictest().WriteRPS
	leaderlessRate := writeRate * (1 - tuning.LeaderRateShare)
	limiter := rate.NewLimiter(rate.Limit(leaderlessRate), max(1, int(leaderlessRate)))
	acceptRate := tuning.LeaderRateShare * writeRate / float64(1+len(options.Settings.Peers))
	retries, err := retry.New(acceptRate, tuning.RetryAfterS, tuning.MaxRetryAfterS, tuning.RetryPeriod, tuning.RefusedJobsCapacity)
	if err != nil {
		panic(err) // retry.New fails only for a limit below one, and these limits are constants.
	}
	return &Service{settings: options.Settings, clock: options.Clock, client: options.Client, catalog: options.Catalog,
		configuration: options.Configuration, datasets: options.Datasets, jobs: options.Jobs, Versions: options.Versions,
		leaderlessWriter:    store.NewHedgedClient(options.Client, options.Clock, limiter, writeRate),
		leaderlessCanceller: store.NewHedgedClient(options.Client, options.Clock, limiter, writeRate),
		requireToken:        options.RequireToken, retries: retries}
}

// submissionVerdict is the outcome of checking a submission, which can be accepted if it is neither refused nor
// undecided and has no retryReason.
type submissionVerdict struct {
	// status is the HTTP status of err, which refuses the submission for good.
	status int
	err    error
	// undecided is set if it cannot be determined now whether the submission is feasible. A submission of a known job is
	// still answered with the job's state.
	undecided bool
	// retryReason is why the user has to retry even if the job is known; it is empty otherwise.
	retryReason string
	rules       Rules
}

// Submit accepts or refuses a job. Sched is nil unless this controller certainly leads. For a job that is already
// known, it returns the job's state.
func (s *Service) Submit(ctx context.Context, sched *scheduler.Scheduler, body []byte) peer.Response {
	submission, id, err := api.ParseSubmission(body)
	if id != "" {
		if job, ok := s.jobs.StatusFromMemory(sched, id); ok {
			return peer.JSONResponse(http.StatusOK, job)
		}
	}
	verdict := submissionVerdict{status: http.StatusBadRequest, err: err}
	if err == nil {
		verdict = s.evaluateSubmission(ctx, sched, submission, body)
	}
	switch {
	case verdict.retryReason != "":
		return peer.RetryLater(verdict.retryReason)
	case verdict.err != nil || verdict.undecided:
		return s.refuseSubmission(ctx, sched, id, verdict)
	case sched == nil:
		return s.SubmitWithoutLeader(ctx, submission, body, verdict.rules.Conditions...)
	}
	if response, ok := sched.Submit(ctx, submission, s.clock.Now()); ok {
		return response
	}
	response := s.jobs.AnswerStatus(ctx, sched, id, false)
	if response.Status == http.StatusNotFound && len(submission.Inputs) > 0 {
		return s.answerChangedDataset(ctx, sched, submission, body)
	}
	return response
}

// answerChangedDataset answers a submission one of whose datasets changed while the submission was being accepted.
func (s *Service) answerChangedDataset(ctx context.Context, sched *scheduler.Scheduler, submission *api.Submission, body []byte) peer.Response {
	if status, _, err := s.checkInputs(ctx, sched, submission, body); err != nil {
		return peer.ErrorResponse(status, err)
	}
	return peer.RetryLater("a dataset of the job has just changed")
}

// evaluateSubmission checks limits, record size, topology, dependencies and inputs of a submission, in this order, and
// stops at the first check that fails.
func (s *Service) evaluateSubmission(ctx context.Context, sched *scheduler.Scheduler, submission *api.Submission, body []byte) (verdict submissionVerdict) {
	verdict.status = http.StatusUnprocessableEntity
	if verdict.rules, verdict.undecided, verdict.err = s.CheckFeasibility(sched, submission); verdict.err != nil {
		return verdict
	}
	if verdict.err = s.checkRecordSize(submission); verdict.err != nil {
		verdict.status = http.StatusBadRequest
		return verdict
	}
	if s.TopologyOn {
		if verdict.status, verdict.err = checkTopologyConstraints(submission, body); verdict.err != nil {
			return verdict
		}
	}
	if verdict.undecided {
		return verdict
	}
	if len(submission.Awaits) > 0 {
		verdict.retryReason, verdict.err = s.checkDependencies(ctx, sched, submission)
		if verdict.retryReason != "" || verdict.err != nil {
			verdict.status = http.StatusUnprocessableEntity
			return verdict
		}
	}
	if s.Data.On {
		verdict.status, verdict.undecided, verdict.err = s.checkInputs(ctx, sched, submission, body)
	}
	return verdict
}

// refuseSubmission answers a submission that cannot be accepted, either permanently or for the time being. If the job
// id is known, it returns the state of that job regardless of the rest of the body.
func (s *Service) refuseSubmission(ctx context.Context, sched *scheduler.Scheduler, id string, verdict submissionVerdict) peer.Response {
	if id != "" {
		if sched != nil {
			if sched.Presence(id).InMemory {
				return peer.RetryLater("the job is just being accepted")
			}
		}
		if job, found, err := s.jobs.LookUp(ctx, sched, id, false); err != nil {
			return peer.RetryLater("the state service is out of reach")
		} else if found {
			return peer.JSONResponse(http.StatusOK, job)
		}
	}
	switch {
	case verdict.err != nil && !s.StillValid(verdict.rules, sched):
		return peer.RetryLater("the configuration has just changed")
	case verdict.err != nil:
		return peer.ErrorResponse(verdict.status, verdict.err)
	case verdict.rules.UnknownReason != "":
		return peer.RetryLater(verdict.rules.UnknownReason)
	case s.Data.On:
		return peer.RetryLater("the machine types, or the job's datasets, are not known yet")
	}
	return peer.RetryLater("the machine types are not known yet")
}

// checkRecordSize returns a *api.FieldError if the record of a job is too large for the state service.
func (s *Service) checkRecordSize(submission *api.Submission) error {
	raw, err := json.Marshal(store.JobRecord{Job: *submission, AcceptedAt: math.MaxInt64, FinalState: api.Cancelled, FinalAt: math.MaxInt64})
	if limit := s.settings.Facts.State.Strictest().MaxValueBytes(); err == nil && len(raw) > limit {
		err = &api.FieldError{Field: "body", Want: fmt.Sprintf("the job takes %d bytes on record, at most %d can be stored; use shorter names or fewer machine types", len(raw), limit)}
	}
	return err
}

// Rules holds the configurations that a submission is checked against.
type Rules struct {
	// Configurations lists all configurations that may be in force. A decision requires that they agree.
	Configurations []*configuration.Active
	// Conditions hold while the configuration that a follower used is still the newest one.
	Conditions []store.Condition
	// UnknownReason is why no rules are known; it is empty if they are.
	UnknownReason string
}

// CheckFeasibility checks whether a submission can ever run, given the teams, limits and machine types, and returns the
// rules that it applied. Undecided is set if the machine types or the configuration are not known, or if the
// configuration is changing and the old and the new one disagree. An error is a *api.FieldError.
func (s *Service) CheckFeasibility(sched *scheduler.Scheduler, submission *api.Submission) (rules Rules, undecided bool, err error) {
	types := s.catalog.MachineTypes()
	rules = s.configuration.CurrentRules(sched)
	if rules.UnknownReason != "" {
		return rules, true, nil
	}
	for i, active := range rules.Configurations {
		unknown, refusal := feasibility.CheckSubmission(submission, active.Limit, types)
		if i > 0 && (refusal == nil) != (err == nil) {
			rules.UnknownReason = "the configuration is just changing"
			return rules, true, nil
		}
		err, undecided = refusal, undecided || unknown
	}
	return rules, undecided, err
}

// StillValid reports whether a refusal by these rules still holds. It is called immediately before the response is
// sent, since the process may have been paused after the check.
func (s *Service) StillValid(rules Rules, sched *scheduler.Scheduler) bool {
	if rules.Configurations == nil {
		return true
	}
	return slices.Equal(rules.Configurations, s.configuration.CurrentRules(sched).Configurations)
}

// checkTopologyConstraints parses the topology constraints of a submission and checks whether they can be met. An error
// is a *api.FieldError, and status is its HTTP status.
func checkTopologyConstraints(submission *api.Submission, body []byte) (status int, err error) {
	if submission.Near, submission.Survive, err = api.ParsePlacementConstraints(body, submission.Tasks); err != nil {
		return http.StatusBadRequest, err
	}
	if submission.Shape == api.JobArray {
		// Tasks of a job array need not all run at once.
		return 0, nil
	}
	if reason := topology.InfeasibleReason(submission.Near, submission.Survive, submission.Tasks); reason != "" {
		return http.StatusUnprocessableEntity, &api.FieldError{Field: "survive", Want: reason}
	}
	return 0, nil
}

// SetRetryAfter sets when the user of a refused submission should retry. The retry times of different submissions are
// spread over the time needed to accept all submissions that wait.
func (s *Service) SetRetryAfter(response *peer.Response, body []byte) {
	refused := response.Status == http.StatusServiceUnavailable
	s.mu.Lock()
	noneWaiting := s.retries.Waiting() == 0
	s.mu.Unlock()
	if !refused && noneWaiting {
		return
	}
	_, id, _ := api.ParseSubmission(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused {
		response.RetryAfterS = max(response.RetryAfterS, s.retries.Refused(s.clock.Now(), id))
	} else {
		s.retries.Remove(id)
	}
}
