package fake

import (
	"encoding/json"
	"net/http"
	"strings"
)

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

// serveTransaction runs a transaction; the lock is held, as in all that answers.
func (state *State) serveTransaction(body []byte) (*http.Response, error) {
	var transaction transactionRequest
	if json.Unmarshal(body, &transaction) != nil {
		return reply(400, map[string]any{"error": "malformed"})
	}
	if why := state.violatedLimit(&transaction); why != "" {
		return state.refuse(400, why)
	}
	if !state.writes.AllowN(state.clock.Now(), len(transaction.Then)) {
		return state.refuse(429, "too many changes")
	}
	state.Largest.Ops = max(state.Largest.Ops, len(transaction.Then))
	state.Largest.Bytes = max(state.Largest.Bytes, len(body))
	for _, o := range transaction.Then {
		state.Largest.Value = max(state.Largest.Value, len(o.Value))
	}
	if late := state.delayedWrite; late != nil {
		state.delayedWrite = nil
		return state.serveDelayed(late, transaction)
	}
	if state.HoldNext {
		state.HoldNext = false
		state.heldTransactions = append(state.heldTransactions, transaction)
		return nil, errAnswerLost
	}
	resp, err := state.apply(transaction)
	if state.LoseAnswer {
		state.LoseAnswer = false
		return nil, errAnswerLost
	}
	return resp, err
}

// violatedLimit is which limit a transaction breaks; empty: none.
func (state *State) violatedLimit(t *transactionRequest) string {
	bad := func(key string) bool { return key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\n") }
	switch {
	case len(t.Then) > state.limits.TxnOps:
		return "too many changes in a transaction"
	case len(t.If) > 4*state.limits.TxnOps:
		return "too many conditions"
	}
	for _, c := range t.If {
		if bad(c.K) {
			return "malformed key"
		}
	}
	for _, o := range t.Then {
		if bad(o.Set + o.Delete) {
			return "malformed key"
		}
		if float64(len(o.Value)) > state.limits.ValueKB*1024 {
			return "value too large"
		}
	}
	return ""
}

func (state *State) apply(transaction transactionRequest) (*http.Response, error) {
	var failed []string
	for _, c := range transaction.If {
		if state.records[c.K].revision != c.Stamp {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		return reply(409, map[string]any{"failed": failed, "epoch": state.revision})
	}
	for _, o := range transaction.Then {
		if _, ok := state.leases[o.Ticket]; o.Ticket != 0 && !ok {
			return reply(400, map[string]any{"error": "no such lease"})
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
	return reply(200, map[string]any{"epoch": state.revision})
}
