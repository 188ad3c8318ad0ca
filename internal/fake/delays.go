package fake

import "net/http"

// DelayedAnswer controls the answer to a delayed request.
type DelayedAnswer struct {
	// Received is closed when the request arrives.
	Received chan struct{}
	// released is closed when the answer may be sent.
	released chan struct{}
	// executeOnArrival executes the request when it arrives, not when the answer is released.
	executeOnArrival bool
}

// Release releases the answer. It must be called exactly once.
func (answer *DelayedAnswer) Release() { close(answer.released) }

// DelayNextTransaction delays the answer to the next transaction until Release is called on the result. The transaction
// is executed on arrival if executeOnArrival is true, and on release otherwise.
func (state *State) DelayNextTransaction(executeOnArrival bool) *DelayedAnswer {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedTransaction = &DelayedAnswer{Received: make(chan struct{}), released: make(chan struct{}), executeOnArrival: executeOnArrival}
	return state.delayedTransaction
}

// DelayNextRead delays the answer to the next read of a key until Release is called on the result. The read is executed
// on arrival if executeOnArrival is true, and on release otherwise.
func (state *State) DelayNextRead(executeOnArrival bool) *DelayedAnswer {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.delayedRead = &DelayedAnswer{Received: make(chan struct{}), released: make(chan struct{}), executeOnArrival: executeOnArrival}
	return state.delayedRead
}

// awaitRelease closes Received and waits until the answer is released. The caller holds mu, which is unlocked during
// the wait.
func (state *State) awaitRelease(delayed *DelayedAnswer) {
	close(delayed.Received)
	state.mu.Unlock()
	<-delayed.released
	state.mu.Lock()
}

// serveDelayed executes a transaction whose answer is delayed. The caller holds mu, which is unlocked during the wait.
func (state *State) serveDelayed(delayed *DelayedAnswer, transaction transactionRequest) (resp *http.Response, err error) {
	if delayed.executeOnArrival {
		resp, err = state.apply(transaction)
	}
	state.awaitRelease(delayed)
	if !delayed.executeOnArrival {
		resp, err = state.apply(transaction)
	}
	return resp, err
}

// ExecuteHeld executes the transactions that HoldNextTransaction held back, in order, and discards their answers.
func (state *State) ExecuteHeld() {
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, transaction := range state.heldTransactions {
		_, _ = state.apply(transaction) //nolint:bodyclose // The answer holds no resources.
	}
	state.heldTransactions = nil
}
