package main

import (
	"errors"
	"reflect"
	"testing"
)

func TestParseFindingsCountsByDirectoryAndLinter(t *testing.T) {
	findings, err := ParseFindings([]byte(`{"Issues":[
		{"FromLinter":"errcheck","Text":"Error return value is not checked","Pos":{"Filename":"store/etcd.go","Offset":7,"Line":3,"Column":2}},
		{"FromLinter":"errcheck","Text":"Error return value is not checked","Pos":{"Filename":"store/etcd.go","Line":9,"Column":2}},
		{"FromLinter":"unparam","Text":"always nil","Pos":{"Filename":"internal/world/run.go","Line":1,"Column":1}}
	],"Report":{"Linters":[{"Name":"errcheck","Enabled":true}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := Counts{
		{"store", "errcheck"}:         2,
		{"internal/world", "unparam"}: 1,
	}
	if counts := Count(findings); !reflect.DeepEqual(counts, want) {
		t.Errorf("counts: %v, want %v", counts, want)
	}
	if line := findings[0].String(); line != "store/etcd.go:3:2: Error return value is not checked (errcheck)" {
		t.Errorf("first finding is formatted as %q", line)
	}
}

func TestParseFindingsRejectsIncompleteRuns(t *testing.T) {
	t.Run("code that does not compile", func(t *testing.T) {
		_, err := ParseFindings([]byte(`{"Issues":[{"FromLinter":"typecheck","Text":"undefined: x","Pos":{"Filename":"store/etcd.go","Line":3,"Column":2}}],"Report":{}}`))
		if _, ok := errors.AsType[*CompileError](err); !ok {
			t.Errorf("error %v, want a CompileError", err)
		}
	})
	t.Run("failed run", func(t *testing.T) {
		if _, err := ParseFindings([]byte(`{"Issues":[],"Report":{"Error":"context loading failed"}}`)); err == nil {
			t.Error("no error")
		}
	})
	t.Run("no report", func(t *testing.T) {
		if _, err := ParseFindings([]byte(`{"Issues":[]}`)); !errors.Is(err, errIncompleteReport) {
			t.Errorf("error %v, want %v", err, errIncompleteReport)
		}
	})
	t.Run("no output", func(t *testing.T) {
		if _, err := ParseFindings(nil); err == nil {
			t.Error("no error")
		}
	})
}
