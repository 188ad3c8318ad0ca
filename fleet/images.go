package fleet

import (
	"slices"

	"switchferry/cost"
)

// Image is a container image that a machine likely caches.
type Image struct {
	Name string
	GB   float64
}

// RecordImage records that a task with an image of gb gigabytes ran on the machine, and reports whether the image was
// not yet known to be cached there.
func (m *Machine) RecordImage(image string, gb float64) bool {
	limit := 0.0
	if m.Spec != nil {
		limit = m.Spec.CacheGB
	}
	known := m.cache.has(image)
	m.cache.touch(Image{image, gb}, limit)
	return !known
}

// Images returns the images that the machine likely caches, the most recently used first. The caller owns the slice.
func (m *Machine) Images() []Image {
	return append(make([]Image, 0, len(m.cache.images)), m.cache.images...)
}

// HasImage reports whether the machine likely caches an image.
func (m *Machine) HasImage(image string) bool { return m.cache.has(image) }

// FetchSeconds returns the time in seconds to fetch an image of gb gigabytes to the machine; 0 if the image is cached,
// or if the machine's type is not known.
func (m *Machine) FetchSeconds(image string, gb float64) float64 {
	if m.HasImage(image) || m.Spec == nil {
		return 0
	}
	return cost.Fetch(gb, m.Spec.PullGBs)
}

// imageCache is a worker's image cache as inferred from its heartbeats: the most recently used images that fit.
type imageCache struct {
	// images are ordered by use, the most recent first.
	images []Image
}

func (c *imageCache) has(name string) bool { return c.index(name) >= 0 }

// index returns the position of an image, or -1.
func (c *imageCache) index(name string) int {
	return slices.IndexFunc(c.images, func(image Image) bool { return image.Name == name })
}

// touch makes an image the most recently used one. A new image evicts the least recently used ones until all fit into
// limit gigabytes (0 means no limit); the new image itself is never evicted.
func (c *imageCache) touch(image Image, limit float64) {
	if i := c.index(image.Name); i >= 0 {
		copy(c.images[1:i+1], c.images[:i])
		c.images[0] = image
		return
	}
	c.images = slices.Insert(c.images, 0, image)
	if limit <= 0 {
		return
	}
	totalGB := 0.0
	for i, cached := range c.images {
		totalGB += cached.GB
		if i > 0 && totalGB > limit {
			c.images = c.images[:i]
			return
		}
	}
}
