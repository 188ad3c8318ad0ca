package upgrade

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/fake"
	"switchferry/store"
	"switchferry/tuning"
)

// Tokens count as accepted once every member has a record. A member without one counts as missing, and while the records
// cannot be read, nothing is known.
func TestRaisedTokensNeedTheRecordsOfAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		state := fake.NewState(clock)
		var changes []TokenSupport
		registry := NewTokenRegistry("n0", []string{"n0", "n1", "n2"}, store.NewClient("state:1", state), clock, func(support TokenSupport) {
			changes = append(changes, support)
		})
		wantAfterCheck := func(when string, want TokenSupport) {
			t.Helper()
			time.Sleep(2 * tuning.VersionCheckInterval)
			synctest.Wait()
			if support := registry.Support(); support != want {
				t.Errorf("%s: support %d, want %d", when, support, want)
			}
		}
		state.SetDown(true)
		go registry.Run(t.Context())
		wantAfterCheck("no record can be read", TokenSupportUnknown)
		state.SetDown(false)
		state.Put(TokenRecordPrefix+"n1", TokenRecord{Raised: true})
		wantAfterCheck("one record is missing", TokenSupportMissing)
		if own := string(state.Get(TokenRecordPrefix + "n0")); own != `{"raised":true}` {
			t.Errorf("own record %s", own)
		}
		state.Put(TokenRecordPrefix+"n2", TokenRecord{Raised: true})
		wantAfterCheck("all records exist", TokenSupportComplete)
		if want := []TokenSupport{TokenSupportMissing, TokenSupportComplete}; !slices.Equal(changes, want) {
			t.Errorf("changes %v, want %v", changes, want)
		}
	})
}
