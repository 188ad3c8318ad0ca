package fake

import "net/http"

// Late is a transaction whose answer is held back.
type Late struct {
	// Asked is closed once it came in.
	Asked    chan struct{}
	released chan struct{}
	executed bool
}

// Answer lets the answer go.
func (l *Late) Answer() { close(l.released) }

// LateNext holds back the answer of the next transaction until Answer; it is executed
// before that, or only then.
func (state *State) LateNext(executed bool) *Late {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedWrite = &Late{Asked: make(chan struct{}), released: make(chan struct{}), executed: executed}
	return state.delayedWrite
}

// LateRead holds back the answer of the next reading of a key until Answer; it is executed before that, or only
// then.
func (state *State) LateRead(executed bool) *Late {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedRead = &Late{Asked: make(chan struct{}), released: make(chan struct{}), executed: executed}
	return state.delayedRead
}

// awaitRelease waits until the answer may go; it is called, and returns, with the lock held.
func (state *State) awaitRelease(late *Late) {
	close(late.Asked)
	state.mu.Unlock()
	<-late.released
	state.mu.Lock()
}

// serveDelayed is called, and returns, with the lock held.
func (state *State) serveDelayed(late *Late, transaction transactionRequest) (resp *http.Response, err error) {
	if late.executed {
		resp, err = state.apply(transaction)
	}
	state.awaitRelease(late)
	if !late.executed {
		resp, err = state.apply(transaction)
	}
	return resp, err
}

// Deliver applies the transactions that were held back, late.
func (state *State) Deliver() {
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, transaction := range state.heldTransactions {
		_, _ = state.apply(transaction)
	}
	state.heldTransactions = nil
}
