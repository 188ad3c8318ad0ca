package configuration

import (
	"testing"
	"time"

	"switchferry/tuning"
)

func TestValidityLeaseExpires(t *testing.T) {
	start := time.Unix(1000, 0)
	r := ValidityLease{Active: FromFiles(nil, nil), RequestedAt: start}
	if !r.ValidAt(start.Add(tuning.ConfigurationLease-1)) || r.ValidAt(start.Add(tuning.ConfigurationLease)) || (ValidityLease{RequestedAt: start}).ValidAt(start) {
		t.Error("the lease does not expire tuning.ConfigurationLease after its request")
	}
}
