package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/feasibility"
	"switchferry/lookup"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/topology"
	"switchferry/tuning"
)

// submissionVerdict is what is thought of a submission. With neither an error nor a reason to ask again it can be accepted.
type submissionVerdict struct {
	// status goes with err, which refuses it for good.
	status int
	err    error
	// undecided: what it hangs on is not known, which leaves a known job its answer; again is why its user has to ask
	// again whatever is known.
	undecided bool
	again     string
	judged    admission
}

func (c *Controller) serveSubmission(ctx context.Context, sched *scheduler.Scheduler, body []byte) peer.Response {
	submission, id, err := api.ParseSubmission(body)
	if id != "" {
		if f, ok := c.terminalState(id); ok {
			return peer.JSONResponse(http.StatusOK, f.JobStatus(id))
		}
		if sched != nil {
			if st, ok := sched.JobStatus(id); ok {
				return peer.JSONResponse(http.StatusOK, st)
			}
		}
	}
	v := submissionVerdict{status: http.StatusBadRequest, err: err}
	if err == nil {
		v = c.evaluateSubmission(ctx, sched, submission, body)
	}
	switch {
	case v.again != "":
		return peer.RetryLater(v.again)
	case v.err != nil || v.undecided:
		return c.refuseSubmission(ctx, sched, id, v)
	case sched == nil:
		return c.submitWithoutLeader(ctx, submission, body, v.judged.conds...)
	}
	if a, ok := sched.Submit(ctx, submission, c.clock.Now()); ok {
		return a
	}
	a := c.answerStatus(ctx, sched, id, false)
	if a.Status == http.StatusNotFound && len(submission.Inputs) > 0 {
		// One of its datasets was taken off the list meanwhile.
		if status, err, _ := c.checkInputs(ctx, sched, submission, body); err != nil {
			return peer.Refusal(status, err)
		}
		return peer.RetryLater("a dataset of the job has just changed")
	}
	return a
}

// evaluateSubmission checks what can be wrong with a submission, one thing after the other.
func (c *Controller) evaluateSubmission(ctx context.Context, sched *scheduler.Scheduler, submission *api.Submission, body []byte) (v submissionVerdict) {
	v.status = http.StatusUnprocessableEntity
	v.judged, v.err, v.undecided = c.canRun(sched, submission)
	if v.err == nil {
		if v.err = c.fitsSomeMachineType(submission); v.err != nil {
			v.status = http.StatusBadRequest
		}
	}
	if v.err == nil && c.topology != nil {
		v.status, v.err = checkSite(submission, body)
	}
	if v.err == nil && !v.undecided && len(submission.Awaits) > 0 {
		if v.again, v.err = c.checkDependencies(ctx, sched, submission); v.again != "" {
			return v
		}
		v.status = http.StatusUnprocessableEntity
	}
	if v.err == nil && !v.undecided && c.data.On {
		v.status, v.err, v.undecided = c.checkInputs(ctx, sched, submission, body)
	}
	return v
}

// refuseSubmission answers a submission that cannot be accepted, for good or for now. A known id is never refused, whatever the
// body, nor sent away while nothing can be judged.
func (c *Controller) refuseSubmission(ctx context.Context, sched *scheduler.Scheduler, id string, v submissionVerdict) peer.Response {
	if id != "" {
		if sched != nil {
			if here, _, _ := sched.DependencyState(id); here {
				return peer.RetryLater("the job is just being accepted")
			}
		}
		if st, found, err := c.lookUp(ctx, sched, id, false); err != nil {
			return peer.RetryLater("the state service is out of reach")
		} else if found {
			return peer.JSONResponse(http.StatusOK, st)
		}
	}
	switch {
	case v.err != nil && !v.judged.stillValid(c, sched):
		return peer.RetryLater("the configuration has just changed")
	case v.err != nil:
		return peer.Refusal(v.status, v.err)
	case v.judged.why != "":
		return peer.RetryLater(v.judged.why)
	case c.data.On:
		return peer.RetryLater("the machine types, or the job's datasets, are not known yet")
	}
	return peer.RetryLater("the machine types are not known yet")
}

// fitsSomeMachineType finds a job whose record is too large for the state service.
func (c *Controller) fitsSomeMachineType(submission *api.Submission) error {
	raw, err := json.Marshal(store.JobRecord{Job: *submission, AcceptedAt: math.MaxInt64, FinalState: api.Cancelled, FinalAt: math.MaxInt64})
	if most := c.settings.Facts.State.Least().ValueBytes(); err == nil && len(raw) > most {
		err = &api.FieldError{Field: "body", Want: fmt.Sprintf("the job takes %d bytes on record, at most %d can be stored; use shorter names or fewer machine types", len(raw), most)}
	}
	return err
}

