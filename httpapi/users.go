package httpapi

import (
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"switchferry/api"
	"switchferry/controller"
	"switchferry/peer"
	"switchferry/tuning"
)

// errBodyTooLong is returned for a request body that is longer than tuning.MaxBodyBytes.
var errBodyTooLong = errors.New("the body is over 64 KiB")

// verbsWithBody holds the verbs whose requests have a body.
var verbsWithBody = map[string]bool{
	controller.VerbSubmit:    true,
	controller.VerbRegister:  true,
	controller.VerbConfigure: true,
}

// registerUserPaths adds the paths for users and operators. The paths of an optional feature are added only if it is
// on.
func registerUserPaths(router *echo.Echo, backend Controller) {
	verb := func(verb string) echo.HandlerFunc {
		return func(call echo.Context) error { return serveUser(call, backend, verb) }
	}
	router.POST("/submissions", verb(controller.VerbSubmit))
	router.GET("/submissions/:id", verb(controller.VerbStatus))
	router.POST("/submissions/:id/cancel", verb(controller.VerbCancel))
	router.GET("/submissions/:id/explanation", verb(controller.VerbExplain))
	if backend.MembersOn() {
		router.GET("/members", verb(controller.VerbMembers))
	}
	if backend.ConfigurationOn() {
		router.GET("/configuration", verb(controller.VerbConfiguration))
		router.GET("/configuration/:id", verb(controller.VerbConfiguration))
		router.POST("/configuration", verb(controller.VerbConfigure))
	}
	if backend.TopologyOn() {
		router.GET("/topology", verb(controller.VerbTopology))
	}
	if backend.DataOn() {
		router.GET("/datasets", verb(controller.VerbData))
		router.POST("/datasets", verb(controller.VerbRegister))
		router.POST("/datasets/:id/remove", verb(controller.VerbRemove))
	}
}

// serveUser passes a request of a user or operator to the controller and writes the response.
func serveUser(call echo.Context, backend Controller, verb string) error {
	request := peer.Request{Verb: verb, Job: call.Param("id")}
	if verbsWithBody[verb] {
		body, err := readBody(call, tuning.MaxBodyBytes, errBodyTooLong)
		if err != nil {
			return call.JSON(http.StatusBadRequest, api.Error{Error: err.Error(), Field: "body"})
		}
		request.Body = body
	}
	began := time.Now()
	response := backend.Handle(call.Request().Context(), request, false)
	if response.RetryAfterS > 0 {
		call.Response().Header().Set("Retry-After", strconv.Itoa(response.RetryAfterS))
	}
	slog.Debug("answered", "verb", verb, "job", request.Job, "status", response.Status,
		"took", time.Since(began).Round(time.Millisecond), "body", string(response.Body))
	return call.JSONBlob(response.Status, response.Body)
}
