package configuration

import (
	"time"

	"switchferry/tuning"
)

// ValidityLease is a controller's permission to use the revision that it has read. It expires
// tuning.ConfigurationRight, by the controller's own clock, after the request that last confirmed the
// revision as the newest. So whoever stores a newer one knows, without asking, when nobody uses the
// older one any more.
type ValidityLease struct {
	// Active is the configuration of the revision; nil: none has been read.
	Active *Active
	// StoreRevision is the state service's revision of HeadKey; 0: there is no head.
	StoreRevision uint64
	// RequestedAt is when the request was sent that last confirmed the revision as the newest.
	RequestedAt time.Time
}

// ValidAt tells whether the lease is valid at a time of the controller's clock.
func (l ValidityLease) ValidAt(now time.Time) bool {
	return l.Active != nil && now.Sub(l.RequestedAt) < tuning.ConfigurationLease
}
