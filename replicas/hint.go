package replicas

import (
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/internal/compress"
	"switchferry/tuning"
)

// Hint is what some machines hold, packed for a record: a new leader starts from it until
// agents report. It is only a hint: nothing breaks when it is old, cut short or missing.
type Hint struct {
	Packed string `json:"z"`
}

// packed is what is packed: for each dataset its number of parts and, by machine, which
// of them it holds.
type packed map[string]struct {
	Of int               `json:"n"`
	On map[string][]byte `json:"m"`
}

// EncodeHint packs what machines hold into at most so many bytes of text. Machines that do
// not fit are left out, the last ones first; told is how many are in it.
func EncodeHint(s *Snapshot, machines []string, number func(string) (MachineID, bool), most int) (h Hint, told int, err error) {
	for n := len(machines); n > 0; n /= 2 {
		p := packed{}
		for _, name := range machines[:n] {
			id, ok := number(name)
			if !ok {
				continue
			}
			mine, ok := s.machines.Get(id)
			if !ok {
				continue
			}
			for itr := mine.Iterator(); !itr.Done(); {
				d, held, _ := itr.Next()
				x, ok := p[d]
				if !ok {
					set, _ := s.sets.Get(d)
					x.Of, x.On = set.parts, map[string][]byte{}
				}
				if x.On[name], err = held.parts.ToBytes(); err != nil {
					return h, 0, err
				}
				p[d] = x
			}
		}
		text, err := compress.EncodeSmall(p)
		if err != nil {
			return h, 0, err
		}
		if len(text) <= most {
			return Hint{text}, n, nil
		}
	}
	return h, 0, nil
}

// Decode gives what each machine held.
func (h Hint) Decode() (map[string]map[string]Replica, error) {
	var p packed
	if err := compress.Decode(h.Packed, &p); err != nil {
		return nil, fmt.Errorf("hint of holdings: %w", err)
	}
	out := map[string]map[string]Replica{}
	for d, x := range p {
		for name, raw := range x.On {
			b := roaring.New()
			if err := b.UnmarshalBinary(raw); err != nil || b.Validate() != nil && !b.IsEmpty() || x.Of < 0 || x.Of > tuning.PartsLimit {
				return nil, fmt.Errorf("hint of holdings: parts of %s on %s: %v", d, name, err)
			}
			if out[name] == nil {
				out[name] = map[string]Replica{}
			}
			out[name][d] = Replica{x.Of, b}
		}
	}
	return out, nil
}
