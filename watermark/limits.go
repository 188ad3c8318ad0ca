package watermark

import (
	"time"

	"switchferry/tuning"
)

// Limits are the durations that follow from a deployment's settings.
type Limits struct {
	// RenewFor is how long leases may be renewed after the moment up to which all cancellations are known.
	RenewFor time.Duration
	// MaxAge is the greatest age at which a peer's cancellation is still taken over. It exceeds the time in
	// which the tasks must be gone, since a cancellation is recorded before its user is notified.
	MaxAge time.Duration
	// Retention is how long a cancellation is remembered. It exceeds MaxAge, so that peers do not return to
	// each other what they have already forgotten.
	Retention time.Duration
}

// NewLimits returns the limits for the settings cancel_s and lease_s, such that a lease that was renewed as
// late as is allowed ends before the tasks of the first unknown cancellation must be gone.
func NewLimits(cancel, lease time.Duration) Limits {
	return Limits{
		RenewFor:  cancel - lease - tuning.LeaseRenewalMargin,
		MaxAge:    cancel + lease/2,
		Retention: cancel + lease,
	}
}
