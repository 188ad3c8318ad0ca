package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/controller"
	"switchferry/peer"
)

// What users bear, as the protocol and operators say.
const (
	pollEvery    = 5 * time.Second
	pollPatience = 2 * time.Second
	forgottenIn  = 75 * time.Second
	doneLag      = 3 * time.Second
	beginIn      = 240 * time.Second
	waitsInVain  = 90 * time.Second
)

// Result is what is found of a day.
type Result struct {
	Jobs  int `json:"jobs"`
	Tasks int `json:"tasks_started"`
	// Again are those of them that had begun before.
	Again int `json:"tasks_started_again"`
	// Rules are the broken ones and how often; Why are the first few.
	Rules map[string]int `json:"rules_broken"`
	Why   []string       `json:"why,omitempty"`
	// LongestUnansweredS is the longest that no question about a job was answered, once all troubles
	// were over; Forgotten are jobs with over 75 s of that.
	LongestUnansweredS float64 `json:"longest_unanswered_s"`
	Forgotten          int     `json:"forgotten"`
	// PendingForGood are accepted jobs that nobody cancelled, and that had not begun in the end.
	PendingForGood int `json:"pending_for_good"`
	// ClassesMinShare is the least share of a class, a team, or a class's largest jobs that began;
	// LargestBeginP99S is after how long the largest of all classes did.
	ClassesMinShare  float64 `json:"classes_min_share"`
	LargestBeginP99S float64 `json:"largest_begin_p99_s"`
	// StartsInVain are tasks given to half-deaf machines later than a lease after they became so,
	// for each such machine and lease; ReturnedInVain are machines with work that no trouble had
	// met in the last minute.
	StartsInVain   float64 `json:"starts_in_vain"`
	ReturnedInVain int     `json:"returned_in_vain"`
	// StartedCancelled are tasks that began after their users were told of the cancellation; WaitedInVain are jobs
	// that waited 90 s once troubles were over while a machine that fits had room and their team was under its
	// limit; WrongAnswers are odd requests that were answered otherwise than the protocol says.
	StartedCancelled int `json:"started_cancelled"`
	WaitedInVain     int `json:"waited_in_vain"`
	WrongAnswers     int `json:"wrong_answers"`
	// Changes are those of the configuration that came into force.
	Changes int `json:"changes_in_force,omitempty"`
}

// book is what users and an all-seeing observer know.
type book struct {
	w *World

	mu     sync.Mutex
	jobs   map[string]*entry
	order  []*entry
	on     map[string]*machine
	calmAt time.Time
	// vain are starts for half-deaf machines, deaf how long machines were so, in leases.
	vain map[string]bool
	deaf float64
	// late are tasks of cancelled jobs that were found on machines too late.
	late map[string]bool
	// seen are the tasks that began.
	seen map[string]bool
	res  Result
}

// entry is one job as its user knows it.
type entry struct {
	api.Submission
	accepted, cancelled, over time.Time
	// told is the last state that a user was told for good; answered is when a question was.
	told     string
	toldAt   time.Time
	answered time.Time
	began    time.Time
	// ready is when the last job that it awaits was done.
	ready time.Time
	done  map[int]bool
	// asked: its user has asked to cancel it, whether that was answered or not.
	asked bool
	// orphan is when a job before it was told to be cancelled.
	orphan time.Time
	// room is since when it waits in vain, with no break; vain: that was noted.
	room time.Time
	vain bool
}

func newBook(w *World) *book {
	return &book{w: w, jobs: map[string]*entry{}, on: map[string]*machine{}, vain: map[string]bool{}, late: map[string]bool{}, seen: map[string]bool{}, res: Result{Rules: map[string]int{}}}
}

// broken notes a broken rule; the lock is held.
func (b *book) broken(rule, format string, a ...any) {
	b.res.Rules[rule]++
	if len(b.res.Why) < 20 {
		b.res.Why = append(b.res.Why, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, a...))
	}
}

