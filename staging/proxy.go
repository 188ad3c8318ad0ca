package staging

import (
	"bytes"
	"encoding/json"
	"time"

	"switchferry/api"
	"switchferry/relay"
)

// Proxy answers agents in place of a leader that their controller does not reach. It
// decides nothing: reports go into a box for the leader, and the order that the leader
// sent last comes back. Agents refuse what is older than what they keep, so an order that
// comes late or twice does no harm, and proofs rest on what the leader reads in reports,
// whichever way these came. It is not safe for use from several goroutines at once.
type Proxy struct {
	Outbox *relay.Outbox
	Inbox  relay.Reader
	// spoke is what each agent said last, without what changes all the time; holds are
	// what it said that it holds, as of a version.
	spoke map[string]*spoke
}

type spoke struct {
	session, version uint64
	holds            []api.StageHeld
	has              bool
	said             []byte
}

// NewProxy makes a proxy whose reports go into a box.
func NewProxy(box *relay.Outbox) *Proxy { return &Proxy{Outbox: box, spoke: map[string]*spoke{}} }

// HandleHeartbeat takes in a report for the leader of a term, and gives what the agent is told.
func (p *Proxy) HandleHeartbeat(r api.StageHeartbeat, term uint64, now time.Time) (o api.StageOrder, err error) {
	if p.Outbox.Term() != term {
		p.Outbox.Reset(term)
		p.spoke = map[string]*spoke{}
	}
	s := p.spoke[r.Machine]
	if s == nil || s.session != r.Incarnation {
		s = &spoke{session: r.Incarnation}
		p.spoke[r.Machine] = s
	}
	told := api.StageOrder{}
	if raw := p.Inbox.MessageFor(term, r.Machine); raw != nil {
		if err := json.Unmarshal(raw, &told); err != nil {
			return o, err
		}
	}
	there := told.Term == term && told.Incarnation == r.Incarnation
	if r.All {
		s.version, s.holds, s.has = r.Version, r.Holds, true
	}
	has := s.has && s.version == r.Version
	if has && !(there && told.Known == r.Version) {
		// The leader may have missed what it holds, while it took our word for that.
		r.All, r.Holds = true, s.holds
	}
	still := r
	still.Seq, still.Used, still.FromStore, still.FromPeers = 0, 0, 0, 0
	still.Copies = nil
	for _, c := range r.Copies {
		c.Got = 0
		still.Copies = append(still.Copies, c)
	}
	said, err := json.Marshal(still)
	if err != nil {
		return o, err
	}
	body, err := json.Marshal(r)
	if err != nil {
		return o, err
	}
	p.Outbox.Put(r.Machine, body, !bytes.Equal(said, s.said), now)
	s.said = said
	// An order of number 0 changes nothing.
	o = api.StageOrder{Term: r.Term, Sets: []api.StageSet{}}
	if there {
		o = told
	}
	if has {
		o.Known = r.Version
	}
	return o, nil
}

// Expire drops agents that have not reported for so long.
func (p *Proxy) Expire(now time.Time, after time.Duration) {
	for _, name := range p.Outbox.Expire(now, after) {
		delete(p.spoke, name)
	}
}
