package settings

import (
	"fmt"
	"math"
	"net"
)

// Minimum values of settings without which the service cannot work.
const (
	// minTxnOps is the number of changes in the smallest transaction that must fit.
	minTxnOps = 3
	// minValueKB is the largest size of a job's record in KiB.
	minValueKB = 1
)

// check returns an error for the first invalid field with the number of further ones.
func (settings *Settings) check() error {
	var checker fieldChecker
	checker.checkMembers(settings)
	CheckTeams(settings.Facts.Teams, func(index int, field, want string) {
		name := fmt.Sprintf("facts.teams[%d]", index)
		if field != "" {
			name += "." + field
		}
		checker.fail(name, want)
	})
	workers := settings.Facts.Workers
	checker.checkPositive("facts.workers.report_s", workers.HeartbeatIntervalS)
	checker.checkPositive("facts.workers.lease_s", workers.LeaseS)
	checker.checkPositive("facts.workers.cancel_s", workers.CancelDeadlineS)
	checker.checkState(settings.Facts.State)
	checker.checkPositive("facts.cloud.rps", settings.Facts.Cloud.RPS)
	if !(settings.Facts.Cloud.ListLagS >= 0) {
		checker.fail("facts.cloud.list_lag_s", "must be 0 or more")
	}
	checker.checkPositive("facts.resources.ram_mb", settings.Facts.Resources.RAMMB)
	return summarizeErrors(checker.fieldErrors)
}

// fieldChecker collects the errors of invalid fields.
type fieldChecker struct{ fieldErrors []error }

// fail records an invalid field.
func (checker *fieldChecker) fail(field, want string) {
	checker.fieldErrors = append(checker.fieldErrors, fmt.Errorf("%s: %s", field, want))
}

// checkAddress checks that a field is an IP address with a port.
func (checker *fieldChecker) checkAddress(field, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		checker.fail(field, "must be an IP address and a port")
	}
}

// checkPositive checks that a field is a finite number above 0.
func (checker *fieldChecker) checkPositive(field string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		checker.fail(field, "must be a number above 0")
	}
}

// checkMembers checks the names of the controllers and the addresses of controllers and external services.
func (checker *fieldChecker) checkMembers(settings *Settings) {
	if settings.Member == "" {
		checker.fail("member", "is missing")
	}
	checker.checkAddress("serve_on", settings.Listen)
	checker.checkAddress("back", settings.PeerListen)
	checker.checkAddress("external.cloud", settings.External.Cloud)
	checker.checkAddress("external.state", settings.External.State)
	seen := map[string]bool{settings.Member: true}
	for index, peer := range settings.Peers {
		field := fmt.Sprintf("siblings[%d]", index)
		if peer.Member == "" || seen[peer.Member] {
			checker.fail(field+".member", "is missing or stands twice")
		}
		seen[peer.Member] = true
		checker.checkAddress(field+".address", peer.Address)
	}
}

// checkState checks the current and the announced limits of the state service.
func (checker *fieldChecker) checkState(state StateLimits) {
	checker.checkPositive("facts.state.rps", state.RPS)
	checker.checkPositive("facts.state.write_rps", state.WriteRPS)
	checker.checkPositive("facts.state.value_kb", state.ValueKB)
	if state.TxnOps < minTxnOps {
		checker.fail("facts.state.txn_ops", "must be 3 or more")
	}
	announced := state.Announced
	switch {
	case !isNonNegativeFinite(announced.WriteRPS) || !isNonNegativeFinite(announced.ValueKB):
		checker.fail("facts.state.next", "limits must be numbers of 0 or more; 0 or left out: as now")
	case announced.ValueKB > 0 && announced.ValueKB < minValueKB:
		checker.fail("facts.state.next.value_kb", "must be 1 or more: a job's record takes up to 1 KiB")
	}
	if announced.TxnOps != 0 && announced.TxnOps < minTxnOps {
		checker.fail("facts.state.next.txn_ops", "must be 3 or more, or left out: as now")
	}
}

// CheckTeams checks a list of teams. It calls fail for each error with the index of the team, the field, which is
// empty if the error concerns several fields, and a description of the valid values.
func CheckTeams(teams []Team, fail func(index int, field, want string)) {
	names := map[string]bool{}
	for index, team := range teams {
		if team.Name == "" || names[team.Name] {
			fail(index, "name", "is missing or stands twice")
		}
		names[team.Name] = true
		if !isNonNegativeFinite(team.CPUs) || !isNonNegativeFinite(team.CPUsMax) || !isNonNegativeFinite(team.Cards) || !isNonNegativeFinite(team.CardsMax) {
			fail(index, "", "amounts must be numbers of 0 or more")
		}
	}
}

// isNonNegativeFinite reports whether a number is finite and 0 or more.
func isNonNegativeFinite(value float64) bool { return value >= 0 && !math.IsInf(value, 0) }
