package replicas

import (
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/internal/compress"
	"switchferry/tuning"
)

// Hint is a compressed snapshot of the replicas on some machines, stored as a record of the state
// service. A new leader uses it until the agents send heartbeats. A hint may be outdated,
// incomplete or missing: correctness does not depend on it.
type Hint struct {
	Packed string `json:"z"`
}

// packedHint is the content of a Hint before compression, keyed by dataset name.
type packedHint map[string]packedDataset

// packedDataset describes the replicas of one dataset. Machines maps the name of each machine to the
// encoded bitmap of the parts that it holds.
type packedDataset struct {
	PartCount int               `json:"n"`
	Machines  map[string][]byte `json:"m"`
}

// EncodeHint encodes the replicas on the given machines as a hint of at most maxBytes bytes. While the
// hint is too large, the second half of the list of machines is dropped. The hint covers the first
// included machines of the list; included is 0 if the hint is empty. lookUpID returns the ID of a
// machine, given its name; machines for which it returns false are skipped.
func EncodeHint(snapshot *Snapshot, machines []string, lookUpID func(string) (MachineID, bool), maxBytes int) (hint Hint, included int, err error) {
	for included := len(machines); included > 0; included /= 2 {
		packed, err := snapshot.pack(machines[:included], lookUpID)
		if err != nil {
			return Hint{}, 0, err
		}
		text, err := compress.EncodeSmall(packed)
		if err != nil {
			return Hint{}, 0, fmt.Errorf("encode replica hint for %d machines: %w", included, err)
		}
		if len(text) <= maxBytes {
			return Hint{text}, included, nil
		}
	}
	return Hint{}, 0, nil
}

// pack returns the replicas on the given machines. It skips machines for which lookUpID returns false.
func (snapshot *Snapshot) pack(machines []string, lookUpID func(string) (MachineID, bool)) (packedHint, error) {
	packed := packedHint{}
	for _, name := range machines {
		machineID, ok := lookUpID(name)
		if !ok {
			continue
		}
		datasets, ok := snapshot.machines.Get(machineID)
		if !ok {
			continue
		}
		for iterator := datasets.Iterator(); !iterator.Done(); {
			datasetName, held, _ := iterator.Next()
			entry, ok := packed[datasetName]
			if !ok {
				replicas, _ := snapshot.datasets.Get(datasetName)
				entry = packedDataset{PartCount: replicas.partCount, Machines: map[string][]byte{}}
				packed[datasetName] = entry
			}
			encoded, err := held.parts.ToBytes()
			if err != nil {
				return nil, fmt.Errorf("encode replica hint: parts of %s on %s: %w", datasetName, name, err)
			}
			entry.Machines[name] = encoded
		}
	}
	return packed, nil
}

// Decode returns the replicas in the hint, keyed by machine name and then by dataset name. The content
// is validated completely, since it comes from a stored record; the error says that it is malformed.
func (hint Hint) Decode() (map[string]map[string]Replica, error) {
	var packed packedHint
	if err := compress.Decode(hint.Packed, &packed); err != nil {
		return nil, fmt.Errorf("decode replica hint: %w", err)
	}
	machines := map[string]map[string]Replica{}
	for datasetName, entry := range packed {
		for name, encoded := range entry.Machines {
			if entry.PartCount < 0 || entry.PartCount > tuning.MaxParts {
				return nil, fmt.Errorf("decode replica hint: %s on %s: invalid number of parts %d", datasetName, name, entry.PartCount)
			}
			parts, err := decodeParts(encoded)
			if err != nil {
				return nil, fmt.Errorf("decode replica hint: parts of %s on %s: %w", datasetName, name, err)
			}
			if machines[name] == nil {
				machines[name] = map[string]Replica{}
			}
			machines[name][datasetName] = Replica{entry.PartCount, parts}
		}
	}
	return machines, nil
}

// decodeParts decodes and validates the encoded bitmap of a machine's parts.
func decodeParts(encoded []byte) (*roaring.Bitmap, error) {
	parts := roaring.New()
	if err := parts.UnmarshalBinary(encoded); err != nil {
		return nil, err
	}
	// Validate rejects empty bitmaps, but a machine may hold no parts.
	if err := parts.Validate(); err != nil && !parts.IsEmpty() {
		return nil, err
	}
	return parts, nil
}