// runs is how long a task runs, which its name fixes.
func (b *book) runs(task string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lasts(task)
}

// lasts is runs with the lock held.
func (b *book) lasts(task string) time.Duration {
	id, _, _ := strings.Cut(task, "/")
	e := b.jobs[id]
	if e == nil || e.Shape == api.Service {
		return time.Hour
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return time.Duration((0.5 + float64(h.Sum32()%1000)/1000) * e.EstimateS * float64(time.Second))
}

// started checks a start.
func (b *book) started(task string, m *machine) {
	id, num, _ := strings.Cut(task, "/")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.res.Tasks++
	if b.seen[task] {
		b.res.Again++
	}
	b.seen[task] = true
	now := time.Now()
	if on := b.on[task]; on != nil && on != m {
		b.broken("ran_twice", "%s on %s and %s", task, on.Name, m.Name)
	}
	b.on[task] = m
	e := b.jobs[id]
	if e == nil {
		b.broken("invented", "%s was started", task)
		return
	}
	e.room = time.Time{}
	if !e.cancelled.IsZero() {
		b.res.StartedCancelled++
		b.note("%s began on %s %v after its cancellation was told", task, m.Name, now.Sub(e.cancelled))
	}
	if e.Zone != "" && e.Zone != m.Zone {
		b.broken("wrong_place", "%s of zone %s in %s", task, e.Zone, m.Zone)
	}
	if b.w.ends(e) && len(e.done) == e.Tasks-1 {
		b.w.crowd.Go(func() { b.w.atLastEnd(e, b.runs(task)) })
	}
	if e.began.IsZero() {
		e.began = now
	}
	if !e.cancelled.IsZero() && now.Sub(e.cancelled) > seconds(b.w.Workers.CancelS) {
		b.broken("ran_cancelled", "%s was started %v after its cancellation was told", task, now.Sub(e.cancelled))
	}
	for _, a := range e.Awaits {
		if x := b.jobs[a]; x != nil && len(x.done) < x.Tasks {
			b.broken("too_early", "%s before %s, of which %d of %d tasks are done", task, a, len(x.done), x.Tasks)
		}
	}
	use, here := 0.0, 0
	for t := range b.on {
		id, _, _ := strings.Cut(t, "/")
		if x := b.jobs[id]; x != nil && x.Team == e.Team {
			use += x.CPUs
		}
		if id == e.ID && b.on[t].Zone == m.Zone {
			here++
		}
	}
	if use > b.w.limit()+1e-6 {
		b.broken("quota", "%s uses %.0f", e.Team, use)
	}
	if b.w.operators != nil {
		if why := b.w.operators.started(task, e.Team, use); why != "" {
			b.broken("older_revision", "%s", why)
		}
	}
	if e.Spread && here > (e.Tasks+1)/2 {
		b.broken("wrong_place", "%d of %d of %s in %s, with %s", here, e.Tasks, e.ID, m.Zone, num)
	}
}

// ended notes that a task is no longer on a machine.
func (b *book) ended(task string, m *machine, done bool) {
	id, num, _ := strings.Cut(task, "/")
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.on[task] == m {
		delete(b.on, task)
	}
	e := b.jobs[id]
	if e == nil {
		return
	}
	if now := time.Now(); !e.cancelled.IsZero() && now.Sub(e.cancelled) > seconds(b.w.Workers.CancelS)+time.Second {
		b.broken("ran_cancelled", "%s on %s until %v after it was told", task, m.Name, now.Sub(e.cancelled))
	}
	var n int
	if _, err := fmt.Sscan(num, &n); err == nil && done {
		e.done[n] = true
		if len(e.done) == e.Tasks && e.over.IsZero() {
			e.over = time.Now()
			for _, x := range b.order {
				if slices.Contains(x.Awaits, id) {
					x.ready = e.over
				}
			}
		}
	}
}

// note adds to what is said of the day; the lock is held.
func (b *book) note(format string, a ...any) {
	if len(b.res.Why) < 20 {
		b.res.Why = append(b.res.Why, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
	}
}

// image is the image that a task needs.
func (b *book) image(task string) string {
	id, _, _ := strings.Cut(task, "/")
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.jobs[id]; e != nil {
		return e.Image
	}
	return ""
}

// machineOf is a machine that runs a task of a job, the first by name; nil: none does.
func (b *book) machineOf(id string) (found *machine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for task, m := range b.on {
		if job, _, _ := strings.Cut(task, "/"); job == id && (found == nil || m.Name < found.Name) {
			found = m
		}
	}
	return found
}

// inVainWaits looks for jobs that wait although a machine has room for them. One moment without room, or a start,
// and the time counts anew. A service has to have room for all its tasks at once.
func (b *book) inVainWaits() {
	b.w.mu.Lock()
	sound := map[string]*machine{}
	for _, m := range b.w.machines {
		if !m.dead && m.deaf.IsZero() && m.mute+m.hung == 0 {
			sound[m.Name] = m
		}
	}
	b.w.mu.Unlock()
	taken := map[string]float64{}
	for _, m := range sound {
		taken[m.Name] = m.worker.Taken(b.cpus)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.calmAt.IsZero() {
		return
	}
	use, placed := map[string]float64{}, map[string]int{}
	for task := range b.on {
		id, _, _ := strings.Cut(task, "/")
		e := b.jobs[id]
		use[e.Team] += e.CPUs
		placed[id]++
	}
	for _, e := range b.order {
		left := e.Tasks - len(e.done) - placed[e.ID]
		fits := 0
		for _, m := range sound {
			if e.Zone == "" || e.Zone == m.Zone {
				fits += int((machineType.CPUs - taken[m.Name] + 1e-9) / e.CPUs)
			}
		}
		need := 1
		if e.Shape == api.Service {
			need = left
		}
		if e.accepted.IsZero() || e.told != "" || e.asked || !e.orphan.IsZero() || left <= 0 || b.waits(e) || fits < need ||
			use[e.Team]+float64(need)*e.CPUs > b.w.limit()+1e-9 {
			e.room = time.Time{}
			continue
		}
		if e.room.IsZero() {
			e.room = now
		}
		if now.Sub(e.room) > waitsInVain && !e.vain {
			e.vain = true
			b.res.WaitedInVain++
			b.note("waits in vain: %s %s, %d of %d tasks, %g processors each", e.ID, e.Class, left, e.Tasks, e.CPUs)
		}
	}
}

// cpus is what a task takes.
func (b *book) cpus(task string) float64 {
	id, _, _ := strings.Cut(task, "/")
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.jobs[id]; e != nil {
		return e.CPUs
	}
	return 0
}

// overdue looks for tasks of cancelled jobs that are on machines later than they may, also on silent ones.
func (b *book) overdue() {
	b.inVainWaits()
	b.mu.Lock()
	defer b.mu.Unlock()
	for task, m := range b.on {
		id, _, _ := strings.Cut(task, "/")
		e := b.jobs[id]
		if e == nil || e.cancelled.IsZero() || m.dead {
			continue
		}
		if over := time.Since(e.cancelled); over > seconds(b.w.Workers.CancelS) && !b.late[task] {
			b.late[task] = true
			b.broken("ran_cancelled", "%s is on %s %v after it was told", task, m.Name, over)
		}
	}
}

// inVain notes starts that were told a machine which hears nobody.
func (b *book) inVain(m *machine, cs []api.Command) {
	b.w.mu.Lock()
	since := m.deaf
	b.w.mu.Unlock()
	if since.IsZero() || time.Since(since) < seconds(b.w.Workers.LeaseS) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range cs {
		if c.Verb == api.CommandRun {
			b.vain[fmt.Sprint(m.Name, c.Task, c.Attempt)] = true
		}
	}
}

// returned notes a machine that was given back.
func (b *book) returned(m *machine) {
	_, _, _, running := m.worker.Seen()
	b.w.mu.Lock()
	sound := !m.dead && m.deaf.IsZero() && m.mute+m.hung == 0 && (m.touched.IsZero() || time.Since(m.touched) > time.Minute)
	since := m.deaf
	b.w.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if sound && running > 0 {
		b.res.ReturnedInVain++
	}
	if !since.IsZero() {
		b.deaf += time.Since(since).Seconds() / b.w.Workers.LeaseS
	}
}

// heals notes that a machine which was half-deaf hears again.
func (b *book) heals(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deaf += time.Since(since).Seconds() / b.w.Workers.LeaseS
}

// calm: all troubles are over; from here on no question may go unanswered for long.
func (b *book) calm() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calmAt = time.Now()
	for _, e := range b.order {
		if e.answered.Before(b.calmAt) {
			e.answered = b.calmAt
		}
	}
}

// users submit jobs as long as the day lasts, and ask and cancel.
func (w *World) users(ctx context.Context, began time.Time) {
	rng := w.random("users")
	for i := 0; time.Since(began) < w.Lasts; i++ {
		if !w.sleep(ctx, time.Duration(rng.ExpFloat64()/w.PerSecond*float64(time.Second))) {
			return
		}
		e := &entry{done: map[int]bool{}}
		e.Submission = api.Submission{ID: fmt.Sprintf("run-%06d", rng.IntN(1_000_000)), Team: []string{"one", "two"}[rng.IntN(2)], Shape: api.JobArray, Rank: "normal",
			CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 0.1, Spot: true, Class: "small", Tasks: 1 + rng.IntN(4), EstimateS: 5 + 10*rng.Float64()}
		switch k := rng.IntN(20); {
		case k < 2:
			e.Class, e.Tasks, e.CPUs = "large", w.Machines/4+rng.IntN(w.Machines), 2
		case k < 4:
			e.Class, e.Tasks, e.CPUs, e.MemoryGB = "whole", 1+rng.IntN(2), 8, 16
		case k < 7:
			e.Class, e.Rank = "guest", "low"
		case k < 8:
			e.Class, e.Shape, e.Rank, e.Tasks, e.Spread, e.EstimateS = "service", api.Service, "prod", 2, true, 0
		case k < 11:
			w.book.mu.Lock()
			for _, x := range w.book.order {
				if !x.accepted.IsZero() && x.Shape == api.JobArray && len(e.Awaits) < 2 && rng.IntN(4) == 0 {
					e.Awaits = append(e.Awaits, x.ID)
				}
			}
			w.book.mu.Unlock()
			e.Class = "piped"
		}
		if w.ImageS > 0 {
			e.Image = fmt.Sprint("img", rng.IntN(4))
		}
		if w.Berth && e.Shape == api.JobArray && e.Class != "large" && rng.IntN(3) == 0 {
			e.Zone = []string{"east", "west"}[rng.IntN(2)]
		}
		if w.RunS > 0 && e.Shape == api.JobArray && e.Class != "large" && e.Class != "whole" {
			e.EstimateS = w.RunS
		}
		cancels := w.Cancels
		if cancels == 0 {
			cancels = 1.0 / 15
		}
		cancel := time.Duration(-1)
		if e.Shape == api.Service || rng.Float64() < cancels {
			cancel = time.Duration(rng.IntN(60)) * time.Second
		}
		w.book.mu.Lock()
		known := w.book.jobs[e.ID] != nil
		if !known {
			w.book.jobs[e.ID] = e
			w.book.order = append(w.book.order, e)
		}
		w.book.mu.Unlock()
		if !known {
			w.crowd.Go(func() { w.user(ctx, e, cancel) })
		}
	}
}

// ask sends a request to a controller that takes requests; 0: nobody answered in time.
func (w *World) ask(ctx context.Context, rng *rand.Rand, patience time.Duration, r peer.Request) (int, api.JobStatus) {
	call, stop := context.WithTimeout(ctx, patience)
	defer stop()
	at := rng.IntN(3)
	for i := range 3 {
		name := members[(at+i)%3]
		n := w.node(name)
		if n == nil || !n.Ready() {
			continue
		}
		got := make(chan peer.Response, 1)
		go func() {
			w.thawed(name)
			a := n.Handle(call, r, false)
			w.thawed(name)
			got <- a
		}()
		select {
		case a := <-got:
			var st api.JobStatus
			_ = json.Unmarshal(a.Body, &st)
			return a.Status, st
		case <-call.Done():
			return 0, api.JobStatus{}
		}
	}
	return 0, api.JobStatus{}
}

// ends tells whether a job is called off as it ends.
func (w *World) ends(e *entry) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.ID))
	return w.atEnd.Load() > 0 && e.Shape == api.JobArray && h.Sum32()%2 == 0
}

