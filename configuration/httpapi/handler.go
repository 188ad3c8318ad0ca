// Package httpapi answers operators' HTTP requests about the configuration. It maps the results of
// package revisions to the statuses and bodies that docs/configuration-operators.md describes. A status
// of 503 asks the client to retry.
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
	"switchferry/tuning"
	"switchferry/upgrade"
)

// History is the identifier that requests the list of the last revisions from Handler.Revision.
const History = "history"

// stateUnreachable is the error text of an answer that failed because the state service did not
// respond.
const stateUnreachable = "the state service is out of reach"

// Handler answers configuration requests on one controller. Its methods are safe for concurrent use.
type Handler struct {
	Store    *revisions.Store
	Versions *upgrade.VersionRegistry
	// TopologyOn and DataOn report whether these features are on. A document may contain the settings
	// of a feature only if the feature is on.
	TopologyOn, DataOn bool
}

// Current returns the current configuration and, on the leader, the progress of the last change. The
// applier is nil on a controller that does not lead.
func (h *Handler) Current(applier *revisions.Applier) api.ConfigurationView {
	revision, newest, rejection := h.Store.Current()
	var view api.ConfigurationView
	if revision != nil {
		view = viewOf(revision)
	}
	view.Newest, view.NotAppliedReason, view.FromLeader = newest, rejection, applier != nil
	if applier != nil {
		view.InForce = true
		if progress, ok := applier.Progress(); ok && progress.Revision == view.Revision {
			view.InForce, view.WaitsFor = progress.InForce, progress.WaitsFor
		}
	}
	return view
}

// viewOf returns the API view of a revision.
func viewOf(revision *configuration.Revision) api.ConfigurationView {
	return api.ConfigurationView{
		Revision:    revision.Number,
		Operator:    revision.Operator,
		Reason:      revision.Reason,
		AppliedAtMS: revision.AtMS,
		Document:    revision.Document,
	}
}

// Revision returns the status and body of the answer for one stored revision, whose number the
// identifier is, or for the last revisions if the identifier is History.
func (h *Handler) Revision(ctx context.Context, identifier string) (status int, body any) {
	if identifier == History {
		return h.history(ctx)
	}
	number, err := strconv.ParseUint(identifier, 10, 64)
	if err != nil || number == 0 {
		return http.StatusBadRequest, api.Error{Error: fmt.Sprintf("%q is no revision; revisions are numbered from 1", identifier), Field: "revision"}
	}
	revision, err := h.Store.Revision(ctx, number)
	switch {
	case errors.Is(err, configuration.ErrDamaged), errors.Is(err, configuration.ErrNewerFormat):
		return http.StatusNotFound, api.Error{Error: fmt.Sprintf("%v; the last %d revisions are kept", err, tuning.ConfigurationRetention)}
	case err != nil:
		return http.StatusServiceUnavailable, api.Error{Error: stateUnreachable}
	}
	return http.StatusOK, viewOf(revision)
}

// history returns the status and body of the answer for the last revisions, without their documents.
func (h *Handler) history(ctx context.Context) (status int, body any) {
	history, err := h.Store.History(ctx)
	if err != nil {
		return http.StatusServiceUnavailable, api.Error{Error: stateUnreachable}
	}
	views := []api.ConfigurationView{}
	for _, revision := range history {
		views = append(views, viewOf(revision))
	}
	return http.StatusOK, views
}

// Change applies the configuration change that a request body contains, and returns the status and body
// of the answer. It is called on the leader only.
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
		return http.StatusBadRequest, api.ConfigurationFieldErrors{Error: "the document has mistakes; nothing was changed", FieldErrors: fieldErrorViews(err)}
	}
	membersWithoutSupport, err := h.Versions.WithoutConfiguration(ctx)
	if err != nil {
		return http.StatusServiceUnavailable, api.Error{Error: revisions.ErrUnavailable.Error()}
	}
	if len(membersWithoutSupport) > 0 {
		return http.StatusServiceUnavailable, api.Error{Error: "the configuration can be changed only once all controllers run a version that supports it, with [configuration] on; not seen yet of " + strings.Join(membersWithoutSupport, ", ")}
	}
	progress, err := applier.Apply(ctx, revisions.Request{Document: document, Operator: request.Operator, Reason: request.Reason, ExpectedRevision: request.ExpectedRevision})
	switch {
	case errors.Is(err, revisions.ErrConflict):
		return http.StatusConflict, h.conflictAnswer(document, err)
	case err != nil:
		slog.Info("configuration not changed", "by", request.Operator, "err", err)
		return http.StatusServiceUnavailable, api.Error{Error: err.Error()}
	case progress.InForce:
		return http.StatusOK, progress
	}
	return http.StatusAccepted, progress
}

// checkFeatures returns configuration.FieldErrors if the document contains settings of a feature that
// is off.
func (h *Handler) checkFeatures(document *configuration.Document) error {
	var fieldErrors configuration.FieldErrors
	if document.Topology != nil && !h.TopologyOn {
		fieldErrors = append(fieldErrors, configuration.FieldError{Field: "topology", Remedy: "no topology is on; name a file under [topology] in the features file first, or leave the section out"})
	}
	if document.Features.AheadTasks != nil && !h.DataOn {
		fieldErrors = append(fieldErrors, configuration.FieldError{Field: "features.ahead_tasks", Remedy: "datasets are off; set on = true under [data] in the features file first, or leave it out"})
	}
	if len(fieldErrors) == 0 {
		return nil
	}
	return fieldErrors
}

// fieldErrorViews returns the API view of the errors in a document.
func fieldErrorViews(err error) (views []api.ConfigurationFieldError) {
	fieldErrors, ok := errors.AsType[configuration.FieldErrors](err)
	if !ok {
		fieldErrors = configuration.FieldErrors{{Field: "document", Remedy: err.Error()}}
	}
	for _, fieldError := range fieldErrors {
		views = append(views, api.ConfigurationFieldError{Line: fieldError.Line, Field: fieldError.Field, Remedy: fieldError.Remedy})
	}
	return views
}

// conflictAnswer returns the body of the answer to a change that was refused because the current
// revision is not the expected one: the current revision, and how the requested document differs
// from it.
func (h *Handler) conflictAnswer(requested *configuration.Document, err error) api.ConfigurationConflict {
	conflict := api.ConfigurationConflict{Error: err.Error()}
	revision, _, _ := h.Store.Current()
	if revision == nil {
		return conflict
	}
	conflict.Revision, conflict.Operator, conflict.Reason = revision.Number, revision.Operator, revision.Reason
	if current, parseErr := configuration.Parse(revision.Document); parseErr == nil {
		for _, difference := range configuration.Differences(current, requested) {
			conflict.Differences = append(conflict.Differences, difference.String())
		}
	}
	return conflict
}
