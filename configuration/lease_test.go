package configuration

import (
	"testing"
	"time"

	"switchferry/tuning"
)

func TestValidityLeaseExpires(t *testing.T) {
	at := time.Unix(1000, 0)
	r := ValidityLease{Active: FromFiles(nil, nil), RequestedAt: at}
	if !r.ValidAt(at.Add(tuning.ConfigurationRight-1)) || r.ValidAt(at.Add(tuning.ConfigurationRight)) || (ValidityLease{RequestedAt: at}).ValidAt(at) {
		t.Error("the lease does not expire at its bound")
	}
}