// atLastEnd calls a job off around the moment at which its last task ends, so long from now, and asks about it and
// repeats its submission beside that.
func (w *World) atLastEnd(e *entry, in time.Duration) {
	body, err := json.Marshal(e.Submission)
	if err != nil {
		panic(err)
	}
	for i, r := range []peer.Request{{Verb: controller.VerbCancel, Job: e.ID}, {Verb: controller.VerbStatus, Job: e.ID}, {Verb: controller.VerbSubmit, Body: body},
		{Verb: controller.VerbStatus, Job: e.ID}, {Verb: controller.VerbCancel, Job: e.ID}} {
		w.crowd.Go(func() {
			rng := w.random(fmt.Sprint("at the end of ", e.ID, i))
			at := time.Duration(rng.Int64N(int64(100*time.Millisecond))) - 50*time.Millisecond
			if rng.IntN(2) == 0 {
				at = time.Duration(rng.Int64N(int64(3*time.Second))) - 100*time.Millisecond
			}
			if !w.sleep(w.ctx, in+at) {
				return
			}
			sent := time.Now()
			w.book.mu.Lock()
			e.asked = e.asked || r.Verb == controller.VerbCancel
			if e.told != "" {
				// Its user may have asked no more.
				e.answered = sent
			}
			w.book.mu.Unlock()
			status, st := w.ask(w.ctx, rng, 5*time.Second, r)
			w.book.answered(e, sent, status, st, r.Verb)
		})
	}
}

