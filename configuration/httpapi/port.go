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
func (p *Handler) Present(applier *revisions.Applier) api.ConfigurationView {
	revision, newest, trouble := p.Store.Current()
	v := api.ConfigurationView{Newest: newest, NotTaken: trouble, Leader: applier != nil}
	if revision != nil {
		v.Revision, v.By, v.Why, v.AtMS, v.Document = revision.Number, revision.By, revision.Why, revision.AtMS, revision.Document
	}
	if applier != nil {
		v.InForce = true
		if progress, ok := applier.Progress(); ok && progress.Revision == v.Revision {
			v.InForce, v.WaitsFor = progress.InForce, progress.WaitsFor
		}
	}
	return v
}

// Revision answers from the records.
func (p *Handler) Revision(ctx context.Context, which string) (status int, body any) {
	if which == History {
		all, err := p.Store.History(ctx)
		if err != nil {
			return http.StatusServiceUnavailable, api.Error{Error: "the state service is out of reach"}
		}
		out := []api.ConfigurationView{}
		for _, r := range all {
			out = append(out, api.ConfigurationView{Revision: r.Number, By: r.By, Why: r.Why, AtMS: r.AtMS})
		}
		return http.StatusOK, out
	}
	number, err := strconv.ParseUint(which, 10, 64)
	if err != nil || number == 0 {
		return http.StatusBadRequest, api.Error{Error: fmt.Sprintf("%q is no revision; revisions are numbered from 1", which), Field: "revision"}
	}
	r, err := p.Store.Revision(ctx, number)
	switch {
	case errors.Is(err, configuration.ErrDamaged), errors.Is(err, configuration.ErrNewer):
		return http.StatusNotFound, api.Error{Error: err.Error() + "; the last 50 revisions are kept"}
	case err != nil:
		return http.StatusServiceUnavailable, api.Error{Error: "the state service is out of reach"}
	}
	return http.StatusOK, api.ConfigurationView{Revision: r.Number, By: r.By, Why: r.Why, AtMS: r.AtMS, Document: r.Document}
}

// Change makes a change as the leader.
func (p *Handler) Change(ctx context.Context, applier *revisions.Applier, body []byte) (status int, answer any) {
	var request api.ConfigurationRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return http.StatusBadRequest, api.Error{Error: "the body must be a JSON object with a document", Field: "body"}
	}
	document, err := configuration.Parse(request.Document)
	if err == nil {
		err = p.cannotUse(document)
	}
	if err != nil {
		return http.StatusBadRequest, api.ConfigurationMistakes{Error: "the document has mistakes; nothing was changed", Mistakes: mistakesOf(err)}
	}
	without, err := p.Versions.WithoutConfiguration(ctx)
	if err != nil {
		return http.StatusServiceUnavailable, api.Error{Error: revisions.ErrUnavailable.Error()}
	}
	if len(without) > 0 {
		return http.StatusServiceUnavailable, api.Error{Error: "the configuration can only change once all controllers run a version that knows of it, with [configuration] on; not seen yet of " + strings.Join(without, ", ")}
	}
	made, err := applier.Apply(ctx, revisions.Request{Document: document, By: request.By, Why: request.Why, Expect: request.Expect})
	switch {
	case errors.Is(err, revisions.ErrConflict):
		return http.StatusConflict, p.conflict(document, err)
	case err != nil:
		slog.Info("configuration not changed", "by", request.By, "err", err)
		return http.StatusServiceUnavailable, api.Error{Error: err.Error()}
	case made.InForce:
		return http.StatusOK, made
	}
	return http.StatusAccepted, made
}

// cannotUse finds sections that need a feature which is off.
func (p *Handler) cannotUse(d *configuration.Document) error {
	var bad configuration.FieldErrors
	if d.Topology != nil && !p.TopologyOn {
		bad = append(bad, configuration.FieldError{Field: "topology", Remedy: "no topology is on; name a file under [topology] in the features file first, or leave the section out"})
	}
	if d.Switches.AheadTasks != nil && !p.DataOn {
		bad = append(bad, configuration.FieldError{Field: "features.ahead_tasks", Remedy: "datasets are off; set on = true under [data] in the features file first, or leave it out"})
	}
	if len(bad) == 0 {
		return nil
	}
	return bad
}

func mistakesOf(err error) (out []api.ConfigurationMistake) {
	var all configuration.FieldErrors
	if !errors.As(err, &all) {
		all = configuration.FieldErrors{{Field: "document", Remedy: err.Error()}}
	}
	for _, m := range all {
		out = append(out, api.ConfigurationMistake{Line: m.Line, Field: m.Field, Remedy: m.Remedy})
	}
	return out
}

// conflict tells whoever lost against another change what that one was.
func (p *Handler) conflict(wanted *configuration.Document, err error) api.ConfigurationConflict {
	out := api.ConfigurationConflict{Error: err.Error()}
	revision, _, _ := p.Store.Current()
	if revision == nil {
		return out
	}
	out.Revision, out.By, out.Why = revision.Number, revision.By, revision.Why
	if present, perr := configuration.Parse(revision.Document); perr == nil {
		for _, d := range configuration.Differences(present, wanted) {
			out.Differences = append(out.Differences, d.String())
		}
	}
	return out
}
