package controller

import (
	"log/slog"
	"maps"
	"strconv"
	"strings"
	"time"

	"switchferry/softstate"
	"switchferry/store"
	"switchferry/tuning"
)

// A leader infers the images that machines hold from what ran on them. The next
// leader would begin without that, would see no holders, and on a large fleet
// each of hundreds of machines would fetch again or wait as if it had to. So what
// is known is put on record now and then, as a hint.

// used notes that a task ran on a machine.
func (c *Core) used(m *machine, j *job) {
	if m.RecordImage(j.Job.Image, j.Job.ImageGB) {
		c.imagesNew = true
	}
}

// keepImages asks for the images to be stored if something is new.
func (c *Core) keepImages(now time.Time) {
	if !c.imagesNew || now.Sub(c.imagesAt) < tuning.ImagesEvery {
		return
	}
	c.imagesNew, c.imagesAt = false, now
	for i := range c.recordParts() {
		c.hooks.Touch(store.ImagesKey(i), store.Lazy, nil)
	}
}

// recordMachines is how many machines stand in one such record: half as many where values are
// small, so that what does not fit into a small one is little.
func (c *Core) recordMachines() int {
	if c.set.Facts.State.Least().ValueBytes() < tuning.ImagesBytes {
		return tuning.ImagesMachines / 2
	}
	return tuning.ImagesMachines
}

// recordParts is how many records there are, of so many machines each, of what machines
// hold.
func (c *Core) recordParts() int {
	return (len(c.machines) + c.recordMachines() - 1) / c.recordMachines()
}

// recordPart are the machines of one such record, by its key; none: there is no such part.
func (c *Core) recordPart(key, prefix string) []*machine {
	part, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	ms, n := c.byName(), c.recordMachines()
	if err != nil || part < 0 || part*n >= len(ms) {
		return nil
	}
	return ms[part*n : min(len(ms), (part+1)*n)]
}

// imagesRecord is one part of the record. The parts are cut by the machines'
// order, which shifts as machines come and go; one that stands in two parts does
// no harm.
func (c *Core) imagesRecord(key string) (store.ImagesRecord, bool) {
	ms := c.recordPart(key, store.ImagesPrefix)
	if ms == nil {
		return store.ImagesRecord{}, false
	}
	held := make([]softstate.Machine, len(ms))
	for i, m := range ms {
		held[i] = softstate.Machine{Name: m.Name, Images: m.Images()}
	}
	return softstate.EncodeImages(held, c.set.Facts.State.Least().ValueBytes()), true
}

// Hint takes in what an earlier leader knew of images.
func (c *Core) Hint(items []store.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, it := range items {
		held, err := softstate.DecodeImages(it.Value)
		if err != nil {
			slog.Error("a record of images is damaged", "key", it.Key, "err", err)
			continue
		}
		maps.Copy(c.hints, held)
	}
}

// recall gives a machine that reports for the first time in this term the images
// that it held before, unless it began anew since.
func (c *Core) recall(m *machine) {
	images := c.hints[m.Name]
	delete(c.hints, m.Name)
	for i := len(images) - 1; i >= 0; i-- {
		m.RecordImage(images[i].Name, images[i].GB)
	}
}