// admission is what a submission was judged by.
type admission struct {
	// by are the configurations under which the answer must come out the same; conds hold while a follower's is the
	// newest.
	by    []*configuration.Active
	conds []store.Condition
	// why nothing could be judged, where it is the configuration's matter.
	why string
}

// admissionRules gives what a submission is judged by now.
func (c *Controller) admissionRules(sched *scheduler.Scheduler) admission {
	if c.revisions == nil {
		return admission{by: c.fileConfiguration}
	}
	if applier := c.currentApplier(); sched != nil && applier != nil {
		by := applier.Candidates()
		if len(by) == 0 || !sched.Leading() {
			return admission{why: "the configuration is not known yet"}
		}
		return admission{by: by}
	}
	right, ok := c.revisions.Lease()
	if !ok {
		return admission{why: "the configuration cannot be confirmed now"}
	}
	return admission{by: []*configuration.Active{right.Active}, conds: []store.Condition{{Key: configuration.HeadKey, Revision: right.StoreRevision}}}
}

// canRun checks a submission against teams, limits and machine types. Undecided: these are not known, the
// active is not, or it is just changing and the answers differ.
func (c *Controller) canRun(sched *scheduler.Scheduler, submission *api.Submission) (judged admission, err error, undecided bool) {
	c.mu.Lock()
	types := c.machineTypes
	c.mu.Unlock()
	judged = c.admissionRules(sched)
	if judged.why != "" {
		return judged, nil, true
	}
	for i, active := range judged.by {
		found, open := feasibility.CanRun(submission, active.Limit, types)
		if i > 0 && (found == nil) != (err == nil) {
			judged.why = "the configuration is just changing"
			return judged, nil, true
		}
		err, undecided = found, undecided || open
	}
	return judged, err, undecided
}

// stillValid tells whether what a refusal was judged by still counts: it is looked at last, since the process can have
// stood still.
func (j admission) stillValid(n *Controller, sched *scheduler.Scheduler) bool {
	if n.revisions == nil || j.by == nil {
		return true
	}
	return slices.Equal(j.by, n.admissionRules(sched).by)
}

// checkSite reads what a submission asks of where its tasks stand, and whether that can be.
func checkSite(submission *api.Submission, body []byte) (status int, err error) {
	if submission.Near, submission.Survive, err = api.ParseSite(body, submission.Tasks); err != nil {
		return http.StatusBadRequest, err
	}
	if submission.Shape == api.JobArray {
		// Its tasks can run a few at a time.
		return 0, nil
	}
	if why := topology.Infeasible(submission.Near, submission.Survive, submission.Tasks); why != "" {
		return http.StatusUnprocessableEntity, &api.FieldError{Field: "survive", Want: why}
	}
	return 0, nil
}

// checkDependencies looks at the jobs that a submission awaits. Not decided: why it cannot be told
// yet whether all of them were accepted.
func (c *Controller) checkDependencies(ctx context.Context, sched *scheduler.Scheduler, submission *api.Submission) (undecided string, err error) {
	if len(submission.Awaits) > tuning.MaxDependencies {
		return "", &api.FieldError{Field: "awaits", Want: fmt.Sprintf("names %d jobs, at most %d can be awaited; let a job between them await some", len(submission.Awaits), tuning.MaxDependencies)}
	}
	if old := c.versions.Older(); len(old) > 0 {
		return "a job can only await others once all controllers have the new version; not seen yet of " + strings.Join(old, ", "), nil
	}
	refused := make([]error, len(submission.Awaits))
	late := make([]string, len(submission.Awaits))
	lookup.ForEach(submission.Awaits, func(i int, id string) { late[i], refused[i] = c.checkDependency(ctx, sched, submission.ID, id) })
	for i := range submission.Awaits {
		if refused[i] != nil {
			return "", refused[i]
		}
		undecided = max(undecided, late[i])
	}
	return undecided, nil
}

// checkDependency tells whether a job may await another.
func (c *Controller) checkDependency(ctx context.Context, sched *scheduler.Scheduler, job, id string) (undecided string, err error) {
	bad := func(why string) error { return &api.FieldError{Field: "awaits", Want: id + " " + why} }
	if id == job {
		return "", bad("is the job itself")
	}
	for again := false; ; again = true {
		if sched != nil {
			switch here, accepted, service := sched.DependencyState(id); {
			case service:
				return "", bad("is a service, which is never done")
			case accepted:
				return "", nil
			case here:
				return id + " is just being accepted", nil
			}
		}
		x, err := c.records.ReadInTurn(ctx, id, "")
		switch {
		case err != nil:
			return "the state service is out of reach", nil
		case x.Service:
			return "", bad("is a service, which is never done")
		case x.Found:
			return "", nil
		case again:
			return "", bad("was never accepted")
		}
		c.sleep(ctx, tuning.DependencyRetryDelay)
	}
}
