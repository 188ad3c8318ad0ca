package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/configuration/httpapi"
	"switchferry/configuration/revisions"
	"switchferry/controller/admission"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
	"switchferry/upgrade"
)

// liveConfiguration serves requests about the configuration and provides the configuration that this process uses.
type liveConfiguration struct {
	settings *settings.Settings
	clock    clockwork.Clock
	client   *store.Client
	features *optionalFeatures
	versions *upgrade.VersionRegistry
	term     *currentTerm
	leader   *leaderLocator
	// fileConfiguration has one element, the configuration from the files and settings.
	fileConfiguration []*configuration.Active
	// revisions reads and writes the revisions with which operators change the configuration while this process runs. It
	// is set before Run, and nil unless live configuration is on.
	revisions *revisions.Store
}

// newLiveConfiguration returns the configuration of a controller, with live changes off.
func newLiveConfiguration(controller *Controller) *liveConfiguration {
	return &liveConfiguration{settings: controller.settings, clock: controller.clock, client: controller.client, features: controller.features, versions: controller.versions,
		term: controller.term, leader: controller.leader, fileConfiguration: []*configuration.Active{configuration.FromFiles(controller.settings.Facts.Teams, controller.policy)}}
}

// newRevisionStore sets revisions, which switches live configuration on. It is called before Run.
func (l *liveConfiguration) newRevisionStore() {
	l.revisions = revisions.New(l.client, l.clock, l.fileConfiguration[0], l.settings.Facts.State)
	l.versions.Configuration = true
}

// ConfigurationOn reports whether the configuration can change while this controller runs.
func (c *Controller) ConfigurationOn() bool { return c.configuration.revisions != nil }

// configurationTerm gives the applier of configuration changes access to a term.
type configurationTerm struct {
	controller *Controller
	scheduler  *scheduler.Scheduler
}

// Condition returns a condition that holds while the term lasts; ok is false once the term may have ended.
func (l *configurationTerm) Condition() (store.Condition, bool) {
	return termCondition(l.controller.elector, l.scheduler)
}

// Adopt makes the scheduler use a configuration. Settings that it omits take their values from the files, even if the
// previous revision set them. The function that it returns counts the earlier decisions that are not persisted yet.
func (l *configurationTerm) Adopt(active *configuration.Active) (unpersistedCount func() int) {
	return l.scheduler.ApplyConfiguration(l.controller.configuration.withFileDefaults(active))
}

// withFileDefaults returns a copy of a configuration in which settings that the revision omits are taken from the
// files.
func (l *liveConfiguration) withFileDefaults(active *configuration.Active) *configuration.Active {
	complete := *active
	if complete.Topology == nil && l.features.topology != nil {
		complete.Topology = l.features.topology.Map()
	}
	if complete.AheadTasks == nil {
		complete.AheadTasks = &l.features.data.AheadTasks
	}
	return &complete
}

// Peers returns all other members.
func (l *configurationTerm) Peers() (members []string) {
	for _, other := range l.controller.settings.Peers {
		members = append(members, other.Member)
	}
	return members
}

// RefreshPeer makes a peer read the newest revision now, and returns the number of the revision that it found.
func (l *configurationTerm) RefreshPeer(ctx context.Context, member string, _ uint64) (revision uint64, err error) {
	response, err := l.controller.peers.Call(ctx, member, peer.Request{Verb: verbRefreshConfiguration, From: l.controller.settings.Member}, tuning.PeerTimeout)
	if err != nil {
		return 0, fmt.Errorf("ask %s for its revision: %w", member, err)
	}
	if response.Status != http.StatusOK {
		return 0, fmt.Errorf("%s answers with status %d", member, response.Status)
	}
	return revision, json.Unmarshal(response.Body, &revision)
}

// reapply makes the leader apply its current configuration again after the topology file has changed.
func (l *liveConfiguration) reapply(sched *scheduler.Scheduler) {
	if applier := l.term.applier(); applier != nil {
		applier.Reapply()
		return
	}
	sched.ReplaceTopology(l.features.topology.Map())
}

// handle serves requests about the configuration.
func (l *liveConfiguration) handle(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	if l.revisions == nil {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "live configuration is off"})
	}
	if request.Verb == verbRefreshConfiguration {
		number, err := l.revisions.Refresh(ctx)
		if err != nil {
			return peer.RetryLater("the state service is out of reach")
		}
		return peer.JSONResponse(http.StatusOK, number)
	}
	if request.Verb == VerbConfiguration && request.Job != "" {
		return encodeResponse(l.handler().Revision(ctx, request.Job))
	}
	applier := l.term.applier()
	switch {
	case applier == nil && request.Verb == VerbConfigure:
		return l.leader.forward(ctx, request, forwarded)
	case applier == nil && !forwarded:
		if response := l.leader.forward(ctx, request, forwarded); response.Status == http.StatusOK {
			return response
		}
		// Without a leader, the stored revisions determine the configuration in force.
		if _, err := l.revisions.Refresh(ctx); err != nil {
			return peer.RetryLater("the state service is out of reach")
		}
		return peer.JSONResponse(http.StatusOK, l.handler().Current(nil))
	case request.Verb == VerbConfiguration:
		return peer.JSONResponse(http.StatusOK, l.handler().Current(applier))
	}
	return encodeResponse(l.handler().Change(ctx, applier, request.Body))
}

// handler returns the handler of configuration requests.
func (l *liveConfiguration) handler() *httpapi.Handler {
	return &httpapi.Handler{Store: l.revisions, Versions: l.versions, TopologyOn: l.features.topology != nil, DataOn: l.features.data.On}
}

// CurrentRules returns the rules by which a submission is checked now. Sched is nil unless this controller certainly
// leads.
func (l *liveConfiguration) CurrentRules(sched *scheduler.Scheduler) admission.Rules {
	if l.revisions == nil {
		return admission.Rules{Configurations: l.fileConfiguration}
	}
	if applier := l.term.applier(); sched != nil && applier != nil {
		candidates := applier.Candidates()
		if len(candidates) == 0 || !sched.Leading() {
			return admission.Rules{UnknownReason: "the configuration is not known yet"}
		}
		return admission.Rules{Configurations: candidates}
	}
	lease, ok := l.revisions.Lease()
	if !ok {
		return admission.Rules{UnknownReason: "the configuration cannot be confirmed now"}
	}
	return admission.Rules{Configurations: []*configuration.Active{lease.Active}, Conditions: []store.Condition{{Key: configuration.HeadKey, Revision: lease.StoreRevision}}}
}
