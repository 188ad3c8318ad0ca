package soak

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"
)

func TestReleasesAreCountedOncePerTerm(t *testing.T) {
	directory := t.TempDir()
	line := func(term, exits, crossed int) string {
		return fmt.Sprintf("time=x level=INFO msg=\"attempts released\" term=%d exits_crossed=%d \"exit reported\"=%d\n", term, crossed, exits)
	}
	for name, text := range map[string]string{"n0.log": line(7, 1, 0) + line(7, 5, 1) + line(9, 2, 0), "n1.log": line(8, 10, 2)} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want := map[string]int{"exit reported": 17, "exits_crossed": 3}
	if got := countReleases(readLogs(directory)); !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

func TestInvariantViolationsAreCountedInAllLogs(t *testing.T) {
	directory := t.TempDir()
	for name, text := range map[string]string{"n0.log": "msg=\"invariant violated\" a\nmsg=\"invariant violated\" b\n", "n1.log": "msg=elected\n", "n2.log": "msg=\"invariant violated\" c\n"} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if got := countInvariantViolations(readLogs(directory)); got != 3 {
		t.Errorf("%d invariant violations, want 3", got)
	}
}
