package main

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

func TestBaselineRoundTrip(t *testing.T) {
	counts := Counts{
		{"store", "errcheck"}:            2,
		{"controller", "funlen"}:         11,
		{"controller", "errcheck"}:       1,
		{"internal/world", "unparam"}:    3,
		{"configuration", "modernize"}:   0,
		{"configuration/port", "revive"}: 4,
	}
	text := counts.Format()
	want := baselineHeader + `configuration/port revive 4
controller errcheck 1
controller funlen 11
internal/world unparam 3
store errcheck 2
`
	if text != want {
		t.Errorf("formatted:\n%s\nwant:\n%s", text, want)
	}
	parsed, err := ParseBaseline(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	delete(counts, Pair{"configuration", "modernize"})
	if !reflect.DeepEqual(parsed, counts) {
		t.Errorf("parsed: %v, want %v", parsed, counts)
	}
}

func TestParseBaselineRejectsInvalidLines(t *testing.T) {
	for _, line := range []string{
		"store errcheck",
		"store errcheck two",
		"store errcheck 0",
		"store errcheck -1",
		"store errcheck 2 3",
		"placement errcheck 2", // listed before
	} {
		t.Run(line, func(t *testing.T) {
			_, err := ParseBaseline(strings.NewReader("# comment\n\nplacement errcheck 1\n" + line + "\n"))
			syntaxError, ok := errors.AsType[*SyntaxError](err)
			if !ok {
				t.Fatalf("error %v, want a SyntaxError", err)
			}
			if syntaxError.Line != 4 || syntaxError.Text != line {
				t.Errorf("error names line %d, %q", syntaxError.Line, syntaxError.Text)
			}
		})
	}
}

func TestCompareListsIncreasedNewAndDecreasedPairs(t *testing.T) {
	baseline := Counts{
		{"controller", "funlen"}: 5,
		{"controller", "revive"}: 5,
		{"election", "errcheck"}: 1,
		{"store", "errcheck"}:    2,
	}
	found := Counts{
		{"controller", "funlen"}: 6,
		{"controller", "revive"}: 5,
		{"scheduler", "revive"}:  1,
		{"store", "errcheck"}:    1,
	}
	increased, decreased := Compare(baseline, found)
	wantIncreased := []Change{
		{Pair{"controller", "funlen"}, 5, 6},
		{Pair{"scheduler", "revive"}, 0, 1},
	}
	wantDecreased := []Change{
		{Pair{"election", "errcheck"}, 1, 0},
		{Pair{"store", "errcheck"}, 2, 1},
	}
	if !reflect.DeepEqual(increased, wantIncreased) {
		t.Errorf("increased: %v, want %v", increased, wantIncreased)
	}
	if !reflect.DeepEqual(decreased, wantDecreased) {
		t.Errorf("decreased: %v, want %v", decreased, wantDecreased)
	}
}

func TestLoweredBaselineNeverIncreasesOrAddsCounts(t *testing.T) {
	baseline := Counts{
		{"controller", "funlen"}: 5,
		{"election", "errcheck"}: 1,
		{"store", "errcheck"}:    2,
	}
	found := Counts{
		{"controller", "funlen"}: 6,
		{"scheduler", "revive"}:  1,
		{"store", "errcheck"}:    1,
	}
	want := Counts{
		{"controller", "funlen"}: 5,
		{"store", "errcheck"}:    1,
	}
	if lowered := LoweredBaseline(baseline, found); !reflect.DeepEqual(lowered, want) {
		t.Errorf("lowered: %v, want %v", lowered, want)
	}
}

func TestIncreasedTotalsIgnoresMovesBetweenDirectories(t *testing.T) {
	baseline := Counts{
		{"controller", "funlen"}: 5,
		{"controller", "revive"}: 2,
	}
	found := Counts{
		{"controller", "funlen"}: 1,
		{"scheduler", "funlen"}:  4,
		{"scheduler", "revive"}:  3,
		{"store", "unparam"}:     1,
	}
	want := []string{"revive: 3, baseline 2", "unparam: 1, baseline 0"}
	if increased := IncreasedTotals(baseline, found); !reflect.DeepEqual(increased, want) {
		t.Errorf("increased totals: %v, want %v", increased, want)
	}
}
