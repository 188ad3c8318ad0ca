package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/configuration/httpapi"
	"switchferry/configuration/revisions"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/tuning"
)

// newRevisionStore switches live configuration on; it is called before Run.
func (c *Controller) newRevisionStore() {
	c.revisions = revisions.New(c.client, c.clock, c.fileConfiguration[0], c.settings.Facts.State)
	c.versions.Configuration = true
}

// ConfigurationOn tells whether the configuration can change while this controller runs.
func (c *Controller) ConfigurationOn() bool { return c.revisions != nil }

// currentApplier is what changes the configuration in the present term; nil: this controller does not lead.
func (c *Controller) currentApplier() *revisions.Applier {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applier
}

// configurationLeader is a term's side of a change.
type configurationLeader struct {
	n    *Controller
	core *scheduler.Scheduler
}

// Condition holds while the term lasts.
func (l *configurationLeader) Condition() (store.Condition, bool) {
	return recordSource{l.core, l.n}.Condition()
}

// Adopt has the term's decisions go by a configuration. What it lacks is as this controller's files have it, also where the
// revision before had something else.
func (l *configurationLeader) Adopt(active *configuration.Active) (undecided func() int) {
	return l.core.ApplyConfiguration(l.n.withFileDefaults(active))
}

// withFileDefaults returns a configuration in which the files stand in for what the revision leaves out.
func (c *Controller) withFileDefaults(active *configuration.Active) *configuration.Active {
	complete := *active
	if complete.Topology == nil && c.topology != nil {
		complete.Topology = c.topology.Map()
	}
	if complete.AheadTasks == nil {
		complete.AheadTasks = &c.data.Ahead
	}
	return &complete
}

// Peers are all other controllers.
func (l *configurationLeader) Peers() (members []string) {
	for _, s := range l.n.settings.Peers {
		members = append(members, s.Member)
	}
	return members
}

// RefreshPeer has a sibling look for the newest revision now.
func (l *configurationLeader) RefreshPeer(ctx context.Context, member string, _ uint64) (revision uint64, err error) {
	a, err := l.n.peers.Ask(ctx, member, peer.Request{Verb: verbConfirm, From: l.n.settings.Member}, tuning.PeerTimeout)
	if err != nil {
		return 0, err
	}
	if a.Status != http.StatusOK {
		return 0, fmt.Errorf("%s answers with status %d", member, a.Status)
	}
	return revision, json.Unmarshal(a.Body, &revision)
}

// reapplyConfiguration has the leader go by its present configuration once more, after the topology file has changed.
func (c *Controller) reapplyConfiguration(sched *scheduler.Scheduler) {
	if applier := c.currentApplier(); applier != nil {
		applier.Reapply()
		return
	}
	sched.ReplaceTopology(c.topology.Map())
}

// handleConfiguration serves requests about the configuration.
func (c *Controller) handleConfiguration(ctx context.Context, r peer.Request, forwarded bool) peer.Response {
	if c.revisions == nil {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "live configuration is off"})
	}
	if r.Verb == verbConfirm {
		number, err := c.revisions.Refresh(ctx)
		if err != nil {
			return peer.RetryLater("the state service is out of reach")
		}
		return peer.JSONResponse(http.StatusOK, number)
	}
	if r.Verb == VerbConfiguration && r.Job != "" {
		return encodeResponse(c.configurationHandler().Revision(ctx, r.Job))
	}
	applier := c.currentApplier()
	switch {
	case applier == nil && r.Verb == VerbConfigure:
		return c.forwardToLeader(ctx, r, forwarded)
	case applier == nil && !forwarded:
		if a := c.forwardToLeader(ctx, r, forwarded); a.Status == http.StatusOK {
			return a
		}
		// Nobody leads: the records tell.
		if _, err := c.revisions.Refresh(ctx); err != nil {
			return peer.RetryLater("the state service is out of reach")
		}
		return peer.JSONResponse(http.StatusOK, c.configurationHandler().Present(nil))
	case r.Verb == VerbConfiguration:
		return peer.JSONResponse(http.StatusOK, c.configurationHandler().Present(applier))
	}
	return encodeResponse(c.configurationHandler().Change(ctx, applier, r.Body))
}

func (c *Controller) configurationHandler() *httpapi.Handler {
	return &httpapi.Handler{Store: c.revisions, Versions: c.versions, TopologyOn: c.topology != nil, DataOn: c.data.On}
}
