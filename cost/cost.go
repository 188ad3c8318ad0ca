// Package cost knows what a task must wait for on a machine before it can start there, in
// seconds. It does not know jobs or machines: whoever places looks up what is missing and
// asks here what that costs, so that the water-filling, pulls, preemption and services
// all weigh it alike. A new concern is one more field and one more entry in Seconds.
package cost

import "math"

// Wait is what one task would wait for on one machine, in seconds.
type Wait struct {
	// Image is the fetch of its image; the worker does it after the start.
	Image float64
	// Data is the copying of missing inputs; it is done before the start.
	Data float64
}

// Seconds is the whole wait: the image is fetched only once the inputs are there.
func (w Wait) Seconds() float64 { return w.Image + w.Data }

// Fetch is the time for so many gigabytes at a rate in gigabytes a second, 0 where the
// rate is not known.
func Fetch(gb, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return gb / rate
}

// Copy is the time until so many bytes are on a machine: after what its link has to bring
// already, and, where they can only come from the store, after what that has to give out.
// Rates are in bytes a second; 0: no limit.
func Copy(bytes, linkBacklog, linkRate, storeBacklog, storeRate float64, storeOnly bool) float64 {
	if bytes <= 0 {
		return 0
	}
	t := Fetch(linkBacklog+bytes, linkRate)
	if storeOnly {
		t = math.Max(t, Fetch(storeBacklog+bytes, storeRate))
	}
	return t
}