// oddly sends what a user with a mistake would: about a job in any state, and jobs that cannot run.
func (w *World) oddly(ctx context.Context, e *entry, rng *rand.Rand) {
	body := func(change func(m map[string]any)) []byte {
		raw, err := json.Marshal(e.Submission)
		m := map[string]any{}
		if err == nil {
			err = json.Unmarshal(raw, &m)
		}
		if err != nil {
			panic(err)
		}
		change(m)
		raw, _ = json.Marshal(m)
		return raw
	}
	fields := []string{"jobclass", "owner", "shape", "rank", "parts", "cores", "cards", "ram_gb", "bundle", "size_gb", "together", "apart", "standby", "expect_s", "snapshot_s", "stow_s"}
	field := fields[rng.IntN(len(fields))]
	changes := []struct {
		refused int
		change  func(m map[string]any)
	}{
		{http.StatusBadRequest, func(m map[string]any) { delete(m, field) }},
		{http.StatusBadRequest, func(m map[string]any) { m[field] = nil }},
		{http.StatusBadRequest, func(m map[string]any) { m[field] = []int{1} }},
		{http.StatusUnprocessableEntity, func(m map[string]any) { m["cores"] = 1000 }},
		{http.StatusUnprocessableEntity, func(m map[string]any) { m["owner"] = "nobody" }},
		{http.StatusUnprocessableEntity, func(m map[string]any) { m["hulls"] = []string{"none"} }},
		{http.StatusUnprocessableEntity, func(m map[string]any) { m["berth"] = "nowhere" }},
		{http.StatusUnprocessableEntity, func(m map[string]any) { m["shape"], m["parts"] = "standing", 90_000 }},
	}
	odd := changes[rng.IntN(len(changes))]
	// Known in other words, it has its state; unknown, it is refused.
	sent := time.Now()
	status, st := w.ask(ctx, rng, 5*time.Second, peer.Request{Verb: controller.VerbSubmit, Body: body(odd.change)})
	w.book.answered(e, sent, status, st, controller.VerbSubmit)
	id := fmt.Sprintf("run-7%s7", e.ID[4:])
	status, _ = w.ask(ctx, rng, 5*time.Second, peer.Request{Verb: controller.VerbSubmit, Body: body(func(m map[string]any) { odd.change(m); m["name_id"] = id })})
	if status != 0 && status != odd.refused && status < 500 {
		w.book.wrong("a job that %s: %d for %d", body(odd.change), status, odd.refused)
	}
	for _, verb := range []string{controller.VerbStatus, controller.VerbCancel} {
		if status, _ = w.ask(ctx, rng, 5*time.Second, peer.Request{Verb: verb, Job: id}); status != 0 && status != http.StatusNotFound && status < 500 {
			w.book.wrong("%s of a job that was refused: %d", verb, status)
		}
	}
	if w.book.over(e) {
		sent = time.Now()
		status, st = w.ask(ctx, rng, 5*time.Second, peer.Request{Verb: controller.VerbCancel, Job: e.ID})
		w.book.answered(e, sent, status, st, controller.VerbCancel)
	}
}

