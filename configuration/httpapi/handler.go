// Package httpapi answers operators' requests about the configuration: it turns what package keeper knows and does into
// statuses and bodies, as docs/configuration-operators.md has them. A status of 503 means: come back.
package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/configuration/revisions"
	"switchferry/upgrade"
)

// History asks, in place of a revision's number, for the last revisions.
const History = "history"

// Handler answers for one controller.
type Handler struct {
	Store    *revisions.Store
	Versions *upgrade.VersionRegistry
	// TopologyOn and DataOn tell whether these features are on: what needs them can only be configured then.
	TopologyOn, DataOn bool
}

// Present is the present configuration and how far the last change has come.
func (h *Handler) Present(applier *revisions.Applier) api.ConfigurationView {
	revision, newest, rejection := h.Store.Current()
	view := api.ConfigurationView{Newest: newest, NotTaken: rejection, Leader: applier != nil}
	if revision != nil {
		view.Revision, view.By, view.Why, view.AtMS, view.Document = revision.Number, revision.By, revision.Why, revision.AtMS, revision.Document
	}
	if applier != nil {
		view.InForce = true
		if progress, ok := applier.Progress(); ok && progress.Revision == view.Revision {
			view.InForce, view.WaitsFor = progress.InForce, progress.WaitsFor
		}
	}
	return view
}

// Revision answers from the records.
func (h *Handler) Revision(ctx context.Context, which string) (status int, body any) {
	if which == History {
		history, err := h.Store.History(ctx)
		if err != nil {
			return http.StatusServiceUnavailable, api.Error{Error: "the state service is out of reach"}
		}
		views := []api.ConfigurationView{}
		for _, revision := range history {
			views = append(views, api.ConfigurationView{Revision: revision.Number, By: revision.By, Why: revision.Why, AtMS: revision.AtMS})
		}
		return http.StatusOK, views
	}
	number, err := strconv.ParseUint(which, 10, 64)
	if err != nil || number == 0 {
		return http.StatusBadRequest, api.Error{Error: fmt.Sprintf("%q is no revision; revisions are numbered from 1", which), Field: "revision"}
	}
	revision, err := h.Store.Revision(ctx, number)
	switch {
	case errors.Is(err, configuration.ErrDamaged), errors.Is(err, configuration.ErrNewer):
		return http.StatusNotFound, api.Error{Error: err.Error() + "; the last 50 revisions are kept"}
	case err != nil:
		return http.StatusServiceUnavailable, api.Error{Error: "the state service is out of reach"}
	}
	return http.StatusOK, api.ConfigurationView{Revision: revision.Number, By: revision.By, Why: revision.Why, AtMS: revision.AtMS, Document: revision.Document}
}

// Change makes a change as the leader.
func (h *Handler) Change(ctx context.Context, applier *revisions.Applier, body []byte) (status int, answer any) {
	var request api.ConfigurationRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return http.StatusBadRequest, api.Error{Error: "the body must be a JSON object with a document", Field: "body"}
	}
	document, err := configuration.Parse(request.Document)
	if err == nil {
		err = h.checkFeatures(document)
	}
	if err != nil {
		return http.StatusBadRequest, api.ConfigurationMistakes{Error: "the document has mistakes; nothing was changed", Mistakes: fieldErrorViews(err)}
	}
	without, err := h.Versions.WithoutConfiguration(ctx)
	if err != nil {
		return http.StatusServiceUnavailable, api.Error{Error: revisions.ErrUnavailable.Error()}
	}
	if len(without) > 0 {
		return http.StatusServiceUnavailable, api.Error{Error: "the configuration can only change once all controllers run a version that knows of it, with [configuration] on; not seen yet of " + strings.Join(without, ", ")}
	}
	made, err := applier.Apply(ctx, revisions.Request{Document: document, By: request.By, Why: request.Why, Expect: request.Expect})
	switch {
	case errors.Is(err, revisions.ErrConflict):
		return http.StatusConflict, h.conflictAnswer(document, err)
	case err != nil:
		slog.Info("configuration not changed", "by", request.By, "err", err)
		return http.StatusServiceUnavailable, api.Error{Error: err.Error()}
	case made.InForce:
		return http.StatusOK, made
	}
	return http.StatusAccepted, made
}

// checkFeatures finds sections that need a feature which is off.
func (h *Handler) checkFeatures(document *configuration.Document) error {
	var fieldErrors configuration.FieldErrors
	if document.Topology != nil && !h.TopologyOn {
		fieldErrors = append(fieldErrors, configuration.FieldError{Field: "topology", Remedy: "no topology is on; name a file under [topology] in the features file first, or leave the section out"})
	}
	if document.Switches.AheadTasks != nil && !h.DataOn {
		fieldErrors = append(fieldErrors, configuration.FieldError{Field: "features.ahead_tasks", Remedy: "datasets are off; set on = true under [data] in the features file first, or leave it out"})
	}
	if len(fieldErrors) == 0 {
		return nil
	}
	return fieldErrors
}

func fieldErrorViews(err error) (views []api.ConfigurationMistake) {
	var fieldErrors configuration.FieldErrors
	if !errors.As(err, &fieldErrors) {
		fieldErrors = configuration.FieldErrors{{Field: "document", Remedy: err.Error()}}
	}
	for _, fieldError := range fieldErrors {
		views = append(views, api.ConfigurationMistake{Line: fieldError.Line, Field: fieldError.Field, Remedy: fieldError.Remedy})
	}
	return views
}

// conflictAnswer tells whoever lost against another change what that one was.
func (h *Handler) conflictAnswer(wanted *configuration.Document, err error) api.ConfigurationConflict {
	conflict := api.ConfigurationConflict{Error: err.Error()}
	revision, _, _ := h.Store.Current()
	if revision == nil {
		return conflict
	}
	conflict.Revision, conflict.By, conflict.Why = revision.Number, revision.By, revision.Why
	if present, parseErr := configuration.Parse(revision.Document); parseErr == nil {
		for _, difference := range configuration.Differences(present, wanted) {
			conflict.Differences = append(conflict.Differences, difference.String())
		}
	}
	return conflict
}
