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
