package watermark

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// Statement is what a controller answers when a peer asks for its cancellations.
type Statement struct {
	// Incarnation identifies the answering process. It is never 0, and another after a restart.
	Incarnation uint64
	// From, To and Latest are sequence numbers within the incarnation: the statement holds the cancellations
	// after From up to and including To, and Latest is the last that the process has.
	From, To, Latest uint64
	Cancellations    []Cancellation
	// Current means that the controller knew every cancellation that any controller acknowledged more than
	// Age before it made the statement.
	Current bool
	Age     time.Duration
}

// Cancellation is a job's cancellation of which a user was, or may have been, notified Age ago.
type Cancellation struct {
	Job string
	Age time.Duration
}

// peerState is what is known of one incarnation of a peer. Tracker.mu guards it.
type peerState struct {
	incarnation uint64
	// firstAnswerAt is when the incarnation's first statement arrived; its process started before that.
	firstAnswerAt time.Time
	// receivedSeq is the sequence number up to which its cancellations were received without a gap.
	receivedSeq uint64
	// confirmedAt is when the latest statement was asked for after which none of its cancellations was
	// missing.
	confirmedAt time.Time
}

// Position returns what to ask a peer with: its known incarnation and the sequence number up to which its
// cancellations were received, or zeros if nothing is known of it.
func (t *Tracker) Position(member string) (incarnation, receivedSeq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if peer := t.peers[member]; peer != nil {
		return peer.incarnation, peer.receivedSeq
	}
	return 0, 0
}

// Statement answers a peer that has received the cancellations of an incarnation up to a sequence number. It
// begins from 0 if the incarnation is not this process's, and holds tuning.CancellationsAtOnce at most.
func (t *Tracker) Statement(now time.Time, incarnation, receivedSeq uint64) Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if incarnation != t.incarnation || receivedSeq > t.latestSeq {
		receivedSeq = 0
	}
	statement := Statement{Incarnation: t.incarnation, From: receivedSeq, To: t.latestSeq, Latest: t.latestSeq}
	first, _ := slices.BinarySearchFunc(t.ordered, receivedSeq+1, func(c *cancellation, seq uint64) int {
		return cmp.Compare(c.seq, seq)
	})
	for _, c := range t.ordered[first:] {
		if len(statement.Cancellations) == tuning.CancellationsAtOnce {
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

// ApplyStatement records a peer's statement that was asked for at sentAt and arrived now. An error says what
// of it was rejected. The valid cancellations of a rejected statement are recorded nevertheless, since they
// can only add to what is known, but it confirms nothing.
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
	if peer == nil || peer.incarnation != statement.Incarnation {
		peer = &peerState{incarnation: statement.Incarnation, firstAnswerAt: now}
		t.peers[member] = peer
	}
	if err := t.recordReported(now, statement.Cancellations); err != nil {
		return err
	}
	if t.peers[member] != peer {
		return nil // There were too many cancellations to keep, and the tracker was reset.
	}
	if statement.From > peer.receivedSeq {
		return nil // Cancellations between the received ones and these are missing.
	}
	peer.receivedSeq = max(peer.receivedSeq, statement.To)
	if peer.receivedSeq < statement.Latest {
		return nil // The rest follows in further statements.
	}
	if sentAt.After(peer.confirmedAt) {
		peer.confirmedAt = sentAt
	}
	if statement.Current {
		t.advanceTo(sentAt.Add(-statement.Age - tuning.WatermarkGrain))
	}
	t.advanceFromPeers()
	return nil
}

// validate checks a statement's numbers against each other and against what is known of the peer, which is
// nil if nothing is.
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

// recordReported records the cancellations of a peer's statement that are not too old. The error is that of
// the last invalid one. The caller holds t.mu.
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

// advanceFromPeers moves the watermark to the earliest moment up to which every peer has confirmed its
// cancellations. It does so only if each peer's incarnation was known before the watermark, so that no peer
// can have had another process since. The caller holds t.mu.
func (t *Tracker) advanceFromPeers() {
	var earliest time.Time
	for _, peer := range t.peers {
		if peer == nil || peer.firstAnswerAt.After(t.completeUntil) {
			return
		}
		if earliest.IsZero() || peer.confirmedAt.Before(earliest) {
			earliest = peer.confirmedAt
		}
	}
	t.advanceTo(earliest)
}