// user submits one job and asks about it until it is over.
func (w *World) user(ctx context.Context, e *entry, cancel time.Duration) {
	rng := w.random(e.ID)
	body, err := json.Marshal(e.Submission)
	if err != nil {
		panic(err)
	}
	ask := func(patience time.Duration, r peer.Request) (int, api.JobStatus) { return w.ask(ctx, rng, patience, r) }
	for from := time.Now(); ; {
		status, st := ask(5*time.Second, peer.Request{Verb: controller.VerbSubmit, Body: body})
		if status == http.StatusOK || status == http.StatusCreated {
			w.book.accept(e, st)
			break
		}
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
			w.book.refused(e, status)
			return
		}
		if time.Since(from) > time.Minute || !w.sleep(ctx, time.Second+time.Duration(rng.IntN(2000))*time.Millisecond) {
			return
		}
	}
	for {
		wait := time.NewTimer(pollEvery - time.Duration(rng.IntN(1000))*time.Millisecond)
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
		case t := <-w.wave:
			if rng.IntN(10) >= t.Count || e.Shape == api.Service {
				break
			}
			w.book.mu.Lock()
			e.asked = true
			w.book.mu.Unlock()
			cancel = 0
			if t.HangFor > 0 {
				w.hangOf(ctx, e, t.HangFor)
			}
			for from := time.Now(); time.Since(from) < t.For && e.told == ""; w.sleep(ctx, 50*time.Millisecond) {
				if status, st := ask(time.Second, peer.Request{Verb: controller.VerbCancel, Job: e.ID}); status == http.StatusOK {
					w.book.tell(e, status, st)
				}
			}
			if e.told != "" {
				cancel = -1
			}
		}
		if cancel >= 0 && time.Since(e.accepted) > cancel {
			w.book.mu.Lock()
			e.asked = true
			w.book.mu.Unlock()
			if status, st := ask(5*time.Second, peer.Request{Verb: controller.VerbCancel, Job: e.ID}); status == http.StatusOK {
				w.book.tell(e, status, st)
				cancel = -1
			}
		}
		sent := time.Now()
		status, st := ask(pollPatience, peer.Request{Verb: controller.VerbStatus, Job: e.ID})
		w.book.answered(e, sent, status, st, controller.VerbStatus)
		if w.odd.Load() > 0 && rng.IntN(3) == 0 {
			w.oddly(ctx, e, rng)
		}
		if w.book.over(e) && rng.IntN(3) > 0 {
			// Most ask no more; some later once again.
			return
		}
		if rng.IntN(10) == 0 {
			if status, _ := ask(pollPatience, peer.Request{Verb: controller.VerbStatus, Job: "run-9" + e.ID[4:] + "9"}); status == http.StatusOK {
				w.book.mu.Lock()
				w.book.broken("invented", "a job that nobody submitted")
				w.book.mu.Unlock()
			}
		}
	}
}

