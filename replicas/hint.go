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

// packedHint is what is packed: for each dataset its number of parts and, by machine, which
// replicaOf them it holds.
type packedHint map[string]struct {
	Of int               `json:"n"`
	On map[string][]byte `json:"m"`
}

// EncodeHint packs what machines hold into at most so many bytes of text. Machines that do
// not fit are left out, the last ones first; told is how many are in it.
func EncodeHint(snapshot *Snapshot, machines []string, machineID func(string) (MachineID, bool), maxBytes int) (hint Hint, included int, err error) {
	for n := len(machines); n > 0; n /= 2 {
		packed := packedHint{}
		for _, name := range machines[:n] {
			machineID, ok := machineID(name)
			if !ok {
				continue
			}
			mine, ok := snapshot.machines.Get(machineID)
			if !ok {
				continue
			}
			for iterator := mine.Iterator(); !iterator.Done(); {
				datasetName, held, _ := iterator.Next()
				x, ok := packed[datasetName]
				if !ok {
					set, _ := snapshot.datasets.Get(datasetName)
					x.Of, x.On = set.partCount, map[string][]byte{}
				}
				if x.On[name], err = held.parts.ToBytes(); err != nil {
					return hint, 0, err
				}
				packed[datasetName] = x
			}
		}
		text, err := compress.EncodeSmall(packed)
		if err != nil {
			return hint, 0, err
		}
		if len(text) <= maxBytes {
			return Hint{text}, n, nil
		}
	}
	return hint, 0, nil
}

// Decode gives what each machine held.
func (hint Hint) Decode() (map[string]map[string]Replica, error) {
	var packed packedHint
	if err := compress.Decode(hint.Packed, &packed); err != nil {
		return nil, fmt.Errorf("hint of holdings: %w", err)
	}
	out := map[string]map[string]Replica{}
	for datasetName, x := range packed {
		for name, encoded := range x.On {
			parts := roaring.New()
			if err := parts.UnmarshalBinary(encoded); err != nil || parts.Validate() != nil && !parts.IsEmpty() || x.Of < 0 || x.Of > tuning.PartsLimit {
				return nil, fmt.Errorf("hint of holdings: parts of %s on %s: %v", datasetName, name, err)
			}
			if out[name] == nil {
				out[name] = map[string]Replica{}
			}
			out[name][datasetName] = Replica{x.Of, parts}
		}
	}
	return out, nil
}
