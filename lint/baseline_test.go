package main

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

func TestBaselineReadsWhatItWrites(t *testing.T) {
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
	again, err := ParseBaseline(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	delete(counts, Pair{"configuration", "modernize"})
	if !reflect.DeepEqual(again, counts) {
		t.Errorf("read again: %v, want %v", again, counts)
	}
}

func TestBaselineRejectsLinesThatAreNotCounts(t *testing.T) {
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

func TestCompareListsRisenNewAndFallenPairs(t *testing.T) {
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
	risen, fallen := Compare(baseline, found)
	wantRisen := []Change{
		{Pair{"controller", "funlen"}, 5, 6},
		{Pair{"scheduler", "revive"}, 0, 1},
	}
	wantFallen := []Change{
		{Pair{"election", "errcheck"}, 1, 0},
		{Pair{"store", "errcheck"}, 2, 1},
	}
	if !reflect.DeepEqual(risen, wantRisen) {
		t.Errorf("risen: %v, want %v", risen, wantRisen)
	}
	if !reflect.DeepEqual(fallen, wantFallen) {
		t.Errorf("fallen: %v, want %v", fallen, wantFallen)
	}
}

func TestLoweredNeverRaisesOrAdds(t *testing.T) {
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
	if lowered := Lowered(baseline, found); !reflect.DeepEqual(lowered, want) {
		t.Errorf("lowered: %v, want %v", lowered, want)
	}
}

func TestRisenTotalsIgnoresMovesBetweenDirectories(t *testing.T) {
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
	if risen := RisenTotals(baseline, found); !reflect.DeepEqual(risen, want) {
		t.Errorf("risen totals: %v, want %v", risen, want)
	}
}
