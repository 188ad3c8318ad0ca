package controller

import (
	"net/http"

	"switchferry/peer"
	"switchferry/tuning"
)

// encodeResponse returns a response with a status and a body encoded as JSON. A response with status 503 specifies when
// to retry.
func encodeResponse(status int, body any) peer.Response {
	response := peer.JSONResponse(status, body)
	if status == http.StatusServiceUnavailable {
		response.RetryAfterS = tuning.RetryAfterS
	}
	return response
}

// answer is an HTTP status with a body that is not encoded as JSON yet.
type answer struct {
	status int
	body   any
}

// response returns the answer as a response between controllers.
func (a answer) response() peer.Response { return peer.JSONResponse(a.status, a.body) }
