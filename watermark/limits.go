package watermark

import (
	"time"

	"switchferry/tuning"
)

// Limits holds the durations that are derived from a deployment's settings.
type Limits struct {
	// RenewFor is how long after the watermark leases may still be renewed.
	RenewFor time.Duration
	// MaxAge is the greatest age at which a peer's cancellation is still recorded. It exceeds the time within which the
	// tasks must have ended, since a cancellation is recorded before its user is notified.
	MaxAge time.Duration
	// Retention is how long a cancellation is kept. It exceeds MaxAge, so that peers do not send each other cancellations
	// that they have already removed.
	Retention time.Duration
}

// NewLimits returns the Limits for the settings cancel_s and lease_s. A lease that is renewed as late as RenewFor
// allows ends before the tasks of the first unknown cancellation must have ended.
func NewLimits(cancelTimeout, leaseDuration time.Duration) Limits {
	return Limits{
		RenewFor:  cancelTimeout - leaseDuration - tuning.LeaseRenewalMargin,
		MaxAge:    cancelTimeout + leaseDuration/2,
		Retention: cancelTimeout + leaseDuration,
	}
}
