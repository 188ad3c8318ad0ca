package fake

import "net/http"

// Late is a request whose answer is held back until Answer is called.
type Late struct {
	// Asked is closed once the request arrived.
	Asked    chan struct{}
	released chan struct{}
	executed bool
}

// Answer releases the answer. It must be called once.
func (l *Late) Answer() { close(l.released) }

// LateNext holds back the answer to the next transaction, which is executed at once or, if executed is false, when the
// answer is released.
func (state *State) LateNext(executed bool) *Late {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedWrite = &Late{Asked: make(chan struct{}), released: make(chan struct{}), executed: executed}
	return state.delayedWrite
}

// LateRead holds back the answer to the next read of a key, which is executed at once or, if executed is false, when the
// answer is released.
func (state *State) LateRead(executed bool) *Late {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedRead = &Late{Asked: make(chan struct{}), released: make(chan struct{}), executed: executed}
	return state.delayedRead
}

// awaitRelease waits until the answer is released. It is called, and returns, with mu held, which it releases while it
// waits.
func (state *State) awaitRelease(late *Late) {
	close(late.Asked)
	state.mu.Unlock()
	<-late.released
	state.mu.Lock()
}

// serveDelayed executes a transaction whose answer is held back. It is called, and returns, with mu held.
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

// Deliver executes the transactions that HoldNext held back; nobody gets their answers.
func (state *State) Deliver() {
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, transaction := range state.heldTransactions {
		_, _ = state.apply(transaction) //nolint:bodyclose // The answer holds no resources, and nobody gets it.
	}
	state.heldTransactions = nil
}
