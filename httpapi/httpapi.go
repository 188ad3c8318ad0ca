// Package httpapi serves the HTTP port of a controller for users, operators, workers, data agents and health checks. It
// decodes and validates requests, passes them to the controller, and encodes the responses. Decisions about requests
// are made by the controller.
package httpapi

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"switchferry/api"
	"switchferry/connlimit"
	"switchferry/peer"
	"switchferry/tuning"
)

// Paths to which workers and data agents send heartbeats.
const (
	heartbeatPath      = "/v1/report"
	stageHeartbeatPath = "/v1/staging"
)

// Limits of a connection.
const (
	// idleTimeout is how long a connection may be idle between requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the maximum size of a request's headers in bytes.
	maxHeaderBytes = 16 << 10
)

// Controller handles the requests that arrive at the port. Its methods are called concurrently. The methods that report
// whether a feature is on are called only by New.
type Controller interface {
	// Ready reports whether the controller can take requests.
	Ready() bool
	// Handle handles a request of a user or operator. forwarded is true if another controller has forwarded the request,
	// and therefore false for requests that arrive at this port.
	Handle(ctx context.Context, request peer.Request, forwarded bool) peer.Response
	// HandleHeartbeat handles the heartbeat of a worker, whose undecoded body is raw. It returns the HTTP status and the
	// body of the response, which is encoded as JSON.
	HandleHeartbeat(ctx context.Context, heartbeat *api.Heartbeat, raw []byte) (status int, body any)
	// HandleStageHeartbeat handles the heartbeat of a data agent. Its parameters and results are as for HandleHeartbeat.
	HandleStageHeartbeat(ctx context.Context, heartbeat *api.StageHeartbeat, raw []byte) (status int, body any)
	// DataOn reports whether the dataset feature is on. The paths of a feature exist only if it is on.
	DataOn() bool
	// TopologyOn reports whether a topology is declared.
	TopologyOn() bool
	// MembersOn reports whether the membership feature is on.
	MembersOn() bool
	// ConfigurationOn reports whether the live configuration feature is on.
	ConfigurationOn() bool
}

// New returns the HTTP handler of the port. It classifies each connection in limiter as one of a user or of a worker.
func New(backend Controller, limiter *connlimit.Limiter) http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = writeError
	router.Use(classifyConnections(limiter))
	registerUserPaths(router, backend)
	router.GET("/ready", func(call echo.Context) error {
		if backend.Ready() {
			return call.NoContent(http.StatusOK)
		}
		return call.NoContent(http.StatusServiceUnavailable)
	})
	router.POST(heartbeatPath, func(call echo.Context) error { return serveHeartbeat(call, backend) })
	if backend.DataOn() {
		router.POST(stageHeartbeatPath, func(call echo.Context) error { return serveStageHeartbeat(call, backend) })
	}
	return router
}

// writeError writes the response to a request that no handler has answered.
func writeError(err error, call echo.Context) {
	status := http.StatusInternalServerError
	if httpError, ok := errors.AsType[*echo.HTTPError](err); ok {
		status = httpError.Code
	}
	if !call.Response().Committed {
		// If this fails, the client has disconnected and may repeat its request.
		_ = call.JSON(status, api.Error{Error: http.StatusText(status)})
	}
}

// classifyConnections returns a middleware that sets the class of each request's connection in limiter, and near the
// limit asks workers to close theirs.
func classifyConnections(limiter *connlimit.Limiter) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(call echo.Context) error {
			class := connlimit.User
			if path := call.Path(); path == heartbeatPath || path == stageHeartbeatPath {
				class = connlimit.Worker
				if limiter.NearLimit() {
					// A worker can open a new connection for its next heartbeat, whereas a user must be able to connect now.
					call.Response().Header().Set("Connection", "close")
				}
			}
			limiter.Classify(connlimit.FromContext(call.Request().Context()), class)
			return next(call)
		}
	}
}

// readBody reads a body of at most limit bytes. It returns the error tooLong if the body is longer.
func readBody(call echo.Context, limit int, tooLong error) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(call.Request().Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = tooLong
	}
	return body, err
}

// Serve serves HTTP on listener until ctx ends, and then returns nil. It reports state changes of connections to
// limiter, which tracks those that its own listener accepted.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, limiter *connlimit.Limiter) error {
	server := &http.Server{
		Handler:           handler,
		ConnContext:       connlimit.ConnContext,
		ConnState:         limiter.ConnState,
		ReadHeaderTimeout: tuning.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	go func() {
		<-ctx.Done()
		_ = server.Close() // any error that matters is returned by server.Serve below
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
