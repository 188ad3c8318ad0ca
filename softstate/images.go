// Package softstate puts on record what a leader infers of the images that machines hold, and reads it for the next one.
// Nothing breaks if a hint is old, damaged or gone. It has no clock and no lock.
package softstate

import (
	"encoding/json"
	"fmt"

	"switchferry/fleet"
	"switchferry/store"
	"switchferry/tuning"
)

// Machine is a machine and the images that it holds, the newest first.
type Machine struct {
	Name   string
	Images []fleet.Image
}

// EncodeImages is the record of some machines, with as many images of each as fit into so many bytes.
func EncodeImages(machines []Machine, limit int) store.ImagesRecord {
	for perMachine := tuning.ImagesEach; ; perMachine /= 2 {
		record := encode(machines, perMachine)
		raw, err := json.Marshal(record)
		if perMachine == 0 || err == nil && len(raw) <= limit {
			return record
		}
	}
}

// encode is the record of some machines, with so many images of each, the newest.
func encode(machines []Machine, perMachine int) store.ImagesRecord {
	record := store.ImagesRecord{On: map[string][]int{}}
	index := map[string]int{}
	for _, machine := range machines {
		var held []int
		for _, image := range machine.Images {
			if len(held) >= perMachine {
				break
			}
			i, ok := index[image.Name]
			if !ok {
				raw, err := json.Marshal(image.Name)
				if err != nil || len(raw) > tuning.ImagesNameBytes || len(index) >= tuning.ImagesNames {
					continue
				}
				i = len(index)
				index[image.Name] = i
				record.Names, record.GB = append(record.Names, image.Name), append(record.GB, image.GB)
			}
			held = append(held, i)
		}
		if len(held) > 0 {
			record.On[machine.Name] = held
		}
	}
	return record
}

// DecodeImages reads a record: images by machine.
func DecodeImages(raw []byte) (map[string][]fleet.Image, error) {
	var record store.ImagesRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return nil, err
	}
	if len(record.Names) != len(record.GB) {
		return nil, fmt.Errorf("%d names and %d sizes", len(record.Names), len(record.GB))
	}
	out := map[string][]fleet.Image{}
	for name, held := range record.On {
		var images []fleet.Image
		for _, index := range held {
			if index >= 0 && index < len(record.Names) {
				images = append(images, fleet.Image{Name: record.Names[index], GB: record.GB[index]})
			}
		}
		out[name] = images
	}
	return out, nil
}
