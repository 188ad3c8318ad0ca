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

// retryPause is the pause before a request is retried, unless the controller asks for a longer one.
const retryPause = time.Second

// controllerClient sends requests to controllers. Each retry goes to the next controller in the list.
type controllerClient struct {
	// controllers are the addresses (host:port) of the controllers, in the order in which they are tried.
	controllers []string
	// asJSON makes commands print the JSON of the response instead of a summary.
	asJSON bool
	// timeout limits a request including its retries, and the whole run of a command that polls.
	timeout time.Duration
}

// addFlags adds the flags that are common to all commands that send requests to controllers.
func (client *controllerClient) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&client.controllers, "node", []string{"127.0.0.1:8080"}, "address of a controller; may be given several times")
	cmd.Flags().BoolVar(&client.asJSON, "json", false, "print the controller's answer as JSON")
	cmd.Flags().DurationVar(&client.timeout, "wait", tuning.ClientTotalTimeout, "how long to try in all")
}

// errNoController reports that no controller address is set or that no request could be sent in time.
var errNoController = errors.New("no controller given")

// request sends a request and retries it, each time with the next controller, until a controller gives a final response
// or the timeout expires. It returns the status code and the body of the response.
func (client *controllerClient) request(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, stop := context.WithTimeout(ctx, client.timeout)
	defer stop()
	if len(client.controllers) == 0 {
		return 0, nil, withExitCode(ExitUsage, errNoController)
	}
	dialer := &net.Dialer{Timeout: tuning.DialTimeout}
	httpClient := &http.Client{Timeout: tuning.ClientRequestTimeout, Transport: &http.Transport{DialContext: dialer.DialContext}}
	lastErr := errNoController
	for attempt := 0; ; attempt++ {
		url := "http://" + client.controllers[attempt%len(client.controllers)] + path
		status, raw, err := sendOnce(ctx, httpClient, method, url, body)
		retry, retryable := errors.AsType[*retryableError](err)
		if !retryable {
			return status, raw, err
		}
		if ctx.Err() == nil {
			lastErr = retry.error
		}
		select {
		case <-ctx.Done():
			return 0, nil, withExitCode(ExitFailed, fmt.Errorf("no answer within %v: %w", client.timeout, lastErr))
		case <-time.After(retry.pause):
		}
	}
}

// retryableError is the error of a request that should be retried after a pause.
type retryableError struct {
	error
	pause time.Duration
}

// Unwrap returns the underlying error.
func (e *retryableError) Unwrap() error { return e.error }

// sendOnce sends a request once, to one controller, and returns the status code and the body of the response. If there
// is no response, or one with status 429 or 5xx, the error is a *retryableError.
func sendOnce(ctx context.Context, httpClient *http.Client, method, url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, withExitCode(ExitUsage, err)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil, &retryableError{err, retryPause}
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, tuning.MaxResponseBytes))
	_ = response.Body.Close() // The body has been read, so an error of Close has no effect.
	if err != nil {
		return 0, nil, &retryableError{err, retryPause}
	}
	if status := response.StatusCode; status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		refusal := fmt.Errorf("status %d: %s", status, errorMessage(raw))
		return 0, nil, &retryableError{refusal, retryAfter(response)}
	}
	return response.StatusCode, raw, nil
}

// retryAfter returns the pause that the Retry-After header of a response asks for, or retryPause if the header is
// missing or is not a positive number of seconds.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return retryPause
	}
	return time.Duration(seconds) * time.Second
}

// errorMessage returns the error text in the body of a response, or the whole body if it is not an api.Error.
func errorMessage(raw []byte) string {
	var refusal api.Error
	if json.Unmarshal(raw, &refusal) == nil && refusal.Error != "" {
		return refusal.Error
	}
	return string(bytes.TrimSpace(raw))
}

// refusedError returns the error for a response that refuses a request permanently; a retry would not help.
func refusedError(status int, raw []byte) error {
	return withExitCode(ExitRefused, fmt.Errorf("refused (status %d): %s", status, errorMessage(raw)))
}

// decodeAnswer decodes the JSON body of a response.
func decodeAnswer(raw []byte, target any) error {
	if err := json.Unmarshal(raw, target); err != nil {
		return withExitCode(ExitFailed, fmt.Errorf("malformed answer: %w", err))
	}
	return nil
}

// requestAndDecode sends a request and decodes the response. If the user asked for JSON, it prints the response instead
// and returns printed as true. notFoundError builds the error for status 404 from the error text of the response.
func (client *controllerClient) requestAndDecode(cmd *cobra.Command, method, path string, body []byte, target any, notFoundError func(why string) error) (printed bool, err error) {
	status, raw, err := client.request(cmd.Context(), method, path, body)
	switch {
	case err != nil:
		return false, err
	case status == http.StatusNotFound:
		return false, notFoundError(errorMessage(raw))
	case status != http.StatusOK && status != http.StatusCreated:
		return false, refusedError(status, raw)
	case client.asJSON:
		return true, printRaw(cmd, raw)
	}
	return false, decodeAnswer(raw, target)
}

// errNotFound returns the error for a job or revision that does not exist, with the error text of the controller.
func errNotFound(message string) error { return withExitCode(ExitNotFound, errors.New(message)) }