func (b *book) accept(e *entry, st api.JobStatus) {
	b.mu.Lock()
	e.accepted = time.Now()
	e.answered = e.accepted
	if e.ready.IsZero() {
		e.ready = e.accepted
	}
	b.mu.Unlock()
	b.tell(e, http.StatusOK, st)
}

// over tells whether a job is over for its user.
func (b *book) over(e *entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return e.told != ""
}

// wrong notes an answer that the protocol does not have.
func (b *book) wrong(format string, a ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.res.WrongAnswers++
	b.note("wrong answer: "+format, a...)
}

// answered takes in the answer to a request that was sent then, beside others: what the user was told meanwhile
// may be newer, since the two crossed.
func (b *book) answered(e *entry, sent time.Time, status int, st api.JobStatus, verb string) {
	b.mu.Lock()
	crossed := e.toldAt.After(sent) && st.State != api.Done && st.State != api.Cancelled
	known := !e.accepted.IsZero() && e.accepted.Before(sent)
	b.mu.Unlock()
	switch {
	case crossed:
	case verb == controller.VerbSubmit && known && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity):
		b.refused(e, status)
	case verb == controller.VerbCancel && status == http.StatusOK && st.State != api.Done && st.State != api.Cancelled:
		b.wrong("a cancellation of %s: %q", e.ID, st.State)
	default:
		b.tell(e, status, st)
	}
}

