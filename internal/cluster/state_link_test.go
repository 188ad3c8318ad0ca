package cluster

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/fake"
)

// newTestLink returns a link with the given faults to a new state service.
func newTestLink(t *testing.T, faults StateFaults) (*stateLink, *fake.State) {
	t.Helper()
	state := fake.NewState(clockwork.NewRealClock())
	link := newStateLink(t.Context(), state)
	link.faults = faults
	return link, state
}

// sendPut sends a transaction that sets the key a/b over the link. It returns the status, 0 without an answer.
func sendPut(ctx context.Context, t *testing.T, link *stateLink) int {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://state/multi", strings.NewReader(`{"then":[{"set":"a/b","value":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	response, err := link.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer closeQuietly(response.Body)
	return response.StatusCode
}

func TestStateLinkFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults StateFaults
		status int
		// atOnce is whether the transaction has been executed when the request ends, and later whether it has some
		// seconds afterwards.
		atOnce, later bool
	}{
		{"no faults", StateFaults{}, 200, true, true},
		{"refused", StateFaults{Refused: true}, 503, false, false},
		{"silent", StateFaults{Silent: true}, 0, false, false},
		{"lost answers", StateFaults{LostAnswers: 1}, 0, true, true},
		{"late writes", StateFaults{LateWrites: 1}, 0, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			link, state := newTestLink(t, tc.faults)
			ctx, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer stop()
			if got := sendPut(ctx, t, link); got != tc.status {
				t.Errorf("status %d, want %d", got, tc.status)
			}
			if got := state.Get("a/b") != nil; got != tc.atOnce {
				t.Errorf("executed at once %v, want %v", got, tc.atOnce)
			}
			if tc.later && !tc.atOnce {
				for end := time.Now().Add(maxLateWrite + time.Second); state.Get("a/b") == nil && time.Now().Before(end); {
					time.Sleep(20 * time.Millisecond)
				}
			}
			if got := state.Get("a/b") != nil; got != tc.later {
				t.Errorf("executed later %v, want %v", got, tc.later)
			}
		})
	}
}

func TestSilentStateLinkForwardsRequestAfterFaultEnds(t *testing.T) {
	link, _ := newTestLink(t, StateFaults{Silent: true})
	cluster := &Cluster{stateLinks: map[string]*stateLink{"n0": link}}
	time.AfterFunc(50*time.Millisecond, func() { cluster.SetStateFaults("n0", StateFaults{}) })
	if got := sendPut(t.Context(), t, link); got != 200 {
		t.Errorf("status %d", got)
	}
}
