package revisions

import "errors"

// Why a change is not made. The error of Applier.Apply wraps one of them, or tells that the document
// cannot be stored.
var (
	// ErrConflict: the present revision is not the expected one.
	ErrConflict = errors.New("the configuration was changed meanwhile")
	// ErrBusy: another change is in progress.
	ErrBusy = errors.New("another change is on its way")
	// ErrUnavailable: the state service does not answer, and nothing was stored.
	ErrUnavailable = errors.New("the state service is out of reach; nothing was stored")
	// ErrOutcomeUnknown: it is not known yet whether the change is stored. The applier goes on to
	// find out.
	ErrOutcomeUnknown = errors.New("it is not known yet whether the change is stored")
	// ErrNotLeader: this controller does not lead any more.
	ErrNotLeader = errors.New("this controller does not lead any more")
	// ErrNotLoaded: the newest revision has not been read yet.
	ErrNotLoaded = errors.New("the configuration has not been read yet")
)
