package dataagent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/google/renameio/v2"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/tuning"
)

// Options say what an agent is to do.
type Options struct {
	// Machine is the worker's machine name, Address where peers and controllers reach
	// this agent.
	Machine, Address string
	// Dir holds the cache; CacheBytes is its size in bytes.
	Dir        string
	CacheBytes int64
	// Store is the base URL of the store, without a slash at its end.
	Store string
	// Controllers are their addresses by member name.
	Controllers map[string]string
	// DownRate and UpRate limit what is copied and served, in bytes a second; 0: not.
	DownRate, UpRate float64
	// AtOnce is how many peers are served at once.
	AtOnce int
	// Pack asks peers to pack what they send where it pays.
	Pack bool

	Clock     clockwork.Clock
	Transport http.RoundTripper
	// Step is called before each step of a write to the disk, for tests.
	Step func(string)
}

// storedState is what an agent must know after a crash: it may have told the controllers.
type storedState struct {
	Incarnation uint64         `json:"session"`
	Term        uint64         `json:"helm"`
	Order       uint64         `json:"order"`
	Sets        []api.StageSet `json:"sets"`
}

// Agent copies, keeps and serves. Make one with New, then Run it and serve Handler.
type Agent struct {
	options      Options
	clock        clockwork.Clock
	http         *http.Client
	cache        *Cache
	ctx          context.Context
	downLimiter  *rate.Limiter
	upLimiter    *rate.Limiter
	wake         chan struct{}
	heartbeatDue chan struct{}

	fromStore, fromPeers atomic.Int64
	servingSlots         chan struct{}

	// orderMu is held while an order is stored and taken over, so that orders
	// follow one another; mu guards what follows, shortly.
	orderMu   sync.Mutex
	mu        sync.Mutex
	state     storedState
	sequence  uint64
	desired   map[string]*desiredDataset
	downloads map[dataset.Digest]*chunkDownload
	// replicasVersion counts changes of what is held; known is what the controllers have.
	replicasVersion, knownVersion uint64
	// lostChunks is how many chunks the cache had lost when held was last put right.
	lostChunks uint64
	replicas   map[string]*replica
	transfers  map[string]*partTransfer
}

// desiredDataset is what the order asks of one dataset.
type desiredDataset struct {
	set            api.StageSet
	manifestDigest dataset.Digest
	manifest       *dataset.Manifest
	// pinned are the parts whose chunks this want pins; whole are those of them that are
	// there and checked.
	pinned, verified *roaring.Bitmap
}

// replica is what there is whole of a dataset.
type replica struct {
	manifest       *dataset.Manifest
	manifestDigest dataset.Digest
	parts          *roaring.Bitmap
}

// New opens the cache and takes up where an earlier process of this agent stopped: what
// the controllers were told is pinned stays so.
func New(ctx context.Context, options Options) (*Agent, error) {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Transport == nil {
		options.Transport = &http.Transport{DialContext: (&net.Dialer{Timeout: tuning.DialTimeout}).DialContext,
			MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	}
	if options.AtOnce == 0 {
		options.AtOnce = tuning.StageAtOnce
	}
	cache, err := OpenCache(options.Dir, options.CacheBytes, options.Step)
	if err != nil {
		return nil, err
	}
	agent := &Agent{options: options, clock: options.Clock, http: &http.Client{Transport: options.Transport}, cache: cache, ctx: ctx,
		downLimiter: newLimiter(options.DownRate), upLimiter: newLimiter(options.UpRate), wake: make(chan struct{}, 1), heartbeatDue: make(chan struct{}, 1),
		servingSlots: make(chan struct{}, options.AtOnce), desired: map[string]*desiredDataset{}, downloads: map[dataset.Digest]*chunkDownload{},
		replicas: map[string]*replica{}, transfers: map[string]*partTransfer{}}
	raw, err := os.ReadFile(filepath.Join(options.Dir, "state.json"))
	if err == nil {
		err = json.Unmarshal(raw, &agent.state)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("state.json: %w; with no task on this machine the folder can be emptied", err)
	}
	agent.state.Incarnation++
	if err := agent.saveState(agent.state); err != nil {
		return nil, err
	}
	for _, digest := range cache.Manifests() {
		if manifest, _, err := cache.Manifest(digest); err == nil {
			agent.updateReplica(manifest, digest)
		}
	}
	agent.adoptOrder(agent.state)
	for name, parts := range cache.LinkedInputs() {
		for _, part := range parts {
			if desired := agent.desired[name]; desired == nil || !desired.set.Parts.Contains(uint32(part)) {
				cache.UnlinkInputs(name, part)
			}
		}
	}
	return agent, nil
}

func newLimiter(bytesPerS float64) *rate.Limiter {
	if bytesPerS <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerS), max(16<<10, min(tuning.StageBlock, int(bytesPerS/20))))
}

