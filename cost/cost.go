// Package cost estimates how long a task waits on a machine before it can run there. The scheduler determines what a
// machine lacks, and this package converts that to seconds, so that water-filling, rebalancing, preemption and the
// placement of services use the same estimate. To add a kind of cost, add a field to Wait and a term to Wait.Seconds.
//
// All functions are pure.
package cost

import "math"

// Wait is how long one task waits on one machine, in seconds, by cause.
type Wait struct {
	// Image is the time to fetch the task's image. The worker fetches it after the task was started.
	Image float64
	// Data is the time to copy missing inputs. They are copied before the task is started.
	Data float64
}

// Seconds returns the total wait. The parts are added because the image is fetched only after the inputs were copied.
func (w Wait) Seconds() float64 { return w.Image + w.Data }

// Fetch returns the seconds that it takes to transfer an amount at a rate, which is given in the same unit per second.
// It returns 0 if the rate is not positive, which means that it is unknown or unlimited.
func Fetch(amount, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return amount / rate
}

// Copy returns the seconds until a number of bytes have been copied to a machine. The copy waits for the backlog of the
// machine's link and, if storeOnly is set because only the object store has the bytes, also for the store's backlog.
// Backlogs are in bytes and rates in bytes per second; a rate of 0 is unlimited.
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
