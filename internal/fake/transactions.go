package fake

import (
	"encoding/json"
	"net/http"
	"strings"
)

// transactionRequest is the JSON body of a transaction: conditions on the revisions of keys, and puts and deletes that
// are executed if all conditions hold. Ticket is the id of a lease.
type transactionRequest struct {
	If []struct {
		K     string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"if"`
	Then []struct {
		Set    string          `json:"set"`
		Value  json.RawMessage `json:"value"`
		Ticket uint64          `json:"ticket"`
		Delete string          `json:"delete"`
	} `json:"then"`
}

// serveTransaction executes a transaction unless it violates a limit. The caller holds mu, which is unlocked while the
// answer is delayed.
func (state *State) serveTransaction(body []byte) (*http.Response, error) {
	var transaction transactionRequest
	if json.Unmarshal(body, &transaction) != nil {
		return reply(http.StatusBadRequest, map[string]any{"error": "malformed"})
	}
	if reason := state.violatedLimit(&transaction); reason != "" {
		return state.refuse(http.StatusBadRequest, reason)
	}
	if !state.writes.AllowN(state.clock.Now(), len(transaction.Then)) {
		return state.refuse(http.StatusTooManyRequests, "too many changes")
	}
	state.LargestTransaction.Ops = max(state.LargestTransaction.Ops, len(transaction.Then))
	state.LargestTransaction.Bytes = max(state.LargestTransaction.Bytes, len(body))
	for _, o := range transaction.Then {
		state.LargestTransaction.Value = max(state.LargestTransaction.Value, len(o.Value))
	}
	if delayed := state.delayedTransaction; delayed != nil {
		state.delayedTransaction = nil
		return state.serveDelayed(delayed, transaction)
	}
	if state.HoldNextTransaction {
		state.HoldNextTransaction = false
		state.heldTransactions = append(state.heldTransactions, transaction)
		return nil, errAnswerLost
	}
	resp, err := state.apply(transaction)
	if state.LoseNextAnswer {
		state.LoseNextAnswer = false
		return nil, errAnswerLost
	}
	return resp, err
}

// violatedLimit returns the error text of the first limit that a transaction violates, empty if there is none.
func (state *State) violatedLimit(transaction *transactionRequest) string {
	malformed := func(key string) bool { return key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\n") }
	switch {
	case len(transaction.Then) > state.limits.TxnOps:
		return "too many changes in a transaction"
	case len(transaction.If) > 4*state.limits.TxnOps:
		return "too many conditions"
	}
	for _, condition := range transaction.If {
		if malformed(condition.K) {
			return "malformed key"
		}
	}
	for _, op := range transaction.Then {
		if malformed(op.Set + op.Delete) {
			return "malformed key"
		}
		if float64(len(op.Value)) > state.limits.ValueKB*1024 {
			return "value too large"
		}
	}
	return ""
}

// apply executes a transaction, or answers with the keys whose conditions failed. The caller holds mu.
func (state *State) apply(transaction transactionRequest) (*http.Response, error) {
	var failed []string
	for _, c := range transaction.If {
		if state.records[c.K].revision != c.Stamp {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		return reply(http.StatusConflict, map[string]any{"failed": failed, "epoch": state.revision})
	}
	for _, o := range transaction.Then {
		if _, ok := state.leaseExpiries[o.Ticket]; o.Ticket != 0 && !ok {
			return reply(http.StatusBadRequest, map[string]any{"error": "no such lease"})
		}
	}
	if len(transaction.Then) > 0 {
		state.revision++
	}
	for _, o := range transaction.Then {
		state.changesByKind[keyKind(o.Set+o.Delete)]++
		if o.Delete != "" {
			delete(state.records, o.Delete)
			state.recordChanges(change{Delete: o.Delete, Stamp: state.revision})
		} else {
			state.records[o.Set] = record{o.Value, state.revision, o.Ticket}
			state.recordChanges(change{Set: o.Set, Value: o.Value, Stamp: state.revision})
		}
	}
	return reply(http.StatusOK, map[string]any{"epoch": state.revision})
}
