// Package softstate encodes soft state of the leader, the images that machines likely cache, so that the next leader
// does not have to infer it again. Nothing depends on such a record being current, complete or present.
//
// The package has no clock and no lock.
package softstate

import (
	"encoding/json"
	"fmt"

	"switchferry/fleet"
	"switchferry/store"
	"switchferry/tuning"
)

// Machine is a machine and the images that it likely caches, the most recently used first.
type Machine struct {
	Name   string
	Images []fleet.Image
}

// EncodeImages returns the record of machines with the most recently used images of each, as many as fit into limit
// bytes of JSON, and tuning.MaxImagesPerMachine at most.
func EncodeImages(machines []Machine, limit int) store.ImagesRecord {
	for perMachine := tuning.MaxImagesPerMachine; ; perMachine /= 2 {
		record := encode(machines, perMachine)
		raw, err := json.Marshal(record)
		if perMachine == 0 || err == nil && len(raw) <= limit {
			return record
		}
	}
}

// encode returns the record of machines with at most perMachine images of each. Machines without images are left out.
func encode(machines []Machine, perMachine int) store.ImagesRecord {
	table := imageTable{indices: map[string]int{}}
	cachedOn := map[string][]int{}
	for _, machine := range machines {
		var cached []int
		for _, image := range machine.Images {
			if len(cached) >= perMachine {
				break
			}
			if index, ok := table.index(image); ok {
				cached = append(cached, index)
			}
		}
		if len(cached) > 0 {
			cachedOn[machine.Name] = cached
		}
	}
	return store.ImagesRecord{Names: table.names, SizesGB: table.sizesGB, ImagesByMachine: cachedOn}
}

// imageTable numbers the images of a record.
type imageTable struct {
	names   []string
	sizesGB []float64
	indices map[string]int
}

// index returns the number of an image, which is added if it is new. It returns false for an image that the record
// cannot contain: its name is too long, or there are tuning.MaxImageNames images already.
func (t *imageTable) index(image fleet.Image) (index int, ok bool) {
	if index, ok := t.indices[image.Name]; ok {
		return index, true
	}
	name, err := json.Marshal(image.Name)
	if err != nil || len(name) > tuning.MaxImageNameBytes || len(t.names) >= tuning.MaxImageNames {
		return 0, false
	}
	index = len(t.names)
	t.indices[image.Name] = index
	t.names, t.sizesGB = append(t.names, image.Name), append(t.sizesGB, image.GB)
	return index, true
}

// DecodeImages returns the images of each machine of an encoded record, the most recently used first. Indices that the
// record does not define are ignored.
func DecodeImages(raw []byte) (map[string][]fleet.Image, error) {
	var record store.ImagesRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return nil, fmt.Errorf("decode record of images: %w", err)
	}
	if len(record.Names) != len(record.SizesGB) {
		return nil, fmt.Errorf("record of images has %d names and %d sizes", len(record.Names), len(record.SizesGB))
	}
	imagesOn := map[string][]fleet.Image{}
	for machine, cached := range record.ImagesByMachine {
		var images []fleet.Image
		for _, index := range cached {
			if index >= 0 && index < len(record.Names) {
				images = append(images, fleet.Image{Name: record.Names[index], GB: record.SizesGB[index]})
			}
		}
		imagesOn[machine] = images
	}
	return imagesOn, nil
}
