package controller

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/election"
	"switchferry/peer"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/upgrade"
	"switchferry/watermark"
)

// leaseRenewal decides whether this controller may renew workers' leases, and enforces the cancellations that were
// acknowledged by any controller.
//
// A response to a worker renews its lease and so keeps its tasks alive. An isolated controller may renew the leases of
// the workers of its zone only for a limited time: another controller may have acknowledged a cancellation, after which
// the job's tasks must end within cancel_s, and the command to end them may not reach this zone. Leases are therefore
// renewed only if they expire before that deadline, counted from the time up to which this controller knows all
// acknowledged cancellations (package watermark). It is not sufficient that all peers are alive: with that rule,
// cancelled tasks kept running through an outage (docs/incidents/hunt-told-before-an-outage.md). The controller itself
// ends tasks whose cancellation it knows.
type leaseRenewal struct {
	clock    clockwork.Clock
	client   *store.Client
	elector  *election.Elector
	peers    *peer.Network
	health   *stateHealth
	term     *currentTerm
	versions *upgrade.VersionRegistry
	// watermark holds the cancellations that this controller knows, and the time up to which it knows all of them.
	watermark *watermark.Tracker
	// loadedTerm is the last term of this controller for which it has read the records.
	loadedTerm atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// nonLeaderDecisionAt is when this controller last decided about a lease without certainly leading; zero before that.
	nonLeaderDecisionAt time.Time
	// renewing reports whether that decision allowed the renewal.
	renewing bool
}

// newLeaseRenewal returns the lease renewal of a controller. It knows no cancellations yet.
func newLeaseRenewal(controller *Controller) *leaseRenewal {
	var members []string
	for _, other := range controller.settings.Peers {
		members = append(members, other.Member)
	}
	facts := controller.settings.Facts.Workers
	limits := watermark.NewLimits(settings.Seconds(facts.CancelDeadlineS), settings.Seconds(facts.LeaseS))
	return &leaseRenewal{clock: controller.clock, client: controller.client, elector: controller.elector, peers: controller.peers, health: controller.health, term: controller.term,
		versions: controller.versions, watermark: watermark.New(controller.startedAt, members, limits), renewing: true}
}

// markCurrentIfLeading reports whether this controller certainly leads and has read the records. If so, it advances the
// watermark to now: this controller knows all acknowledged cancellations, since only the leader cancels while its key
// exists.
func (l *leaseRenewal) markCurrentIfLeading() bool {
	now := l.clock.Now()
	term, valid := l.elector.Term()
	if !valid || term != l.loadedTerm.Load() {
		return false
	}
	l.watermark.MarkCurrent(now)
	return true
}

// mayRenew reports whether this controller may renew a worker's lease now although it does not certainly lead.
func (l *leaseRenewal) mayRenew() bool {
	l.markCurrentIfLeading()
	now := l.clock.Now()
	allowed, sinceConfirmed := l.watermark.MayRenew(now)
	l.mu.Lock()
	l.nonLeaderDecisionAt = now
	changed := allowed != l.renewing
	l.renewing = allowed
	l.mu.Unlock()
	if changed {
		slog.Info("lease renewal changed", "kept", allowed, "without_word", formatAge(sinceConfirmed), "why", l.watermark.UnconfirmedPeers())
	}
	return allowed
}

// formatAge formats the time since a confirmation for operators. A negative duration means that there was none.
func formatAge(age time.Duration) string {
	if age < 0 {
		return "never"
	}
	return age.Round(time.Millisecond).String()
}

// renewalProblems returns, for operators, the reasons why this controller renews no leases, or nil while it renews
// them.
func (l *leaseRenewal) renewalProblems() []string {
	l.mu.Lock()
	renewed := l.renewing
	l.mu.Unlock()
	if renewed || l.markCurrentIfLeading() {
		return nil
	}
	_, sinceConfirmed := l.watermark.MayRenew(l.clock.Now())
	return []string{fmt.Sprintf("leases of workers are not renewed here: cancellations last confirmed %s ago; %s", formatAge(sinceConfirmed), strings.Join(l.watermark.UnconfirmedPeers(), ", "))}
}

// enforceCancellations returns a copy of a response to a heartbeat without commands that would start tasks of cancelled
// jobs, and with commands that kill the tasks of cancelled jobs that the worker reports; killing a cancelled task is safe
// under any token. If the response renews the lease, it has at least the fencing token that is required of workers, since
// a start of a cancelled task may be under way to the worker. No other response to the worker is in flight that it would
// drop for a raised token.
func (l *leaseRenewal) enforceCancellations(heartbeat *api.Heartbeat, response api.HeartbeatResponse) api.HeartbeatResponse {
	if response.Term != 0 {
		response.Term = max(response.Term, l.watermark.RequiredToken())
	}
	response.Commands = l.watermark.WithoutCancelledStarts(response.Commands)
	if killCommands := l.watermark.KillCommands(heartbeat.Tasks, response.Commands); len(killCommands) > 0 {
		slog.Info("killing tasks of cancelled jobs", "machine", heartbeat.Machine, "tasks", len(killCommands), "first", killCommands[0].Task)
		response.Commands = append(slices.Clone(response.Commands), killCommands...)
	}
	return response
}

// refuse returns the answer to a worker whose lease must not be renewed. If this controller is isolated, the worker has
// returned after a redirect because it reached no other controller. A response without a fencing token, which renews no
// lease, keeps it here, so that its heartbeats arrive as soon as the partition ends. If it were refused, it would try
// the unreachable controllers in turn, 5 s each, and return only after its lease had expired. If this controller is not
// isolated, the worker is refused and tries other controllers.
func (l *leaseRenewal) refuse() answer {
	if !l.health.healthy() && l.peers.Isolated() {
		return answer{http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}}
	}
	return answer{http.StatusServiceUnavailable, api.Error{Error: "isolated for too long to renew leases"}}
}