func (b *book) refused(e *entry, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !e.accepted.IsZero() {
		b.broken("forgotten", "%s accepted, then %d", e.ID, status)
	} else {
		b.broken("refused", "%s: %d", e.ID, status)
	}
}

// tell takes in an answer, and tells whether the job is over for its user.
func (b *book) tell(e *entry, status int, st api.JobStatus) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if status == http.StatusNotFound {
		b.broken("forgotten", "%s: 404", e.ID)
		return false
	}
	if status != http.StatusOK && status != http.StatusCreated {
		return false
	}
	if !b.calmAt.IsZero() {
		b.res.LongestUnansweredS = max(b.res.LongestUnansweredS, now.Sub(e.answered).Seconds())
	}
	e.answered = now
	if e.told != "" && st.State != e.told {
		b.broken("went_back", "%s was %s, now %s", e.ID, e.told, st.State)
	}
	switch st.State {
	case api.Done:
		if len(e.done) < e.Tasks {
			b.broken("not_done", "%s with %d of %d tasks done", e.ID, len(e.done), e.Tasks)
		}
		b.final(e, st.State)
	case api.Cancelled:
		if e.cancelled.IsZero() {
			e.cancelled = now
		}
		if !e.asked && !b.behind(e) {
			b.broken("went_back", "%s is called cancelled, and was not", e.ID)
		}
		b.final(e, st.State)
		for _, x := range b.order {
			if slices.Contains(x.Awaits, e.ID) && x.orphan.IsZero() {
				x.orphan = now
			}
		}
	default:
		if !e.orphan.IsZero() && !e.accepted.IsZero() && now.Sub(later(e.orphan, e.accepted)) > seconds(b.w.Workers.CancelS) {
			b.broken("orphaned", "%s is %s", e.ID, st.State)
		}
	}
	return e.told != ""
}

