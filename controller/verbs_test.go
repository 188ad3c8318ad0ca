package controller

import "testing"

// Verbs of requests that only controllers send each other must not change, for compatibility with the version in
// production. The verbs of users' and operators' requests are checked by package internal/golden.
func TestVerbsBetweenControllersAreStable(t *testing.T) {
	for _, testCase := range []struct{ got, want string }{
		{verbForwardHeartbeat, "report"},
		{verbForwardStageHeartbeat, "stage"},
		{verbRefreshConfiguration, "confirm-configuration"},
	} {
		if testCase.got != testCase.want {
			t.Errorf("verb %q, want %q", testCase.got, testCase.want)
		}
	}
}
