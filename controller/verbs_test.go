package controller

import "testing"

// Verbs of requests that controllers alone send each other stay as the version in production has them; those of users
// and operators are pinned by package internal/golden.
func TestVerbsBetweenControllersAreStable(t *testing.T) {
	for _, testCase := range []struct{ got, want string }{
		{verbReport, "report"},
		{verbStage, "stage"},
		{verbConfirm, "confirm-configuration"},
	} {
		if testCase.got != testCase.want {
			t.Errorf("verb %q, want %q", testCase.got, testCase.want)
		}
	}
}
