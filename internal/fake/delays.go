package fake

import "net/http"

// Late controls the answer to a delayed request.
type Late struct {
	// Asked is closed when the request arrives.
	Asked chan struct{}
	// released is closed when the answer may be sent.
	released chan struct{}
	// executeOnArrival executes the request when it arrives, not when the answer is released.
	executeOnArrival bool
}

// Answer releases the answer. It must be called exactly once.
func (late *Late) Answer() { close(late.released) }

// LateNext delays the answer to the next transaction until the result releases it. The transaction is executed on
// arrival if executeOnArrival is true, and on release otherwise.
func (state *State) LateNext(executeOnArrival bool) *Late {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedTransaction = &Late{Asked: make(chan struct{}), released: make(chan struct{}), executeOnArrival: executeOnArrival}
	return state.delayedTransaction
}

// LateRead delays the answer to the next read of a key until the result releases it. The read is executed on arrival if
// executeOnArrival is true, and on release otherwise.
func (state *State) LateRead(executeOnArrival bool) *Late {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedRead = &Late{Asked: make(chan struct{}), released: make(chan struct{}), executeOnArrival: executeOnArrival}
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
	if late.executeOnArrival {
		resp, err = state.apply(transaction)
	}
	state.awaitRelease(late)
	if !late.executeOnArrival {
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
