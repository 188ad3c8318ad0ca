package controller

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/store"
	"switchferry/tuning"
)

func jsonResponse(status int, body any) peer.Response {
	raw, err := json.Marshal(body)
	if err != nil {
		return retryLater("internal error")
	}
	return peer.Response{Status: status, Body: raw}
}

// retryLater refuses at once and tells when to come back.
func retryLater(why string) peer.Response {
	a := jsonResponse(http.StatusServiceUnavailable, api.Error{Error: why})
	a.RetryAfterS = tuning.RetryAfterS
	return a
}

// retryLaterBy is the same with the time that it will take.
func retryLaterBy(why string, after time.Duration) peer.Response {
	a := retryLater(why)
	a.RetryAfterS = min(tuning.RetryAfterMost, max(a.RetryAfterS, int(math.Ceil(after.Seconds()))))
	return a
}

func refusal(status int, err error) peer.Response {
	e := api.Error{Error: err.Error()}
	if fe, ok := err.(*api.FieldError); ok {
		e.Field = fe.Field
	}
	return jsonResponse(status, e)
}

func finalStatus(id string, f store.FinalRecord) api.JobStatus {
	return api.JobStatus{ID: id, State: f.State, Done: f.Tasks}
}

// jsonAnswer is a status and a body as an answer; whoever gets a 503 is told to come back.
func jsonAnswer(status int, body any) peer.Response {
	a := jsonResponse(status, body)
	if status == http.StatusServiceUnavailable {
		a.RetryAfterS = tuning.RetryAfterS
	}
	return a
}
