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

// JSONResponse returns a response with the given status and the body encoded as JSON. If the body cannot be encoded,
// it returns the response of RetryLater.
func JSONResponse(status int, body any) Response {
	raw, err := json.Marshal(body)
	if err != nil {
		return RetryLater("internal error")
	}
	return Response{Status: status, Body: raw}
}

// RetryLater returns a response with status 503 that tells the user to retry after tuning.RetryAfterS.
func RetryLater(reason string) Response {
	response := JSONResponse(http.StatusServiceUnavailable, api.Error{Error: reason})
	response.RetryAfterS = tuning.RetryAfterS
	return response
}

// RetryLaterAfter is RetryLater with a given time until the retry. The time is rounded up to seconds and limited to the
// range from tuning.RetryAfterS to tuning.MaxRetryAfterS, the longest that users comply with.
func RetryLaterAfter(reason string, delay time.Duration) Response {
	response := RetryLater(reason)
	response.RetryAfterS = min(tuning.MaxRetryAfterS, max(response.RetryAfterS, int(math.Ceil(delay.Seconds()))))
	return response
}

// ErrorResponse returns a response with the given status and an api.Error as body. If err is an api.FieldError, the
// body names the field.
func ErrorResponse(status int, err error) Response {
	body := api.Error{Error: err.Error()}
	if field, ok := errors.AsType[*api.FieldError](err); ok {
		body.Field = field.Field
	}
	return JSONResponse(status, body)
}
