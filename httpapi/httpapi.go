// Package httpapi is the port for users, workers and health checks.
package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"switchferry/api"
	"switchferry/connlimit"
	"switchferry/controller"
	"switchferry/peer"
	"switchferry/tuning"
)

// Paths of workers and agents.
const (
	heartbeatPath      = "/v1/report"
	stageHeartbeatPath = "/v1/staging"
)

// Controller is what the port serves.
type Controller interface {
	Ready() bool
	HandleHeartbeat(ctx context.Context, r *api.Heartbeat, raw []byte) (status int, body any)
	Handle(ctx context.Context, r peer.Request, forwarded bool) peer.Response
	// DataOn tells whether datasets are on; only then their paths exist. HandleStageHeartbeat answers
	// an agent's report.
	DataOn() bool
	// TopologyOn and MembersOn tell whether a topology is declared, and membership on; only then
	// their paths exist.
	TopologyOn() bool
	MembersOn() bool
	// ConfigurationOn tells whether the configuration can change while the node runs.
	ConfigurationOn() bool
	HandleStageHeartbeat(ctx context.Context, r *api.StageHeartbeat, raw []byte) (status int, body any)
}

// New makes the port's handler, which keeps to a budget of sockets.
func New(backend Controller, budget *connlimit.Limiter) http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = writeError
	router.Use(classifyConnections(budget))
	registerUserPaths(router, backend)
	router.GET("/ready", func(c echo.Context) error {
		if backend.Ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	router.POST(heartbeatPath, func(c echo.Context) error { return serveHeartbeat(c, backend) })
	if backend.DataOn() {
		router.POST(stageHeartbeatPath, func(c echo.Context) error { return serveStageHeartbeat(c, backend) })
	}
	return router
}

// writeError answers what no handler did.
func writeError(err error, c echo.Context) {
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	if !c.Response().Committed {
		_ = c.JSON(status, api.Error{Error: http.StatusText(status)})
	}
}

// classifyConnections tells the budget whose each connection is.
func classifyConnections(budget *connlimit.Limiter) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			class := connlimit.User
			if p := c.Path(); p == heartbeatPath || p == stageHeartbeatPath {
				class = connlimit.Worker
				if budget.NearLimit() {
					// It can come anew with its next report; a user's socket cannot wait.
					c.Response().Header().Set("Connection", "close")
				}
			}
			budget.Classify(connlimit.FromContext(c.Request().Context()), class)
			return next(c)
		}
	}
}

// registerUserPaths adds what users and operators ask for, as far as it is on.
func registerUserPaths(router *echo.Echo, backend Controller) {
	user := func(verb string) echo.HandlerFunc {
		return func(c echo.Context) error { return serveUser(c, backend, verb) }
	}
	router.POST("/submissions", user(controller.VerbSubmit))
	router.GET("/submissions/:id", user(controller.VerbStatus))
	router.POST("/submissions/:id/cancel", user(controller.VerbCancel))
	router.GET("/submissions/:id/explanation", user(controller.VerbExplain))
	if backend.MembersOn() {
		router.GET("/members", user(controller.VerbMembers))
	}
	if backend.ConfigurationOn() {
		router.GET("/configuration", user(controller.VerbConfiguration))
		router.GET("/configuration/:id", user(controller.VerbConfiguration))
		router.POST("/configuration", user(controller.VerbConfigure))
	}
	if backend.TopologyOn() {
		router.GET("/topology", user(controller.VerbTopology))
	}
	if backend.DataOn() {
		router.GET("/datasets", user(controller.VerbData))
		router.POST("/datasets", user(controller.VerbRegister))
		router.POST("/datasets/:id/remove", user(controller.VerbRemove))
	}
}

// verbsWithBody are the verbs whose requests have a body.
var verbsWithBody = map[string]bool{controller.VerbSubmit: true, controller.VerbRegister: true, controller.VerbConfigure: true}

// serveUser answers a user's request.
func serveUser(c echo.Context, backend Controller, verb string) error {
	request := peer.Request{Verb: verb, Job: c.Param("id")}
	if verbsWithBody[verb] {
		body, err := readBody(c, tuning.BodyLimit, errBodyTooLong)
		if err != nil {
			return c.JSON(http.StatusBadRequest, api.Error{Error: err.Error(), Field: "body"})
		}
		request.Body = body
	}
	began := time.Now()
	response := backend.Handle(c.Request().Context(), request, false)
	if response.RetryAfterS > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(response.RetryAfterS))
	}
	slog.Debug("answered", "verb", verb, "job", request.Job, "status", response.Status, "took", time.Since(began).Round(time.Millisecond), "body", string(response.Body))
	return c.JSONBlob(response.Status, response.Body)
}

// checkable is a report that can tell whether anything can be done with it.
type checkable interface{ Check() error }

// readHeartbeat takes in a report of at most so many bytes; false: it is malformed, which was answered.
func readHeartbeat(c echo.Context, heartbeat checkable, limit int, tooLong error, of string) (body []byte, ok bool, err error) {
	body, err = readBody(c, limit, tooLong)
	if err == nil {
		err = json.Unmarshal(body, heartbeat)
	}
	if err == nil {
		err = heartbeat.Check()
	}
	if err != nil {
		slog.Error("malformed report of "+of, "from", c.Request().RemoteAddr, "err", err)
		return nil, false, c.JSON(http.StatusBadRequest, api.Error{Error: err.Error()})
	}
	return body, true, nil
}

// serveHeartbeat answers a worker.
func serveHeartbeat(c echo.Context, backend Controller) error {
	var heartbeat api.Heartbeat
	body, ok, err := readHeartbeat(c, &heartbeat, tuning.BodyLimit, errBodyTooLong, "a worker")
	if !ok {
		return err
	}
	status, response := backend.HandleHeartbeat(c.Request().Context(), &heartbeat, body)
	return c.JSON(status, response)
}

// serveStageHeartbeat answers an agent.
func serveStageHeartbeat(c echo.Context, backend Controller) error {
	var heartbeat api.StageHeartbeat
	body, ok, err := readHeartbeat(c, &heartbeat, tuning.OrderLimit, errHeartbeatTooLong, "an agent")
	if !ok {
		return err
	}
	status, response := backend.HandleStageHeartbeat(c.Request().Context(), &heartbeat, body)
	return c.JSON(status, response)
}

var (
	errBodyTooLong      = errors.New("the body is over 64 KiB")
	errHeartbeatTooLong = errors.New("the report is over 1 MiB")
)

// readBody takes in a body of at most so many bytes.
func readBody(c echo.Context, limit int, tooLong error) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = tooLong
	}
	return body, err
}

// Serve runs the port until the context ends. Connections of l that a budget counts are told to it.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, budget *connlimit.Limiter) error {
	server := &http.Server{Handler: handler, ConnContext: connlimit.Context, ConnState: budget.State, ReadHeaderTimeout: tuning.HeaderTimeout, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
