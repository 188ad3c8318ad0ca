package revisions

import (
	"errors"
	"fmt"
	"log/slog"

	"switchferry/configuration"
	"switchferry/store"
	"switchferry/tuning"
)

// persist writes the parts of a revision and then its head, on condition that this controller leads
// and that the head is still at expectedHeadRevision. It returns the state service's revision of the new head.
// If it fails, the head is not written, except that it may be written on ErrOutcomeUnknown.
func (a *Applier) persist(revision *configuration.Revision, expectedHeadRevision uint64) (newHeadRevision uint64, err error) {
	head, parts, err := configuration.Encode(revision, a.limits.MaxValueBytes())
	if err != nil {
		return 0, err
	}
	conditions := []store.Condition{{Key: configuration.HeadKey, Revision: expectedHeadRevision}}
	var operations []store.Operation
	for i, part := range parts {
		operations = append(operations, store.Operation{Set: configuration.PartKey(revision.Number, i), Value: part})
		if len(operations)+1 < a.limits.TxnOps || i == len(parts)-1 {
			continue
		}
		storeRevision, err := a.transact(conditions, operations, nil)
		if err != nil {
			return 0, err
		}
		// A delayed duplicate of an earlier attempt must not change the parts of the revision that
		// the head will identify.
		for _, operation := range operations {
			conditions = append(conditions, store.Condition{Key: operation.Set, Revision: storeRevision})
		}
		operations = nil
	}
	operations = append(operations, store.Operation{Set: configuration.HeadKey, Value: head})
	return a.transact(conditions, operations, &head)
}

// transact retries a transaction until its outcome is known, and returns the state service's revision
// of the transaction. The service may execute two attempts; the conditions of the second one then fail.
// The head is the one that the transaction writes, or nil if it writes none. The error is ErrUnavailable
// if no attempt can have been executed, and ErrOutcomeUnknown if the term ended before the outcome was
// known.
func (a *Applier) transact(conditions []store.Condition, operations []store.Operation, head *configuration.Head) (uint64, error) {
	outcomeUnknown := false
	for a.termCtx.Err() == nil {
		leaderCondition, ok := a.leader.Condition()
		if !ok && !outcomeUnknown {
			return 0, ErrNotLeader
		}
		storeRevision, failed, err := a.client.Transact(a.termCtx, append([]store.Condition{leaderCondition}, conditions...), operations)
		switch {
		case err == nil:
			return storeRevision, nil
		case errors.Is(err, store.ErrConflict):
			// An earlier attempt whose answer was lost may have been executed.
			if outcomeUnknown {
				if found, ok := a.findHead(head); ok {
					return found, nil
				}
			}
			return 0, conflictError(failed)
		case errors.Is(err, store.ErrRateLimited), outcomeUnknown && errors.Is(err, store.ErrBusy):
			// This attempt was not executed.
		case errors.Is(err, store.ErrBusy):
			return 0, ErrUnavailable
		case errors.Is(err, store.ErrInvalidRequest):
			return 0, fmt.Errorf("storing a configuration revision: %w", err)
		default:
			outcomeUnknown = true
		}
		a.sleep(tuning.ErrorRetryDelay)
	}
	return 0, ErrOutcomeUnknown
}

// conflictError returns the error for a transaction that was not executed because its conditions on the
// given keys failed.
func conflictError(failed []string) error {
	if len(failed) > 0 && failed[0] == store.LeaderKey {
		return ErrNotLeader
	}
	return fmt.Errorf("%w: %v", ErrConflict, failed)
}

// findHead reports whether the stored head equals the given one, and returns the state service's
// revision of it. It retries until the state service answers or the term ends.
func (a *Applier) findHead(head *configuration.Head) (storeRevision uint64, ok bool) {
	if head == nil {
		return 0, false
	}
	for a.termCtx.Err() == nil {
		item, err := a.client.Get(a.termCtx, configuration.HeadKey)
		if err == nil {
			storedHead, err := configuration.ParseHead(item.Value)
			return item.Revision, err == nil && storedHead == *head
		}
		if errors.Is(err, store.ErrNotFound) {
			return 0, false
		}
		a.sleep(tuning.ErrorRetryDelay)
	}
	return 0, false
}

// removeOldRevisions removes revisions that are older than the tuning.ConfigurationRetention newest ones, the
// newest of them first and tuning.ConfigurationSweepCount at most. A removal that fails is retried after a
// later change.
func (a *Applier) removeOldRevisions(newest uint64) {
	for age := uint64(tuning.ConfigurationRetention); age < tuning.ConfigurationRetention+tuning.ConfigurationSweepCount && age < newest; age++ {
		number := newest - age
		partCount, ok := a.storedPartCount(number)
		if !ok {
			continue
		}
		leaderCondition, ok := a.leader.Condition()
		if !ok {
			return
		}
		// The first part is removed last, since the number of parts is read from it.
		for i := partCount - 1; i >= 0; i-- {
			operations := []store.Operation{{Delete: configuration.PartKey(number, i)}}
			if _, _, err := a.client.Transact(a.termCtx, []store.Condition{leaderCondition}, operations); err != nil {
				slog.Info("configuration revision not removed", "revision", number, "err", err)
				return
			}
		}
	}
}

// storedPartCount returns the number of parts of a revision, and false if the revision is not stored or
// cannot be read.
func (a *Applier) storedPartCount(number uint64) (int, bool) {
	item, err := a.client.Get(a.termCtx, configuration.PartKey(number, 0))
	if err != nil {
		return 0, false
	}
	part, err := configuration.ParsePart(item.Value)
	return part.PartCount, err == nil
}