// final notes the state that a user was told for good; the lock is held.
func (b *book) final(e *entry, state string) {
	if e.told == "" {
		e.toldAt = time.Now()
	}
	e.told = state
}

// behind tells whether the user of a job before one has asked to cancel it: the one's may hear first that
// it counts.
func (b *book) behind(e *entry) bool {
	return slices.ContainsFunc(e.Awaits, func(id string) bool { x := b.jobs[id]; return x != nil && (x.asked || b.behind(x)) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// result is what is found in the end.
func (b *book) result() *Result {
	b.w.mu.Lock()
	for _, m := range b.w.machines {
		if !m.deaf.IsZero() {
			b.deaf += time.Since(m.deaf).Seconds() / b.w.Workers.LeaseS
		}
	}
	b.w.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var largest []float64
	classes := map[string][]*entry{}
	for _, e := range b.order {
		if e.accepted.IsZero() {
			continue
		}
		b.res.Jobs++
		if e.told == "" {
			gap := now.Sub(e.answered)
			b.res.LongestUnansweredS = max(b.res.LongestUnansweredS, gap.Seconds())
			if gap > forgottenIn {
				b.res.Forgotten++
			}
			if e.began.IsZero() && e.orphan.IsZero() && e.cancelled.IsZero() && !b.waits(e) {
				b.res.PendingForGood++
				b.res.Why = append(b.res.Why, fmt.Sprintf("pending for good: %s %s, %d tasks, accepted %v ago", e.ID, e.Class, e.Tasks, now.Sub(e.accepted).Round(time.Second)))
			}
			if over := e.over; !over.IsZero() && now.Sub(over) > doneLag+2*pollEvery && e.answered.Sub(over) > doneLag {
				b.res.Why = append(b.res.Why, fmt.Sprintf("done late: %s", e.ID))
			}
		}
		if e.cancelled.IsZero() && e.orphan.IsZero() && !b.waits(e) {
			classes[e.Class] = append(classes[e.Class], e)
			classes["team "+e.Team] = append(classes["team "+e.Team], e)
		}
	}
	b.res.ClassesMinShare = 1
	share := func(es []*entry, within time.Duration) {
		n := 0
		for _, e := range es {
			if !e.began.IsZero() && (within == 0 || e.began.Sub(later(e.accepted, e.ready)) <= within) {
				n++
			}
		}
		if len(es) > 0 {
			b.res.ClassesMinShare = min(b.res.ClassesMinShare, float64(n)/float64(len(es)))
		}
	}
	for name, es := range classes {
		share(es, 0)
		if strings.HasPrefix(name, "team ") {
			continue
		}
		sort.SliceStable(es, func(i, j int) bool { return float64(es[i].Tasks)*es[i].CPUs > float64(es[j].Tasks)*es[j].CPUs })
		top := es[:min(len(es), max(1, len(es)/10))]
		share(top, beginIn)
		for _, e := range top {
			if e.began.IsZero() {
				largest = append(largest, now.Sub(later(e.accepted, e.ready)).Seconds())
			} else {
				largest = append(largest, max(0, e.began.Sub(later(e.accepted, e.ready)).Seconds()))
			}
		}
	}
	if len(largest) > 0 {
		sort.Float64s(largest)
		b.res.LargestBeginP99S = largest[(len(largest)*99-1)/100]
	}
	if b.deaf > 0 {
		b.res.StartsInVain = float64(len(b.vain)) / max(1, b.deaf)
	}
	if b.res.Tasks == 0 {
		b.broken("nothing_ran", "no task was started")
	}
	r := b.res
	return &r
}

// waits tells whether a job that one awaits is not done.
func (b *book) waits(e *entry) bool {
	for _, id := range e.Awaits {
		if x := b.jobs[id]; x == nil || len(x.done) < x.Tasks {
			return true
		}
	}
	return false
}