func (agent *Agent) saveState(state storedState) error {
	raw, err := json.Marshal(state)
	if err == nil {
		agent.cache.step("state")
		err = renameio.WriteFile(filepath.Join(agent.options.Dir, "state.json"), raw, 0o644)
	}
	return err
}

// updateReplica counts which parts of a dataset are there whole.
func (agent *Agent) updateReplica(manifest *dataset.Manifest, digest dataset.Digest) {
	parts := roaring.New()
	for part := range manifest.PartCount() {
		if agent.hasPart(manifest, part) {
			parts.Add(uint32(part))
		}
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	held := agent.replicas[digest.String()]
	if held != nil && held.parts.Equals(parts) || held == nil && parts.IsEmpty() {
		return
	}
	agent.replicas[digest.String()] = &replica{manifest, digest, parts}
	agent.replicasVersion++
}

// refreshReplicas puts what is held right after chunks went: a part that lost one is not told to
// anybody any more. Manifests of which nothing is left go as well.
func (agent *Agent) refreshReplicas() {
	lost := agent.cache.LostChunks()
	agent.mu.Lock()
	if lost == agent.lostChunks {
		agent.mu.Unlock()
		return
	}
	agent.lostChunks = lost
	sets := slices.Collect(maps.Values(agent.replicas))
	agent.mu.Unlock()
	for _, held := range sets {
		agent.updateReplica(held.manifest, held.manifestDigest)
		agent.mu.Lock()
		empty := agent.replicas[held.manifestDigest.String()].parts.IsEmpty() && agent.desired[held.manifest.Name] == nil
		if empty {
			delete(agent.replicas, held.manifestDigest.String())
		}
		agent.mu.Unlock()
		if empty {
			agent.cache.RemoveManifest(held.manifestDigest)
		}
	}
}

func (agent *Agent) hasPart(manifest *dataset.Manifest, part int) bool {
	from, to := manifest.Part(part)
	for i := from; i < to; i++ {
		if !agent.cache.Has(manifest.Chunks[i]) {
			return false
		}
	}
	return true
}

// Apply takes an order in. False: it is from an older leader, an older order of the same
// one, or for an earlier session, and nothing changed. The order is on disk before it
// counts, so that what this agent says is pinned stays so through its crash.
func (agent *Agent) Apply(order *api.StageOrder) (bool, error) {
	agent.orderMu.Lock()
	defer agent.orderMu.Unlock()
	agent.mu.Lock()
	state := agent.state
	agent.mu.Unlock()
	if order.Term < state.Term || order.Term == state.Term && order.Order < state.Order || order.Incarnation != 0 && order.Incarnation != state.Incarnation {
		return false, nil
	}
	if order.Term != state.Term || order.Order != state.Order {
		state.Term, state.Order, state.Sets = order.Term, order.Order, order.Sets
		if err := agent.saveState(state); err != nil {
			return false, err
		}
		agent.adoptOrder(state)
	}
	for _, m := range order.Drop {
		agent.removeDataset(m)
	}
	agent.mu.Lock()
	agent.knownVersion = order.Known
	tell := agent.knownVersion != agent.replicasVersion
	agent.mu.Unlock()
	if tell {
		agent.requestHeartbeat()
	}
	return true, nil
}

// removeDataset lets go of a dataset that was removed, but for chunks that another one on this
// machine has as well. One that the order still asks for stays.
func (agent *Agent) removeDataset(manifest string) {
	agent.mu.Lock()
	held := agent.replicas[manifest]
	wanted := false
	others := map[dataset.Digest]bool{}
	for _, desired := range agent.desired {
		wanted = wanted || desired.manifestDigest.String() == manifest
	}
	for name, order := range agent.replicas {
		if name != manifest {
			for _, c := range order.manifest.Chunks {
				others[c.Digest] = true
			}
		}
	}
	agent.mu.Unlock()
	if held == nil || wanted {
		return
	}
	slog.Info("dataset removed", "dataset", held.manifest.Name)
	for _, c := range held.manifest.Chunks {
		if !others[c.Digest] {
			agent.cache.RemoveChunk(c.Digest)
		}
	}
	// What it shares with another is that one's: it is no longer told as this one's.
	agent.mu.Lock()
	delete(agent.replicas, manifest)
	agent.replicasVersion++
	agent.mu.Unlock()
	agent.cache.RemoveManifest(held.manifestDigest)
	agent.refreshReplicas()
}

// adoptOrder makes an order the one that counts.
func (agent *Agent) adoptOrder(state storedState) {
	next := map[string]*desiredDataset{}
	for _, set := range state.Sets {
		digest, err := dataset.ParseDigest(set.Manifest)
		if err != nil || set.Parts.Bitmap == nil {
			slog.Error("order makes no sense", "dataset", set.Dataset, "err", err)
			continue
		}
		next[set.Dataset] = &desiredDataset{set: set, manifestDigest: digest, pinned: roaring.New(), verified: roaring.New()}
	}
	agent.mu.Lock()
	old := agent.desired
	for n, desired := range next {
		if order := old[n]; order != nil && order.manifestDigest == desired.manifestDigest {
			desired.manifest, desired.pinned, desired.verified = order.manifest, order.pinned, order.verified
			delete(old, n)
		}
	}
	agent.state, agent.desired = state, next
	// What is no longer wanted may go from here on. It is found before the lock is let go: what
	// keeps the new wants is at work on them from then on.
	gone := map[*desiredDataset]*roaring.Bitmap{}
	for _, desired := range old {
		gone[desired] = desired.pinned.Clone()
	}
	for _, desired := range next {
		if desired.manifest != nil {
			gone[desired] = roaring.AndNot(desired.pinned, desired.set.Parts.Bitmap)
		}
	}
	agent.mu.Unlock()
	for desired, parts := range gone {
		agent.unpinParts(desired, parts)
	}
	for _, transfer := range agent.removeStaleTransfers() {
		transfer.cancel()
	}
	agent.wakeReconciler()
}

// unpinParts lets parts go that a want has kept so far. Pins change under the agent's lock,
// together with what they stand for.
func (agent *Agent) unpinParts(desired *desiredDataset, parts *roaring.Bitmap) {
	for itr := parts.Iterator(); itr.HasNext(); {
		agent.cache.UnlinkInputs(desired.set.Dataset, int(itr.Next()))
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for itr := roaring.And(desired.pinned, parts).Iterator(); itr.HasNext(); {
		from, to := desired.manifest.Part(int(itr.Next()))
		for i := from; i < to; i++ {
			agent.cache.Unpin(desired.manifest.Chunks[i].Digest)
		}
	}
	desired.pinned = roaring.AndNot(desired.pinned, parts)
	desired.verified = roaring.AndNot(desired.verified, parts)
}

func (agent *Agent) wakeReconciler() {
	select {
	case agent.wake <- struct{}{}:
	default:
	}
}

// requestHeartbeat asks for a report soon.
func (agent *Agent) requestHeartbeat() {
	select {
	case agent.heartbeatDue <- struct{}{}:
	default:
	}
}

func transferKey(name string, part int) string { return fmt.Sprintf("%s/%d", name, part) }

// removeStaleTransfers are the transfers that the order no longer asks for.
func (agent *Agent) removeStaleTransfers() (out []*partTransfer) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for k, transfer := range agent.transfers {
		if len(agent.orderedSources(transfer.datasetName, transfer.part)) == 0 {
			delete(agent.transfers, k)
			out = append(out, transfer)
		}
	}
	return out
}

// orderedSources are the sources that the order names for a part; the lock is held.
func (agent *Agent) orderedSources(name string, part int) []api.StageSource {
	desired := agent.desired[name]
	if desired == nil {
		return nil
	}
	for _, c := range desired.set.Copies {
		if c.Part == part {
			return c.From
		}
	}
	return nil
}

func (agent *Agent) currentSources(transfer *partTransfer) []api.StageSource {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.orderedSources(transfer.datasetName, transfer.part)
}

// Run copies and reports until the context ends.
func (agent *Agent) Run(ctx context.Context) {
	if len(agent.options.Controllers) > 0 {
		go agent.sendHeartbeats(ctx)
	}
	for {
		again := agent.reconcile(ctx)
		var retry <-chan time.Time
		if again {
			retry = agent.clock.After(tuning.StageBackoff)
		}
		select {
		case <-ctx.Done():
			return
		case <-agent.wake:
		case <-retry:
		}
	}
}

// reconcile brings what is there in line with the order: manifests, pins, transfers. True:
// something failed and is worth another try soon.
func (agent *Agent) reconcile(ctx context.Context) (again bool) {
	agent.mu.Lock()
	wants := slices.Collect(maps.Values(agent.desired))
	agent.mu.Unlock()
	slices.SortFunc(wants, func(first, second *desiredDataset) int { return strings.Compare(first.set.Dataset, second.set.Dataset) })
	for _, desired := range wants {
		if desired.manifest == nil {
			var from []api.StageSource
			for _, c := range desired.set.Copies {
				for _, s := range c.From {
					if !slices.Contains(from, s) {
						from = append(from, s)
					}
				}
			}
			manifest, err := agent.loadManifest(ctx, desired.set.Dataset, desired.manifestDigest, from)
			if err != nil {
				if len(from) > 0 {
					slog.Info("no manifest", "dataset", desired.set.Dataset, "err", err)
					again = true
				}
				continue
			}
			agent.mu.Lock()
			desired.manifest = manifest
			agent.mu.Unlock()
			agent.updateReplica(manifest, desired.manifestDigest)
		}
		again = agent.pinParts(desired) || again
		agent.startTransfers(ctx, desired)
	}
	return again
}

// pinParts pins what is wanted, and checks what is there.
func (agent *Agent) pinParts(desired *desiredDataset) (again bool) {
	manifest := desired.manifest
	agent.mu.Lock()
	fresh := roaring.AndNot(desired.set.Parts.Bitmap, desired.pinned)
	fresh.RemoveRange(uint64(manifest.PartCount()), 1<<32)
	if agent.desired[desired.set.Dataset] != desired {
		fresh = roaring.New()
	}
	desired.pinned = roaring.Or(desired.pinned, fresh)
	open := roaring.AndNot(desired.pinned, desired.verified)
	for itr := fresh.Iterator(); itr.HasNext(); {
		from, to := manifest.Part(int(itr.Next()))
		for i := from; i < to; i++ {
			agent.cache.Pin(manifest.Chunks[i].Digest)
		}
	}
	agent.mu.Unlock()
	whole := roaring.New()
	for itr := open.Iterator(); itr.HasNext(); {
		part := itr.Next()
		if !agent.hasPart(manifest, int(part)) {
			continue
		}
		ok := true
		from, to := manifest.Part(int(part))
		for i := from; i < to && ok; i++ {
			if err := agent.cache.Verify(manifest.Chunks[i]); err != nil {
				slog.Error("chunk lost", "dataset", desired.set.Dataset, "part", part, "err", err)
				ok, again = false, true
			}
		}
		if err := agent.cache.LinkInputs(manifest, int(part)); ok && err != nil {
			slog.Error("inputs not shown", "dataset", desired.set.Dataset, "part", part, "err", err)
			ok, again = false, true
		}
		if ok {
			whole.Add(part)
		}
	}
	if !whole.IsEmpty() {
		agent.mu.Lock()
		whole.And(desired.pinned)
		desired.verified = roaring.Or(desired.verified, whole)
		agent.mu.Unlock()
		agent.requestHeartbeat()
	}
	if again {
		agent.updateReplica(manifest, desired.manifestDigest)
	}
	return again
}

// startTransfers starts the transfers that the order asks for.
func (agent *Agent) startTransfers(ctx context.Context, desired *desiredDataset) {
	for _, c := range desired.set.Copies {
		if c.Part < 0 || c.Part >= desired.manifest.PartCount() || agent.hasPart(desired.manifest, c.Part) {
			continue
		}
		agent.mu.Lock()
		k := transferKey(desired.set.Dataset, c.Part)
		if agent.transfers[k] != nil || agent.desired[desired.set.Dataset] != desired {
			agent.mu.Unlock()
			continue
		}
		transferCtx, cancel := context.WithCancel(ctx)
		transfer := &partTransfer{datasetName: desired.set.Dataset, part: c.Part, manifest: desired.manifest, cancel: cancel, ended: make(chan struct{})}
		transfer.progress.totalBytes = desired.manifest.PartBytes(c.Part)
		agent.transfers[k] = transfer
		agent.mu.Unlock()
		go func() {
			agent.copyPart(transferCtx, transfer)
			cancel()
			agent.mu.Lock()
			if agent.transfers[k] == transfer {
				delete(agent.transfers, k)
			}
			agent.mu.Unlock()
			agent.updateReplica(desired.manifest, desired.manifestDigest)
			agent.requestHeartbeat()
			agent.wakeReconciler()
		}()
	}
}

// Report is what the agent says of itself now. All: with all that it holds.
func (agent *Agent) Report(all bool) api.StageHeartbeat {
	agent.refreshReplicas()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.sequence++
	r := api.StageHeartbeat{Machine: agent.options.Machine, Address: agent.options.Address, Incarnation: agent.state.Incarnation, Seq: agent.sequence, Term: agent.state.Term,
		Order: agent.state.Order, Quota: agent.options.CacheBytes, Used: agent.cache.Used(), Version: agent.replicasVersion, All: all,
		FromStore: agent.fromStore.Load(), FromPeers: agent.fromPeers.Load()}
	if all {
		for _, held := range agent.replicas {
			if !held.parts.IsEmpty() {
				r.Holds = append(r.Holds, api.StageHeld{Dataset: held.manifest.Name, Manifest: held.manifestDigest.String(), Of: held.manifest.PartCount(), Parts: api.PartSet{Bitmap: held.parts}})
			}
		}
	}
	for _, desired := range agent.desired {
		if !desired.verified.IsEmpty() {
			r.Pinned = append(r.Pinned, api.StageHeld{Dataset: desired.set.Dataset, Manifest: desired.set.Manifest, Parts: api.PartSet{Bitmap: desired.verified}})
		}
	}
	for _, transfer := range agent.transfers {
		r.Copies = append(r.Copies, transfer.progress.status(transfer.datasetName, transfer.part))
	}
	slices.SortFunc(r.Holds, func(first, second api.StageHeld) int { return strings.Compare(first.Dataset, second.Dataset) })
	slices.SortFunc(r.Pinned, func(first, second api.StageHeld) int { return strings.Compare(first.Dataset, second.Dataset) })
	slices.SortFunc(r.Copies, func(first, second api.StageProgress) int {
		if first.Dataset != second.Dataset {
			return strings.Compare(first.Dataset, second.Dataset)
		}
		return first.Part - second.Part
	})
	return r
}

// status tells the controllers, one after the other until one takes it, as a worker does.
func (agent *Agent) sendHeartbeats(ctx context.Context) {
	names := slices.Sorted(maps.Keys(agent.options.Controllers))
	at := 0
	for ctx.Err() == nil {
		next, err := agent.sendHeartbeat(ctx, agent.options.Controllers[names[at]])
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && next == "":
			timer := agent.clock.After(tuning.StageReportEvery)
			agent.sleep(ctx, tuning.StageReportMin)
			select {
			case <-ctx.Done():
			case <-timer:
			case <-agent.heartbeatDue:
			}
			continue
		case err == nil && next != names[at] && slices.Contains(names, next):
			at = slices.Index(names, next)
			agent.sleep(ctx, tuning.StageReportMin)
			continue
		case err != nil:
			slog.Debug("report not taken", "by", names[at], "err", err)
		}
		at = (at + 1) % len(names)
		agent.sleep(ctx, time.Second)
	}
}

