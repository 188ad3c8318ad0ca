package controller

import (
	"net/http"

	"switchferry/peer"
	"switchferry/tuning"
)

// encodeResponse returns a status and a body as a response; one with status 503 says when to retry.
func encodeResponse(status int, body any) peer.Response {
	response := peer.JSONResponse(status, body)
	if status == http.StatusServiceUnavailable {
		response.RetryAfterS = tuning.RetryAfterS
	}
	return response
}

// answer is an HTTP status, and a body that is to be encoded as JSON.
type answer struct {
	status int
	body   any
}

// response returns the answer as it is sent between controllers.
func (a answer) response() peer.Response { return peer.JSONResponse(a.status, a.body) }
