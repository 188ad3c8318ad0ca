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

// errHeartbeatTooLong is returned for a data agent's heartbeat that is longer than tuning.MaxOrderBytes.
var errHeartbeatTooLong = errors.New("the heartbeat is over 1 MiB")

// serveHeartbeat handles the heartbeat of a worker.
func serveHeartbeat(call echo.Context, backend Controller) error {
	var heartbeat api.Heartbeat
	raw, err := readHeartbeat(call, &heartbeat, tuning.MaxBodyBytes, errBodyTooLong)
	if err != nil {
		return refuseHeartbeat(call, "worker", err)
	}
	status, body := backend.HandleHeartbeat(call.Request().Context(), &heartbeat, raw)
	return call.JSON(status, body)
}

// serveStageHeartbeat handles the heartbeat of a data agent.
func serveStageHeartbeat(call echo.Context, backend Controller) error {
	var heartbeat api.StageHeartbeat
	raw, err := readHeartbeat(call, &heartbeat, tuning.MaxOrderBytes, errHeartbeatTooLong)
	if err != nil {
		return refuseHeartbeat(call, "agent", err)
	}
	status, body := backend.HandleStageHeartbeat(call.Request().Context(), &heartbeat, raw)
	return call.JSON(status, body)
}

// checkable is a message that can validate itself.
type checkable interface{ Check() error }

// readHeartbeat reads a heartbeat of at most limit bytes, decodes it into heartbeat and validates it. It returns the
// undecoded body, or the error tooLong if the body is longer.
func readHeartbeat(call echo.Context, heartbeat checkable, limit int, tooLong error) ([]byte, error) {
	raw, err := readBody(call, limit, tooLong)
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

// refuseHeartbeat logs a malformed heartbeat and answers it with status 400.
func refuseHeartbeat(call echo.Context, sender string, err error) error {
	slog.Error("malformed heartbeat", "sender", sender, "from", call.Request().RemoteAddr, "err", err)
	return call.JSON(http.StatusBadRequest, api.Error{Error: err.Error()})
}
