package upgrade

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/sleep"
	"switchferry/store"
	"switchferry/tuning"
)

// TokenRecordPrefix is the key prefix of the records with which the members state that they accept fencing tokens above
// the leader's term. It is followed by the member's name; the value is a TokenRecord.
const TokenRecordPrefix = "sf/tokens/"

// TokenRecord states that every process of a member accepts fencing tokens above the leader's term. Once the platform
// has replaced a member's program, it does not start an older one again, so the record never becomes invalid.
type TokenRecord struct {
	// Raised is true.
	Raised bool `json:"raised"`
}

// TokenSupport says whether all members accept fencing tokens above the leader's term.
type TokenSupport int

const (
	// TokenSupportUnknown means that the records have not been read yet.
	TokenSupportUnknown TokenSupport = iota
	// TokenSupportMissing means that the record of a member does not exist, so that the member may run a version that
	// takes a raised token for that of a later leader.
	TokenSupportMissing
	// TokenSupportComplete means that all members have stated it.
	TokenSupportComplete
)

// TokenRegistry writes the token record of this controller and reads those of the other members. It is safe for
// concurrent use.
type TokenRegistry struct {
	member  string
	members []string // all members of the deployment, including this one
	client  *store.Client
	clock   clockwork.Clock
	// onChange is called after each change of the result of Support.
	onChange func(TokenSupport)

	// mu guards the fields below.
	mu      sync.Mutex
	support TokenSupport
}

// NewTokenRegistry returns the TokenRegistry of member, one of the members of a deployment. onChange is called from the
// goroutine of Run after each change of the result of Support.
func NewTokenRegistry(member string, members []string, client *store.Client, clock clockwork.Clock, onChange func(TokenSupport)) *TokenRegistry {
	return &TokenRegistry{member: member, members: members, client: client, clock: clock, onChange: onChange}
}

// Support returns what is known about the members. It changes from unknown to missing to complete, and never back.
func (r *TokenRegistry) Support() TokenSupport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.support
}

// Run writes the token record of this controller and reads those of the members, every tuning.VersionCheckInterval,
// until all members have one or the context ends.
func (r *TokenRegistry) Run(ctx context.Context) {
	missing := r.members
	for ctx.Err() == nil {
		var support TokenSupport
		missing, support = r.check(ctx, missing)
		r.observe(support)
		if support == TokenSupportComplete {
			slog.Info("all controllers accept raised fencing tokens")
			return
		}
		sleep.For(ctx, r.clock, tuning.VersionCheckInterval)
	}
}

// check reads the records of the given members, and writes that of this controller if it is missing. It returns the
// members whose records were not found and what follows for all members.
func (r *TokenRegistry) check(ctx context.Context, members []string) (remaining []string, support TokenSupport) {
	support = TokenSupportComplete
	for _, member := range members {
		found, err := r.recorded(ctx, member)
		if found {
			continue
		}
		remaining = append(remaining, member)
		switch {
		case err != nil:
			support = min(support, TokenSupportUnknown)
		case member == r.member:
			support = min(support, r.recordOwn(ctx))
		default:
			support = min(support, TokenSupportMissing)
		}
	}
	return remaining, support
}

// recorded reports whether the record of a member exists. The error is set if it could not be read.
func (r *TokenRegistry) recorded(ctx context.Context, member string) (found bool, err error) {
	_, err = r.client.Get(ctx, TokenRecordPrefix+member)
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// recordOwn writes the record of this controller. This controller accepts raised tokens whether or not that succeeds,
// but the others must be able to read it.
func (r *TokenRegistry) recordOwn(ctx context.Context) TokenSupport {
	key := TokenRecordPrefix + r.member
	_, _, err := r.client.Transact(ctx, []store.Condition{{Key: key, Revision: 0}}, []store.Operation{{Set: key, Value: TokenRecord{Raised: true}}})
	if err != nil {
		slog.Info("token record not written yet", "err", err)
		return TokenSupportUnknown
	}
	return TokenSupportComplete
}

// observe records the result of a check. Knowledge is never lost by a check that could not read all records.
func (r *TokenRegistry) observe(support TokenSupport) {
	r.mu.Lock()
	changed := support > r.support
	r.support = max(r.support, support)
	r.mu.Unlock()
	if changed {
		r.onChange(support)
	}
}
