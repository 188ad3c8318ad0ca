package httpapi

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"

	"github.com/labstack/echo/v4"

	"switchferry/api"
	"switchferry/tuning"
)

// errHeartbeatTooLong refuses a data agent's heartbeat over tuning.OrderLimit.
var errHeartbeatTooLong = errors.New("the report is over 1 MiB")

// serveHeartbeat answers a worker.
func serveHeartbeat(c echo.Context, backend Controller) error {
	var heartbeat api.Heartbeat
	raw, err := readHeartbeat(c, &heartbeat, tuning.BodyLimit, errBodyTooLong)
	if err != nil {
		return refuseHeartbeat(c, "worker", err)
	}
	status, body := backend.HandleHeartbeat(c.Request().Context(), &heartbeat, raw)
	return c.JSON(status, body)
}

// serveStageHeartbeat answers a data agent.
func serveStageHeartbeat(c echo.Context, backend Controller) error {
	var heartbeat api.StageHeartbeat
	raw, err := readHeartbeat(c, &heartbeat, tuning.OrderLimit, errHeartbeatTooLong)
	if err != nil {
		return refuseHeartbeat(c, "agent", err)
	}
	status, body := backend.HandleStageHeartbeat(c.Request().Context(), &heartbeat, raw)
	return c.JSON(status, body)
}

// checkable is a message that can tell whether it can be handled.
type checkable interface{ Check() error }

// readHeartbeat reads, decodes and checks a heartbeat of at most limit bytes, and returns its body.
func readHeartbeat(c echo.Context, heartbeat checkable, limit int, tooLong error) ([]byte, error) {
	raw, err := readBody(c, limit, tooLong)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, heartbeat); err != nil {
		return nil, err
	}
	if err := heartbeat.Check(); err != nil {
		return nil, err
	}
	return raw, nil
}

// refuseHeartbeat answers a heartbeat that cannot be handled.
func refuseHeartbeat(c echo.Context, sender string, err error) error {
	slog.Error("malformed heartbeat", "sender", sender, "from", c.Request().RemoteAddr, "err", err)
	return c.JSON(http.StatusBadRequest, api.Error{Error: err.Error()})
}