// sendHeartbeat sends one report. Next names the controller to go to instead.
func (agent *Agent) sendHeartbeat(ctx context.Context, addr string) (next string, err error) {
	ctx, stop := context.WithTimeout(ctx, tuning.StageCallTimeout)
	defer stop()
	raw, err := json.Marshal(agent.Next())
	if err != nil {
		return "", err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/staging", bytes.NewReader(raw))
	if err != nil {
		return "", err
	}
	response, err := agent.http.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, tuning.OrderLimit))
	if err != nil {
		return "", err
	}
	switch response.StatusCode {
	case http.StatusOK:
		var order api.StageOrder
		if err := json.Unmarshal(body, &order); err != nil {
			return "", fmt.Errorf("malformed order: %w", err)
		}
		_, err = agent.Apply(&order)
		return "", err
	case http.StatusMisdirectedRequest:
		var r api.Redirect
		if json.Unmarshal(body, &r) == nil && r.Controller != "" {
			return r.Controller, nil
		}
	}
	return "", fmt.Errorf("status %d", response.StatusCode)
}

// transferProgress is how far a copy is.
type transferProgress struct {
	mu            sync.Mutex
	receivedBytes int64
	totalBytes    int64
	source        api.StageSource
	failures      []api.StageFailure
	full          bool
}

func (p *transferProgress) add(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.receivedBytes += n
}

func (p *transferProgress) setSource(source api.StageSource) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.source = source
}

func (p *transferProgress) clearFull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full = false
}

func (p *transferProgress) addFailure(failure api.StageFailure, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full = full
	p.failures = slices.DeleteFunc(p.failures, func(order api.StageFailure) bool { return order.From == failure.From })
	p.failures = append(p.failures, failure)
}

func (p *transferProgress) status(name string, part int) api.StageProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return api.StageProgress{Dataset: name, Part: part, Got: max(0, min(p.receivedBytes, p.totalBytes)), Of: p.totalBytes, From: p.source, Failed: slices.Clone(p.failures), Full: p.full}
}

// Next is the report that is due: with all that is held if the controllers do not know
// the present state yet.
func (agent *Agent) Next() api.StageHeartbeat {
	agent.mu.Lock()
	all := agent.knownVersion != agent.replicasVersion
	agent.mu.Unlock()
	return agent.Report(all)
}
