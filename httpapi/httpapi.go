// Package httpapi is the HTTP port of a controller for users, operators, workers, data agents and
// health checks. It decodes and checks requests, hands them to the controller, and encodes the
// answers. What is decided about a request is the controller's matter.
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

// Paths of workers and data agents.
const (
	heartbeatPath      = "/v1/report"
	stageHeartbeatPath = "/v1/staging"
)

// Limits of a connection.
const (
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Controller handles the requests of the port. Its methods are called concurrently. Those that tell
// whether a feature is on are asked once, by New.
type Controller interface {
	// Ready tells whether the controller can take requests.
	Ready() bool
	// Handle handles a request of a user or operator; forwarded is false for those of this port.
	Handle(ctx context.Context, request peer.Request, forwarded bool) peer.Response
	// HandleHeartbeat handles the heartbeat of a worker, which raw is the body of, and returns an HTTP
	// status and what to answer as JSON.
	HandleHeartbeat(ctx context.Context, heartbeat *api.Heartbeat, raw []byte) (status int, body any)
	// HandleStageHeartbeat does the same for the heartbeat of a data agent.
	HandleStageHeartbeat(ctx context.Context, heartbeat *api.StageHeartbeat, raw []byte) (status int, body any)
	// DataOn tells whether the dataset feature is on. The paths of a feature exist only if it is.
	DataOn() bool
	// TopologyOn tells whether a topology is declared.
	TopologyOn() bool
	// MembersOn tells whether the membership feature is on.
	MembersOn() bool
	// ConfigurationOn tells whether the live configuration feature is on.
	ConfigurationOn() bool
}

// New returns the handler of the port. Every connection is reported to the budget of sockets as a user's
// or a worker's.
func New(backend Controller, budget *connlimit.Limiter) http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = writeError
	router.Use(classifyConnections(budget))
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

// writeError answers a request that no handler has answered.
func writeError(err error, call echo.Context) {
	status := http.StatusInternalServerError
	if httpError, ok := errors.AsType[*echo.HTTPError](err); ok {
		status = httpError.Code
	}
	if !call.Response().Committed {
		// The client is gone if this fails, and asks again if it still wants an answer.
		_ = call.JSON(status, api.Error{Error: http.StatusText(status)})
	}
}

// classifyConnections returns a middleware that tells the budget what kind of client a connection has.
func classifyConnections(budget *connlimit.Limiter) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(call echo.Context) error {
			class := connlimit.User
			if path := call.Path(); path == heartbeatPath || path == stageHeartbeatPath {
				class = connlimit.Worker
				if budget.NearLimit() {
					// A worker can connect anew for its next heartbeat; a user's connection cannot wait.
					call.Response().Header().Set("Connection", "close")
				}
			}
			budget.Classify(connlimit.FromContext(call.Request().Context()), class)
			return next(call)
		}
	}
}

// readBody reads a body of at most limit bytes; a longer one is the error tooLong.
func readBody(call echo.Context, limit int, tooLong error) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(call.Request().Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = tooLong
	}
	return body, err
}

// Serve runs the port on a listener until ctx ends, and then returns nil. Connections that the budget counts, which are
// those of its own listener, are reported to it.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, budget *connlimit.Limiter) error {
	server := &http.Server{
		Handler:           handler,
		ConnContext:       connlimit.Context,
		ConnState:         budget.State,
		ReadHeaderTimeout: tuning.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	go func() {
		<-ctx.Done()
		_ = server.Close() // Serve below reports whatever matters.
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
