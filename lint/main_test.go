package main

import (
	"errors"
	"os"
	"reflect"
	"testing"
)

// changeToTreeWithBaseline changes the working directory to a temporary tree that contains only this baseline.
func changeToTreeWithBaseline(t *testing.T, baseline Counts) {
	t.Helper()
	t.Chdir(t.TempDir())
	if err := os.Mkdir("lint", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := writeBaseline(baseline); err != nil {
		t.Fatal(err)
	}
}

func expectBaseline(t *testing.T, want Counts) {
	t.Helper()
	baseline, err := readBaseline(baselinePath)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(baseline, want) {
		t.Errorf("baseline file: %v, want %v", baseline, want)
	}
}

func findingIn(filename, linter string) Finding {
	return Finding{Linter: linter, Text: "text", Pos: Position{Filename: filename, Line: 1, Column: 2}}
}

func TestCheckPassesAndPrintsDecreasedCounts(t *testing.T) {
	baseline := Counts{{"store", "errcheck"}: 1, {"store", "funlen"}: 2}
	changeToTreeWithBaseline(t, baseline)
	findings := []Finding{findingIn("store/etcd.go", "errcheck"), findingIn("store/etcd.go", "funlen")}
	text, err := check(baseline, findings, false)
	if err != nil {
		t.Fatal(err)
	}
	if want := "fewer: store funlen: 1, baseline 2\n"; text != want {
		t.Errorf("text %q, want %q", text, want)
	}
	expectBaseline(t, baseline)
}

func TestCheckFailsAndListsFindingsOfIncreasedPair(t *testing.T) {
	baseline := Counts{{"store", "errcheck"}: 1, {"store", "funlen"}: 2}
	changeToTreeWithBaseline(t, baseline)
	findings := []Finding{findingIn("store/etcd.go", "errcheck"), findingIn("store/etcd_test.go", "errcheck")}
	text, err := check(baseline, findings, true)
	if !errors.Is(err, errMoreFindings) {
		t.Fatalf("error %v, want %v", err, errMoreFindings)
	}
	want := `fewer: store funlen: 0, baseline 2
more: store errcheck: 2, baseline 1
  store/etcd.go:1:2: text (errcheck)
  store/etcd_test.go:1:2: text (errcheck)
`
	if text != want {
		t.Errorf("text %q, want %q", text, want)
	}
	expectBaseline(t, Counts{{"store", "errcheck"}: 1})
}

func TestRegenerateAcceptsMovesAndRejectsIncrease(t *testing.T) {
	baseline := Counts{{"controller", "funlen"}: 1}
	changeToTreeWithBaseline(t, baseline)
	grown := []Finding{findingIn("controller/a.go", "funlen"), findingIn("scheduler/a.go", "funlen")}
	text, err := regenerateBaseline(baseline, grown)
	if !errors.Is(err, errHigherTotals) {
		t.Errorf("error %v, want %v", err, errHigherTotals)
	}
	if want := "more in the whole tree:\n  funlen: 2, baseline 1\n"; text != want {
		t.Errorf("text %q, want %q", text, want)
	}
	expectBaseline(t, baseline)
	moved := []Finding{findingIn("scheduler/a.go", "funlen")}
	if _, err := regenerateBaseline(baseline, moved); err != nil {
		t.Error(err)
	}
	expectBaseline(t, Counts{{"scheduler", "funlen"}: 1})
}
