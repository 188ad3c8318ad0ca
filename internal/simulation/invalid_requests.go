package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"switchferry/api"
	"switchferry/controller"
	"switchferry/peer"
)

// invalidChange is a change that makes a valid submission invalid; statusCode is the HTTP status code with which the
// protocol refuses the changed submission.
type invalidChange struct {
	statusCode int
	change     func(fields map[string]any)
}

// submissionFields are the wire names of the required fields of a submission. A value of the wrong type is invalid.
var submissionFields = []string{"jobclass", "owner", "shape", "rank", "parts", "cores", "cards", "ram_gb", "bundle", "size_gb", "together", "apart", "standby", "expect_s", "snapshot_s", "stow_s"}

// randomInvalidChange draws a change. It changes a submission's fields by their wire names.
func randomInvalidChange(rng *rand.Rand) invalidChange {
	field := submissionFields[rng.IntN(len(submissionFields))]
	changes := []invalidChange{
		{http.StatusBadRequest, func(fields map[string]any) { delete(fields, field) }},
		{http.StatusBadRequest, func(fields map[string]any) { fields[field] = nil }},
		{http.StatusBadRequest, func(fields map[string]any) { fields[field] = []int{1} }},
		{http.StatusUnprocessableEntity, func(fields map[string]any) { fields["cores"] = 1000 }},
		{http.StatusUnprocessableEntity, func(fields map[string]any) { fields["owner"] = "nobody" }},
		{http.StatusUnprocessableEntity, func(fields map[string]any) { fields["hulls"] = []string{"none"} }},
		{http.StatusUnprocessableEntity, func(fields map[string]any) { fields["berth"] = "nowhere" }},
		{http.StatusUnprocessableEntity, func(fields map[string]any) { fields["shape"], fields["parts"] = "standing", 90_000 }},
	}
	return changes[rng.IntN(len(changes))]
}

// changedSubmission returns the encoded submission after a change of its fields.
func changedSubmission(submission *api.Submission, change func(fields map[string]any)) []byte {
	fields := map[string]any{}
	if err := json.Unmarshal(encodeSubmission(submission), &fields); err != nil {
		panic(fmt.Sprintf("decoding the submission of %s: %v", submission.ID, err))
	}
	change(fields)
	body, err := json.Marshal(fields)
	if err != nil {
		panic(fmt.Sprintf("encoding the changed submission of %s: %v", submission.ID, err))
	}
	return body
}

// sendInvalidRequests sends requests that a user makes by mistake: it repeats the submission with an invalid change,
// under the job's own identifier and under a new one, requests the status and the cancellation of the refused job, and
// requests the cancellation of the user's job if its terminal state was already reported.
func (user *user) sendInvalidRequests(ctx context.Context) {
	sim, job := user.sim, user.job
	invalid := randomInvalidChange(user.rng)
	// A submission with a known identifier is answered with the job's state, whatever the other fields contain.
	sent := time.Now()
	code, status := user.request(ctx, requestTimeout, peer.Request{Verb: controller.VerbSubmit, Body: changedSubmission(&job.Submission, invalid.change)})
	sim.checker.checkResponse(job, sent, code, status, controller.VerbSubmit)
	user.submitInvalidJob(ctx, invalid)
	if sim.checker.terminalStateReported(job) {
		sent = time.Now()
		code, status = user.request(ctx, requestTimeout, peer.Request{Verb: controller.VerbCancel, Job: job.ID})
		sim.checker.checkResponse(job, sent, code, status, controller.VerbCancel)
	}
}

// submitInvalidJob submits an invalid job under an unknown identifier, and checks that the controllers refuse the job
// and do not know its identifier afterwards.
func (user *user) submitInvalidJob(ctx context.Context, invalid invalidChange) {
	checker := user.sim.checker
	unknownID := fmt.Sprintf("run-7%s7", user.job.ID[4:])
	body := changedSubmission(&user.job.Submission, func(fields map[string]any) {
		invalid.change(fields)
		fields["name_id"] = unknownID
	})
	code, _ := user.request(ctx, requestTimeout, peer.Request{Verb: controller.VerbSubmit, Body: body})
	if code != 0 && code != invalid.statusCode && code < http.StatusInternalServerError {
		checker.recordUnexpectedResponse("a job that %s: %d for %d", changedSubmission(&user.job.Submission, invalid.change), code, invalid.statusCode)
	}
	for _, verb := range []string{controller.VerbStatus, controller.VerbCancel} {
		code, _ = user.request(ctx, requestTimeout, peer.Request{Verb: verb, Job: unknownID})
		if code != 0 && code != http.StatusNotFound && code < http.StatusInternalServerError {
			checker.recordUnexpectedResponse("%s of a job that was refused was answered with %d", verb, code)
		}
	}
}
