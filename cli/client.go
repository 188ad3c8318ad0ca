package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"switchferry/api"
	"switchferry/tuning"
)

// retryPause is the pause before a request is sent again, unless the controller asks for a longer one.
const retryPause = time.Second

// controllerClient sends requests to controllers, one after the other.
type controllerClient struct {
	// controllers are addresses.
	controllers []string
	// asJSON tells to print answers as they come.
	asJSON bool
	// timeout limits a request with all its retries.
	timeout time.Duration
}

// addFlags adds the flags of every command that asks controllers.
func (client *controllerClient) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&client.controllers, "node", []string{"127.0.0.1:8080"}, "address of a controller; may be given several times")
	cmd.Flags().BoolVar(&client.asJSON, "json", false, "print the controller's answer as JSON")
	cmd.Flags().DurationVar(&client.timeout, "wait", tuning.ClientTotal, "how long to try in all")
}

// errNoController tells that no controller could be asked.
var errNoController = errors.New("no controller given")

// request sends a request until a controller gives a final answer or the timeout is over, to the next
// controller each time. It returns the status and the body of the answer.
func (client *controllerClient) request(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, stop := context.WithTimeout(ctx, client.timeout)
	defer stop()
	if len(client.controllers) == 0 {
		return 0, nil, withExitCode(ExitUsage, errNoController)
	}
	dialer := &net.Dialer{Timeout: tuning.DialTimeout}
	httpClient := &http.Client{Timeout: tuning.ClientTimeout, Transport: &http.Transport{DialContext: dialer.DialContext}}
	last := errNoController
	for attempt := 0; ; attempt++ {
		url := "http://" + client.controllers[attempt%len(client.controllers)] + path
		status, raw, err := sendOnce(ctx, httpClient, method, url, body)
		retry, retryable := errors.AsType[*retryableError](err)
		if !retryable {
			return status, raw, err
		}
		if ctx.Err() == nil {
			last = retry.error
		}
		select {
		case <-ctx.Done():
			return 0, nil, withExitCode(ExitFailed, fmt.Errorf("no answer within %v: %w", client.timeout, last))
		case <-time.After(retry.pause):
		}
	}
}

// retryableError is the failure of a request that is to be sent again after a pause.
type retryableError struct {
	error
	pause time.Duration
}

// Unwrap returns the failure.
func (e *retryableError) Unwrap() error { return e.error }

// sendOnce sends a request to one controller. Without a final answer the error is a *retryableError.
func sendOnce(ctx context.Context, httpClient *http.Client, method, url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, withExitCode(ExitUsage, err)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil, &retryableError{err, retryPause}
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, tuning.AnswerLimit))
	_ = response.Body.Close() // All that matters was read.
	if err != nil {
		return 0, nil, &retryableError{err, retryPause}
	}
	if status := response.StatusCode; status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		refusal := fmt.Errorf("status %d: %s", status, errorMessage(raw))
		return 0, nil, &retryableError{refusal, pauseOf(response)}
	}
	return response.StatusCode, raw, nil
}

// pauseOf returns the pause that a response asks for.
func pauseOf(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return retryPause
	}
	return time.Duration(seconds) * time.Second
}

// errorMessage returns the text of a refusal's body.
func errorMessage(raw []byte) string {
	var refusal api.Error
	if json.Unmarshal(raw, &refusal) == nil && refusal.Error != "" {
		return refusal.Error
	}
	return string(bytes.TrimSpace(raw))
}

// refusedError returns the error for an answer that refuses a request for good.
func refusedError(status int, raw []byte) error {
	return withExitCode(ExitRefused, fmt.Errorf("refused (status %d): %s", status, errorMessage(raw)))
}

// decodeAnswer decodes the body of an answer.
func decodeAnswer(raw []byte, into any) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return withExitCode(ExitFailed, fmt.Errorf("malformed answer: %w", err))
	}
	return nil
}

// requestInto sends a request and decodes the answer. Printed tells that the answer was printed as JSON
// instead, as the user wants it. The function missing returns the error for a 404 with the given text.
func (client *controllerClient) requestInto(cmd *cobra.Command, method, path string, body []byte, into any, missing func(why string) error) (printed bool, err error) {
	status, raw, err := client.request(cmd.Context(), method, path, body)
	switch {
	case err != nil:
		return false, err
	case status == http.StatusNotFound:
		return false, missing(errorMessage(raw))
	case status != http.StatusOK && status != http.StatusCreated:
		return false, refusedError(status, raw)
	case client.asJSON:
		return true, printRaw(cmd, raw)
	}
	return false, decodeAnswer(raw, into)
}

// errNotFound returns the error for something that does not exist, with the controller's text.
func errNotFound(why string) error { return withExitCode(ExitNotFound, errors.New(why)) }
