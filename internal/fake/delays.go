package fake

import "net/http"

// Late controls the answer to a delayed request.
type Late struct {
	// Asked is closed when the request arrives.
	Asked chan struct{}
	// released is closed when the answer may be sent.
	released chan struct{}
	// executed means that the request is executed on arrival, not when the answer is released.
	executed bool
}

// Answer releases the answer. It must be called exactly once.
func (l *Late) Answer() { close(l.released) }

// LateNext delays the answer to the next transaction until Late.Answer is called. The transaction is executed on arrival
// if executed is true, and when the answer is released otherwise.
func (state *State) LateNext(executed bool) *Late {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedWrite = &Late{Asked: make(chan struct{}), released: make(chan struct{}), executed: executed}
	return state.delayedWrite
}

// LateRead delays the answer to the next read of a key until Late.Answer is called. The read is executed on arrival if
// executed is true, and when the answer is released otherwise.
func (state *State) LateRead(executed bool) *Late {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedRead = &Late{Asked: make(chan struct{}), released: make(chan struct{}), executed: executed}
	return state.delayedRead
}

// awaitRelease waits until the answer is released. The caller holds mu, which is unlocked during the wait.
func (state *State) awaitRelease(late *Late) {
	close(late.Asked)
	state.mu.Unlock()
	<-late.released
	state.mu.Lock()
}

// serveDelayed executes a transaction whose answer is delayed. The caller holds mu, which is unlocked during the wait.
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

// Deliver executes the transactions that HoldNext held back, in order, and discards their answers.
func (state *State) Deliver() {
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, transaction := range state.heldTransactions {
		_, _ = state.apply(transaction) //nolint:bodyclose // The answer holds no resources.
	}
	state.heldTransactions = nil
}
