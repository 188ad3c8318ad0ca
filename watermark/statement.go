package watermark

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// Statement is a controller's response to a peer's request for its cancellations.
type Statement struct {
	// Incarnation identifies the responding process. It is never 0, and changes with a restart.
	Incarnation uint64
	// From, To and Latest are sequence numbers within the incarnation. The statement holds the cancellations after From
	// up to and including To. Latest is the highest sequence number of the process.
	From, To, Latest uint64
	Cancellations    []Cancellation
	// Current is true if the controller knew every cancellation that any controller had acknowledged more than Age
	// before it made the statement. Age is meaningful only if Current is true.
	Current bool
	Age     time.Duration
	// RequiredToken is the fencing token that is known to be required of workers; see Tracker.RequireToken.
	RequiredToken uint64
}

// Cancellation is the cancellation of a job. A user was, or may have been, notified of it Age before the statement was
// made.
type Cancellation struct {
	Job string
	Age time.Duration
}

// peerState holds what is known about one incarnation of a peer. Tracker.mu guards it.
type peerState struct {
	incarnation uint64
	// firstStatementAt is the time when the incarnation's first statement arrived. Its process started before that.
	firstStatementAt time.Time
	// receivedSeq is the sequence number up to which its cancellations have been received without a gap.
	receivedSeq uint64
	// confirmedAt is the time of the latest request whose statement left none of the incarnation's cancellations
	// missing.
	confirmedAt time.Time
}

// Position returns the arguments for a request to a peer for its Statement: the known incarnation of the peer and the
// sequence number up to which its cancellations were received. Both are 0 if nothing is known about the peer.
func (t *Tracker) Position(member string) (incarnation, receivedSeq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if peer := t.peers[member]; peer != nil {
		return peer.incarnation, peer.receivedSeq
	}
	return 0, 0
}

// Statement returns the response to a peer that has received the cancellations of the given incarnation up to
// receivedSeq. It starts from 0 if the incarnation is not that of this process, and holds at most
// tuning.MaxStatementCancellations cancellations.
func (t *Tracker) Statement(now time.Time, incarnation, receivedSeq uint64) Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if incarnation != t.incarnation || receivedSeq > t.latestSeq {
		receivedSeq = 0
	}
	statement := Statement{Incarnation: t.incarnation, From: receivedSeq, To: t.latestSeq, Latest: t.latestSeq, RequiredToken: t.requiredToken}
	first, _ := slices.BinarySearchFunc(t.ordered, receivedSeq+1, func(c *cancellation, seq uint64) int {
		return cmp.Compare(c.seq, seq)
	})
	for _, c := range t.ordered[first:] {
		if len(statement.Cancellations) == tuning.MaxStatementCancellations {
			statement.To = c.seq - 1
			break
		}
		statement.Cancellations = append(statement.Cancellations, Cancellation{c.job, max(0, now.Sub(c.acknowledgedAt))})
	}
	if age := max(0, now.Sub(t.completeUntil)); !t.completeUntil.IsZero() && age < t.limits.Retention {
		statement.Current, statement.Age = true, age
	}
	return statement
}

// ApplyStatement applies a peer's statement that was requested at sentAt and arrived now. It returns an error if the
// statement is invalid; the watermark then stays as it is. If only some cancellations are invalid, the others are
// recorded nevertheless, since they can only add to what is known.
func (t *Tracker) ApplyStatement(now time.Time, member string, sentAt time.Time, statement Statement) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer, known := t.peers[member]
	if !known {
		return fmt.Errorf("unknown peer %s", member)
	}
	if err := statement.validate(peer); err != nil {
		return err
	}
	// A token that is required stays required, whatever else the statement lacks.
	t.requiredToken = max(t.requiredToken, statement.RequiredToken)
	if peer == nil || peer.incarnation != statement.Incarnation {
		peer = &peerState{incarnation: statement.Incarnation, firstStatementAt: now}
		t.peers[member] = peer
	}
	if err := t.recordReported(now, statement.Cancellations); err != nil {
		return err
	}
	if t.peers[member] != peer {
		return nil // There were too many cancellations to keep, so record has reset the tracker.
	}
	if statement.From > peer.receivedSeq {
		return nil // Cancellations between receivedSeq and From are missing.
	}
	peer.receivedSeq = max(peer.receivedSeq, statement.To)
	if peer.receivedSeq < statement.Latest {
		return nil // Further statements will contain the remaining cancellations.
	}
	if sentAt.After(peer.confirmedAt) {
		peer.confirmedAt = sentAt
	}
	if statement.Current {
		t.advanceTo(sentAt.Add(-statement.Age - tuning.WatermarkMargin))
	}
	t.advanceFromPeers()
	return nil
}

// validate checks that the numbers of a statement are consistent with each other and with what is known about the peer.
// peer is nil if nothing is known about it.
func (s Statement) validate(peer *peerState) error {
	switch {
	case s.Incarnation == 0:
		return fmt.Errorf("statement has no incarnation")
	case s.To < s.From || s.Latest < s.To || s.Age < 0:
		return fmt.Errorf("statement of cancellations %d to %d of %d with age %v is inconsistent", s.From, s.To, s.Latest, s.Age)
	case peer != nil && peer.incarnation == s.Incarnation && s.Latest < peer.receivedSeq:
		return fmt.Errorf("latest sequence number %d is below %d, which was received before", s.Latest, peer.receivedSeq)
	}
	return nil
}

// recordReported records the cancellations of a peer's statement, except those that are invalid or older than
// Limits.MaxAge. It returns an error for the last invalid one. The caller holds t.mu.
func (t *Tracker) recordReported(now time.Time, cancellations []Cancellation) error {
	var invalid error
	for _, reported := range cancellations {
		switch {
		case !api.ValidID(reported.Job):
			invalid = fmt.Errorf("cancellation of invalid job ID %q", reported.Job)
		case reported.Age < 0:
			invalid = fmt.Errorf("cancellation of %s is %v in the future", reported.Job, -reported.Age)
		case reported.Age <= t.limits.MaxAge:
			t.record(now, reported.Job, now.Add(-reported.Age))
		}
	}
	return invalid
}

// advanceFromPeers advances the watermark to the earliest confirmedAt of the peers. It does so only if the first
// statement of each peer's incarnation arrived no later than the watermark, so that no peer can have been restarted
// since the watermark. The caller holds t.mu.
func (t *Tracker) advanceFromPeers() {
	var earliest time.Time
	for _, peer := range t.peers {
		if peer == nil || peer.firstStatementAt.After(t.completeUntil) {
			return
		}
		if earliest.IsZero() || peer.confirmedAt.Before(earliest) {
			earliest = peer.confirmedAt
		}
	}
	t.advanceTo(earliest)
}
