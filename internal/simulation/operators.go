package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/controller"
	"switchferry/peer"
	"switchferry/store"
)

// The team whose limit tells by which revision a submission was judged: it is one of two, and what is submitted for it
// fits into the larger one alone.
const (
	probeTeam  = "probe"
	probeSmall = 4.0
	probeLarge = 40.0
	probeNeeds = 8.0
)

// operators change the configuration while the day goes on, one change after the other, and submit jobs that tell by
// which revision they are judged. They check that nobody decides or answers by a revision older than one that they were
// told is in force.
type operators struct {
	w *World

	mu       sync.Mutex
	attempts []attempt
	// inForce is the last attempt that they were told is in force, at toldAt; -1: none.
	inForce int
	toldAt  time.Time
	// recorded is when the newest attempt of each task came on record.
	recorded map[string]recorded
	changes  int
}

// attempt is a document that was sent, whatever became of it.
type attempt struct {
	probe float64
	// limits are of the teams that do the day's work.
	limits map[string]float64
}

type recorded struct {
	attempt uint64
	at      time.Time
}

func newOperators(w *World) *operators {
	return &operators{w: w, inForce: -1, recorded: map[string]recorded{}}
}

// draw makes the next document. Every job of the day fits into its limits; with all, they are as in the settings.
func (o *operators) draw(rng *rand.Rand, all bool) attempt {
	a := attempt{probe: probeSmall, limits: map[string]float64{}}
	if rng.IntN(2) == 0 {
		a.probe = probeLarge
	}
	for _, team := range []string{"one", "two"} {
		a.limits[team] = o.w.limit()
		if !all {
			a.limits[team] = max(3*machineType.CPUs, o.w.limit()*rng.Float64())
		}
	}
	return a
}

func (a *attempt) document(rng *rand.Rand) string {
	var text strings.Builder
	if rng.IntN(3) == 0 {
		text.WriteString("[over_limit]\nrunning = \"stop\"\nstop_within_s = 5\n")
	}
	fmt.Fprintf(&text, "# %d\n[[teams]]\nname = %q\ncpus_max = %g\n", rng.Int64(), probeTeam, a.probe)
	for _, team := range []string{"one", "two"} {
		fmt.Fprintf(&text, "[[teams]]\nname = %q\ncpus_max = %g\n", team, a.limits[team])
	}
	return text.String()
}

// run changes the configuration again and again, and in the end has all limits as in the settings.
func (o *operators) run(ctx context.Context, began time.Time) {
	rng := o.w.random("operators")
	for o.w.sleep(ctx, o.w.Changes) && time.Since(began) < o.w.Lasts {
		o.change(ctx, rng, false)
	}
	for ctx.Err() == nil && !o.change(ctx, rng, true) {
		o.w.sleep(ctx, o.w.Changes)
	}
}

