package controller

import (
	"net/http"

	"switchferry/peer"
	"switchferry/tuning"
)

// encodeResponse is a status and a body as an answer; whoever gets a 503 is told to come back.
func encodeResponse(status int, body any) peer.Response {
	response := peer.JSONResponse(status, body)
	if status == http.StatusServiceUnavailable {
		response.RetryAfterS = tuning.RetryAfterS
	}
	return response
}
