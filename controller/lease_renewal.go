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

// leaseRenewal decides whether this controller may renew leases of workers, and knows the cancellations that were
// acknowledged anywhere.
//
// Whoever answers a worker renews its lease, and so keeps its tasks alive. An isolated controller may do so for the workers
// of its zone, but only for so long: elsewhere a user may be told that a job is cancelled, and its tasks must end within
// cancel_s, which nobody can command here. So leases are renewed only while the last one expires in time, counted from the
// moment up to which this controller knows of all acknowledged cancellations (package watermark). That all peers were alive
// was once taken for that, and cancelled tasks ran on through an outage (docs/incidents/hunt-told-before-an-outage.md).
// Tasks whose cancellation it knows of it ends itself.
type leaseRenewal struct {
	clock    clockwork.Clock
	client   *store.Client
	elector  *election.Elector
	peers    *peer.Network
	health   *stateHealth
	term     *currentTerm
	versions *upgrade.VersionRegistry
	// watermark holds what this controller knows of cancellations, and up to when.
	watermark *watermark.Tracker
	// loadedTerm is the last term of this controller whose records it has read.
	loadedTerm atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// answeredAloneAt is when it last decided about a lease without certainly leading; zero before that.
	answeredAloneAt time.Time
	// renewing reports whether leases were renewed at that time.
	renewing bool
}

// newLeaseRenewal returns the part of c that renews leases; it knows of no cancellation yet.
func newLeaseRenewal(controller *Controller) *leaseRenewal {
	var members []string
	for _, other := range controller.settings.Peers {
		members = append(members, other.Member)
	}
	facts := controller.settings.Facts.Workers
	limits := watermark.NewLimits(settings.Seconds(facts.CancelS), settings.Seconds(facts.LeaseS))
	return &leaseRenewal{clock: controller.clock, client: controller.client, elector: controller.elector, peers: controller.peers, health: controller.health, term: controller.term,
		versions: controller.versions, watermark: watermark.New(controller.startedAt, members, limits), renewing: true}
}

// markCurrentIfLeading reports whether this controller leads for certain and has read the records. Then all
// cancellations that were acknowledged until now are known here, since only a leader cancels while its key stands.
func (l *leaseRenewal) markCurrentIfLeading() bool {
	now := l.clock.Now()
	term, valid := l.elector.Term()
	if !valid || term != l.loadedTerm.Load() {
		return false
	}
	l.watermark.MarkCurrent(now)
	return true
}

// mayRenew reports whether a worker's lease may be renewed now by a controller that does not lead for certain.
func (l *leaseRenewal) mayRenew() bool {
	l.markCurrentIfLeading()
	now := l.clock.Now()
	ok, without := l.watermark.MayRenew(now)
	l.mu.Lock()
	l.answeredAloneAt = now
	changed := ok != l.renewing
	l.renewing = ok
	l.mu.Unlock()
	if changed {
		slog.Info("lease renewal changed", "kept", ok, "without_word", formatAge(without), "why", l.watermark.UnconfirmedPeers())
	}
	return ok
}

// formatAge returns for operators how long ago something was confirmed; a negative duration is never.
func formatAge(without time.Duration) string {
	if without < 0 {
		return "never"
	}
	return without.Round(time.Millisecond).String()
}

// problems tells an operator why this controller renews no leases; it returns none while it does.
func (l *leaseRenewal) problems() []string {
	l.mu.Lock()
	renewed := l.renewing
	l.mu.Unlock()
	if renewed || l.markCurrentIfLeading() {
		return nil
	}
	_, without := l.watermark.MayRenew(l.clock.Now())
	return []string{fmt.Sprintf("leases of workers are not renewed here: last word of cancellations %s ago; %s", formatAge(without), strings.Join(l.watermark.UnconfirmedPeers(), ", "))}
}

// enforceCancellations returns a response with commands that end the tasks of cancelled jobs which the worker reports,
// and without those that would start more. The token stays as it is: to end a cancelled task is safe under any.
func (l *leaseRenewal) enforceCancellations(heartbeat *api.Heartbeat, response api.HeartbeatResponse) api.HeartbeatResponse {
	response.Commands = l.watermark.WithoutCancelledStarts(response.Commands)
	if more := l.watermark.KillCommands(heartbeat.Tasks, response.Commands); len(more) > 0 {
		slog.Info("killing tasks of cancelled jobs", "machine", heartbeat.Machine, "tasks", len(more), "first", more[0].Task)
		response.Commands = append(slices.Clone(response.Commands), more...)
	}
	return response
}

// refuse returns the answer to a worker whose lease must not be renewed. One that was redirected and came back finds no
// other controller: a response without a token, which renews nothing, keeps it here, so that its heartbeats arrive as
// soon as the partition ends. Sent on, it would try one unreachable controller after the other, 5 s each, and return
// only after its lease has expired. Other workers are sent on.
func (l *leaseRenewal) refuse() answer {
	if !l.health.healthy() && l.peers.Isolated() {
		return answer{http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}}
	}
	return answer{http.StatusServiceUnavailable, api.Error{Error: "cut off for too long to keep tasks alive"}}
}
