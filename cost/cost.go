// Package cost computes how long a task waits on a machine before it can run there. The scheduler determines what a machine
// lacks, and this package what that costs, so that water-filling, rebalancing, preemption and services weigh it alike. A
// new kind of cost is one more field of Wait and one more term of Wait.Seconds.
//
// All functions are pure.
package cost

import "math"

// Wait is what one task waits for on one machine, in seconds.
type Wait struct {
	// Image is the time to fetch its image, which the worker does after the task was started.
	Image float64
	// Data is the time to copy missing inputs, which is done before the task is started.
	Data float64
}

// Seconds returns the whole wait. Its parts add up since the image is fetched only once the inputs are there.
func (w Wait) Seconds() float64 { return w.Image + w.Data }

// Fetch returns the seconds to transfer an amount at a rate in the same unit a second, and 0 if the rate is not positive,
// as it is not known or not limited.
func Fetch(amount, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return amount / rate
}

// Copy returns the seconds until some bytes have been copied to a machine. They come after the backlog of the machine's
// link and, if they are only in the object store, after the backlog of that. Rates are in bytes a second; 0: no limit.
func Copy(bytes, linkBacklog, linkRate, storeBacklog, storeRate float64, storeOnly bool) float64 {
	if bytes <= 0 {
		return 0
	}
	seconds := Fetch(linkBacklog+bytes, linkRate)
	if storeOnly {
		seconds = math.Max(seconds, Fetch(storeBacklog+bytes, storeRate))
	}
	return seconds
}
