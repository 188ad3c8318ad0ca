package peer

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// JSONResponse returns a response with a status and body encoded as JSON. A body that cannot be encoded gives the
// response of RetryLater.
func JSONResponse(status int, body any) Response {
	raw, err := json.Marshal(body)
	if err != nil {
		return RetryLater("internal error")
	}
	return Response{Status: status, Body: raw}
}

// RetryLater returns a 503 that asks the user to come back after the usual pause.
func RetryLater(why string) Response {
	response := JSONResponse(http.StatusServiceUnavailable, api.Error{Error: why})
	response.RetryAfterS = tuning.RetryAfterS
	return response
}

// RetryLaterAfter is RetryLater with the pause that the work ahead is expected to take. The pause lies between the usual
// one and the longest that users heed.
func RetryLaterAfter(why string, after time.Duration) Response {
	response := RetryLater(why)
	response.RetryAfterS = min(tuning.RetryAfterMost, max(response.RetryAfterS, int(math.Ceil(after.Seconds()))))
	return response
}

// Refusal returns an error response that names the field of an api.FieldError.
func Refusal(status int, err error) Response {
	body := api.Error{Error: err.Error()}
	if field, ok := errors.AsType[*api.FieldError](err); ok {
		body.Field = field.Field
	}
	return JSONResponse(status, body)
}
