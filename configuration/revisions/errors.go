package revisions

import "errors"

// The reasons why a change is not made. An error of Applier.Apply that wraps none of them means that
// the document cannot be stored.
var (
	// ErrConflict reports that the newest revision is not the expected one.
	ErrConflict = errors.New("the configuration was changed meanwhile")
	// ErrBusy reports that another change is in progress.
	ErrBusy = errors.New("another change is in progress")
	// ErrUnavailable reports that the state service does not answer and that nothing was stored.
	ErrUnavailable = errors.New("the state service is out of reach; nothing was stored")
	// ErrOutcomeUnknown reports that it is not known yet whether the change is stored. The applier
	// retries until it is known or the term ends.
	ErrOutcomeUnknown = errors.New("it is not known yet whether the change is stored")
	// ErrNotLeader reports that this controller is no longer the leader.
	ErrNotLeader = errors.New("this controller is no longer the leader")
	// ErrNotLoaded reports that the newest revision has not been read yet in this term.
	ErrNotLoaded = errors.New("the configuration has not been read yet")
)
