package replicas

import (
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/internal/compress"
	"switchferry/tuning"
)

// Hint is what some machines hold, packed for a record of the state service. A new leader starts
// from it until the agents report. Nothing breaks if a hint is old, incomplete or missing.
type Hint struct {
	Packed string `json:"z"`
}

// packedHint is the content of a hint, by dataset name.
type packedHint map[string]packedDataset

// packedDataset is the number of a dataset's parts and, by machine name, the encoded bitmap of the
// parts that each machine holds.
type packedDataset struct {
	PartCount int               `json:"n"`
	Machines  map[string][]byte `json:"m"`
}

// EncodeHint packs what the given machines hold into at most maxBytes of text. As long as they do
// not fit, the last half of the machines is left out; included is the number of the first machines
// that were considered for the hint, 0 if the hint is empty. machineID returns the number of a
// machine; machines for which it returns false are skipped.
func EncodeHint(snapshot *Snapshot, machines []string, machineID func(string) (MachineID, bool), maxBytes int) (hint Hint, included int, err error) {
	for included := len(machines); included > 0; included /= 2 {
		packed, err := snapshot.pack(machines[:included], machineID)
		if err != nil {
			return Hint{}, 0, err
		}
		text, err := compress.EncodeSmall(packed)
		if err != nil {
			return Hint{}, 0, fmt.Errorf("hint of replicas on %d machines: %w", included, err)
		}
		if len(text) <= maxBytes {
			return Hint{text}, included, nil
		}
	}
	return Hint{}, 0, nil
}

// pack returns what the given machines hold.
func (snapshot *Snapshot) pack(machines []string, machineID func(string) (MachineID, bool)) (packedHint, error) {
	packed := packedHint{}
	for _, name := range machines {
		number, ok := machineID(name)
		if !ok {
			continue
		}
		datasets, ok := snapshot.machines.Get(number)
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
				return nil, fmt.Errorf("hint of replicas: parts of %s on %s: %w", datasetName, name, err)
			}
			entry.Machines[name] = encoded
		}
	}
	return packed, nil
}

// Decode returns what each machine held, by machine and dataset name. The error is that of a
// malformed hint, which comes from a record and is checked in full.
func (hint Hint) Decode() (map[string]map[string]Replica, error) {
	var packed packedHint
	if err := compress.Decode(hint.Packed, &packed); err != nil {
		return nil, fmt.Errorf("hint of replicas: %w", err)
	}
	machines := map[string]map[string]Replica{}
	for datasetName, entry := range packed {
		for name, encoded := range entry.Machines {
			if entry.PartCount < 0 || entry.PartCount > tuning.PartsLimit {
				return nil, fmt.Errorf("hint of replicas: %s on %s cannot have %d parts", datasetName, name, entry.PartCount)
			}
			parts, err := decodeParts(encoded)
			if err != nil {
				return nil, fmt.Errorf("hint of replicas: parts of %s on %s: %w", datasetName, name, err)
			}
			if machines[name] == nil {
				machines[name] = map[string]Replica{}
			}
			machines[name][datasetName] = Replica{entry.PartCount, parts}
		}
	}
	return machines, nil
}

// decodeParts decodes and validates a bitmap.
func decodeParts(encoded []byte) (*roaring.Bitmap, error) {
	parts := roaring.New()
	if err := parts.UnmarshalBinary(encoded); err != nil {
		return nil, err
	}
	// Validate refuses an empty bitmap, which is fine here.
	if err := parts.Validate(); err != nil && !parts.IsEmpty() {
		return nil, err
	}
	return parts, nil
}
