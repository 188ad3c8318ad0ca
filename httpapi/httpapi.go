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
	reportPath  = "/v1/report"
	stagingPath = "/v1/staging"
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
func New(n Controller, budget *connlimit.Limiter) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = answerError
	e.Use(countSockets(budget))
	addUserPaths(e, n)
	e.GET("/ready", func(c echo.Context) error {
		if n.Ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	e.POST(reportPath, func(c echo.Context) error { return report(c, n) })
	if n.DataOn() {
		e.POST(stagingPath, func(c echo.Context) error { return stage(c, n) })
	}
	return e
}

// answerError answers what no handler did.
func answerError(err error, c echo.Context) {
	status := http.StatusInternalServerError
	var he *echo.HTTPError
	if errors.As(err, &he) {
		status = he.Code
	}
	if !c.Response().Committed {
		_ = c.JSON(status, api.Error{Error: http.StatusText(status)})
	}
}

// countSockets tells the budget whose each connection is.
func countSockets(budget *connlimit.Limiter) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			class := connlimit.User
			if p := c.Path(); p == reportPath || p == stagingPath {
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

// addUserPaths adds what users and operators ask for, as far as it is on.
func addUserPaths(e *echo.Echo, n Controller) {
	user := func(verb string) echo.HandlerFunc {
		return func(c echo.Context) error { return ask(c, n, verb) }
	}
	e.POST("/submissions", user(controller.VerbSubmit))
	e.GET("/submissions/:id", user(controller.VerbStatus))
	e.POST("/submissions/:id/cancel", user(controller.VerbCancel))
	e.GET("/submissions/:id/explanation", user(controller.VerbExplain))
	if n.MembersOn() {
		e.GET("/members", user(controller.VerbMembers))
	}
	if n.ConfigurationOn() {
		e.GET("/configuration", user(controller.VerbConfiguration))
		e.GET("/configuration/:id", user(controller.VerbConfiguration))
		e.POST("/configuration", user(controller.VerbConfigure))
	}
	if n.TopologyOn() {
		e.GET("/topology", user(controller.VerbTopology))
	}
	if n.DataOn() {
		e.GET("/datasets", user(controller.VerbData))
		e.POST("/datasets", user(controller.VerbRegister))
		e.POST("/datasets/:id/remove", user(controller.VerbRemove))
	}
}

// withBody are the verbs whose requests have a body.
var withBody = map[string]bool{controller.VerbSubmit: true, controller.VerbRegister: true, controller.VerbConfigure: true}

// ask answers a user's request.
func ask(c echo.Context, n Controller, verb string) error {
	r := peer.Request{Verb: verb, Job: c.Param("id")}
	if withBody[verb] {
		body, err := read(c, tuning.BodyLimit, errTooLong)
		if err != nil {
			return c.JSON(http.StatusBadRequest, api.Error{Error: err.Error(), Field: "body"})
		}
		r.Body = body
	}
	began := time.Now()
	a := n.Handle(c.Request().Context(), r, false)
	if a.RetryAfterS > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(a.RetryAfterS))
	}
	slog.Debug("answered", "verb", verb, "job", r.Job, "status", a.Status, "took", time.Since(began).Round(time.Millisecond), "body", string(a.Body))
	return c.JSONBlob(a.Status, a.Body)
}

// checked is a report that can tell whether anything can be done with it.
type checked interface{ Check() error }

// readReport takes in a report of at most so many bytes; false: it is malformed, which was answered.
func readReport(c echo.Context, r checked, limit int, tooLong error, of string) (body []byte, ok bool, err error) {
	body, err = read(c, limit, tooLong)
	if err == nil {
		err = json.Unmarshal(body, r)
	}
	if err == nil {
		err = r.Check()
	}
	if err != nil {
		slog.Error("malformed report of "+of, "from", c.Request().RemoteAddr, "err", err)
		return nil, false, c.JSON(http.StatusBadRequest, api.Error{Error: err.Error()})
	}
	return body, true, nil
}

// report answers a worker.
func report(c echo.Context, n Controller) error {
	var r api.Heartbeat
	body, ok, err := readReport(c, &r, tuning.BodyLimit, errTooLong, "a worker")
	if !ok {
		return err
	}
	status, ans := n.HandleHeartbeat(c.Request().Context(), &r, body)
	return c.JSON(status, ans)
}

// stage answers an agent.
func stage(c echo.Context, n Controller) error {
	var r api.StageHeartbeat
	body, ok, err := readReport(c, &r, tuning.OrderLimit, errReportTooLong, "an agent")
	if !ok {
		return err
	}
	status, ans := n.HandleStageHeartbeat(c.Request().Context(), &r, body)
	return c.JSON(status, ans)
}

var (
	errTooLong       = errors.New("the body is over 64 KiB")
	errReportTooLong = errors.New("the report is over 1 MiB")
)

// read takes in a body of at most so many bytes.
func read(c echo.Context, limit int, tooLong error) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = tooLong
	}
	return body, err
}

// Serve runs the port until the context ends. Connections of l that a budget counts are told to it.
func Serve(ctx context.Context, l net.Listener, h http.Handler, budget *connlimit.Limiter) error {
	s := &http.Server{Handler: h, ConnContext: connlimit.Context, ConnState: budget.State, ReadHeaderTimeout: tuning.HeaderTimeout, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