// change makes one change and waits a while for it to be in force; true: it is.
func (o *operators) change(ctx context.Context, rng *rand.Rand, all bool) bool {
	a := o.draw(rng, all)
	body, err := json.Marshal(api.ConfigurationRequest{Document: a.document(rng), By: "operators", Why: "the day"})
	if err != nil {
		panic(err)
	}
	o.mu.Lock()
	o.attempts = append(o.attempts, a)
	number := len(o.attempts) - 1
	o.mu.Unlock()
	status, raw := o.ask(ctx, rng, peer.Request{Verb: controller.VerbConfigure, Body: body})
	var made struct {
		Revision uint64 `json:"revision"`
	}
	if status != http.StatusOK && status != http.StatusAccepted || json.Unmarshal(raw, &made) != nil {
		return false
	}
	for end := time.Now().Add(8 * time.Second); status != http.StatusOK; {
		if time.Now().After(end) || !o.w.sleep(ctx, 100*time.Millisecond) {
			return false
		}
		var v api.ConfigurationView
		if shown, raw := o.ask(ctx, rng, peer.Request{Verb: controller.VerbConfiguration}); shown == http.StatusOK && json.Unmarshal(raw, &v) == nil && v.Leader && v.InForce {
			switch {
			case v.Revision == made.Revision:
				status = http.StatusOK
			case v.Revision > made.Revision:
				return false
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inForce, o.toldAt = number, time.Now()
	o.changes++
	return true
}

// ask sends a request to any controller that runs, and gives its answer as it is.
func (o *operators) ask(ctx context.Context, rng *rand.Rand, r peer.Request) (status int, body []byte) {
	name := members[rng.IntN(len(members))]
	n := o.w.node(name)
	if n == nil {
		return 0, nil
	}
	call, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	got := make(chan peer.Response, 1)
	go func() {
		o.w.thawed(name)
		a := n.Handle(call, r, false)
		o.w.thawed(name)
		got <- a
	}()
	select {
	case a := <-got:
		return a.Status, a.Body
	case <-call.Done():
		return 0, nil
	}
}

// probe submits, again and again, a job that can never be accepted: where its team's limit lets it pass, it is refused
// for a job that it awaits and that was never submitted.
func (o *operators) probe(ctx context.Context) {
	rng := o.w.random("probes")
	s := api.Submission{ID: "run-555000555", Class: "probe", Team: probeTeam, Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: probeNeeds, MemoryGB: 1, Image: "img", Awaits: []string{"run-555000556"}}
	body, err := json.Marshal(&s)
	if err != nil {
		panic(err)
	}
	for o.w.sleep(ctx, 200*time.Millisecond) {
		o.mu.Lock()
		oldest := o.inForce
		o.mu.Unlock()
		status, raw := o.ask(ctx, rng, peer.Request{Verb: controller.VerbSubmit, Body: body})
		var refused api.Error
		if status != http.StatusUnprocessableEntity || json.Unmarshal(raw, &refused) != nil || oldest < 0 {
			continue
		}
		passed := refused.Field == "awaits"
		o.mu.Lock()
		possible := false
		for _, a := range o.attempts[oldest:] {
			possible = possible || passed == (a.probe >= probeNeeds)
		}
		o.mu.Unlock()
		if !possible {
			o.w.book.mu.Lock()
			o.w.book.broken("older_revision", "a submission is judged by another limit than the one in force and all later ones: passed %v", passed)
			o.w.book.mu.Unlock()
		}
	}
}

// started checks a start against the limits in force when it came on record; use is the team's with it.
func (o *operators) started(task, team string, use float64) (broken string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inForce < 0 {
		return ""
	}
	// What was recorded before they were told may have been decided by an older one.
	limit := o.attempts[o.inForce].limits[team]
	for _, a := range o.attempts[o.inForce+1:] {
		limit = max(limit, a.limits[team])
	}
	if r, ok := o.recorded[task]; !ok || !r.at.After(o.toldAt) || use <= limit+1e-6 {
		return ""
	}
	return fmt.Sprintf("%s was recorded after a limit of %g came into force, and %s uses %g", task, limit, team, use)
}

// tap is the state service as seen by the operators: they note when starts come on record.
type tap struct{ o *operators }

// RoundTrip executes one request.
func (t tap) RoundTrip(q *http.Request) (*http.Response, error) {
	if q.URL.Path != "/multi" || q.Body == nil {
		return t.o.w.state.RoundTrip(q)
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return nil, err
	}
	q.Body = io.NopCloser(strings.NewReader(string(body)))
	resp, err := t.o.w.state.RoundTrip(q)
	if err == nil && resp.StatusCode == http.StatusOK {
		t.o.note(body)
	}
	return resp, err
}

func (o *operators) note(body []byte) {
	var transaction struct {
		Then []struct {
			Set   string          `json:"set"`
			Value json.RawMessage `json:"value"`
		} `json:"then"`
	}
	if json.Unmarshal(body, &transaction) != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, op := range transaction.Then {
		shard, ok := store.ParseShard(op.Set)
		var record store.ShardRecord
		if !strings.HasPrefix(op.Set, store.ShardPrefix) || !ok || json.Unmarshal(op.Value, &record) != nil {
			continue
		}
		for _, p := range record.On {
			task := fmt.Sprintf("%s/%d", shard.Job, p.Task)
			if p.Attempt > o.recorded[task].attempt {
				o.recorded[task] = recorded{p.Attempt, time.Now()}
			}
		}
	}
}
