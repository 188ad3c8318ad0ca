package configuration

import (
	"testing"
	"time"

	"switchferry/tuning"
)

func TestValidityLeaseExpires(t *testing.T) {
	start := time.Unix(1000, 0)
	lease := ValidityLease{Active: FromFiles(nil, nil), RequestedAt: start}
	if !lease.ValidAt(start.Add(tuning.ConfigurationLease-1)) || lease.ValidAt(start.Add(tuning.ConfigurationLease)) || (ValidityLease{RequestedAt: start}).ValidAt(start) {
		t.Error("the lease does not expire tuning.ConfigurationLease after its request")
	}
}
