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
func EncodeImages(ms []Machine, bytes int) store.ImagesRecord {
	for each := tuning.ImagesEach; ; each /= 2 {
		rec := pack(ms, each)
		raw, err := json.Marshal(rec)
		if each == 0 || err == nil && len(raw) <= bytes {
			return rec
		}
	}
}

// pack is the record of some machines, with so many images of each, the newest.
func pack(ms []Machine, each int) store.ImagesRecord {
	rec := store.ImagesRecord{On: map[string][]int{}}
	index := map[string]int{}
	for _, m := range ms {
		var on []int
		for _, im := range m.Images {
			if len(on) >= each {
				break
			}
			i, ok := index[im.Name]
			if !ok {
				raw, err := json.Marshal(im.Name)
				if err != nil || len(raw) > tuning.ImagesNameBytes || len(index) >= tuning.ImagesNames {
					continue
				}
				i = len(index)
				index[im.Name] = i
				rec.Names, rec.GB = append(rec.Names, im.Name), append(rec.GB, im.GB)
			}
			on = append(on, i)
		}
		if len(on) > 0 {
			rec.On[m.Name] = on
		}
	}
	return rec
}

// DecodeImages reads a record: images by machine.
func DecodeImages(raw []byte) (map[string][]fleet.Image, error) {
	var rec store.ImagesRecord
	if err := json.Unmarshal(raw, &rec); err != nil {
		return nil, err
	}
	if len(rec.Names) != len(rec.GB) {
		return nil, fmt.Errorf("%d names and %d sizes", len(rec.Names), len(rec.GB))
	}
	out := map[string][]fleet.Image{}
	for name, on := range rec.On {
		var images []fleet.Image
		for _, i := range on {
			if i >= 0 && i < len(rec.Names) {
				images = append(images, fleet.Image{Name: rec.Names[i], GB: rec.GB[i]})
			}
		}
		out[name] = images
	}
	return out, nil
}
