package configuration

import (
	"time"

	"switchferry/tuning"
)

// ValidityLease permits a controller to use the revision that it has read. It expires
// tuning.ConfigurationLease, by the controller's own clock, after the controller sent the request that
// last confirmed the revision as the newest. The leader that stores a newer revision therefore knows,
// even if it cannot reach a controller, when that controller has stopped using the older one.
type ValidityLease struct {
	// Active is the configuration of the revision, or nil if none has been read.
	Active *Active
	// StoreRevision is the state service's revision of HeadKey, or 0 if there is no head.
	StoreRevision uint64
	// RequestedAt is the time at which the request that last confirmed the revision as the newest was
	// sent.
	RequestedAt time.Time
}

// ValidAt reports whether the lease is valid at the given time of the controller's clock.
func (l ValidityLease) ValidAt(now time.Time) bool {
	return l.Active != nil && now.Sub(l.RequestedAt) < tuning.ConfigurationLease
}
