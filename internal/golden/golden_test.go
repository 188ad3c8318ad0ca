package golden_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden reads a golden file.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// compare checks bytes against a golden file, or writes it with -update.
func compare(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		write(t, name, got)
	}
	if want := golden(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s differs:\ngot  %s\nwant %s", name, got, want)
	}
}

// write makes a golden file.
func write(t *testing.T, name string, raw []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		t.Fatal(err)
	}
}

// encode is a value's JSON as it goes over the wire, and a line break.
func encode(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return append(raw, '\n')
}

// decode reads JSON.
func decode(t *testing.T, raw []byte, into any) {
	t.Helper()
	if err := json.Unmarshal(raw, into); err != nil {
		t.Fatalf("%s: %v", raw, err)
	}
}

// message is one type whose JSON is pinned.
type message struct {
	file string
	// check compares both directions of the type's JSON with a golden file.
	check func(t *testing.T, file string)
}

// of is the message of a type.
func of[T any](file string) message { return message{file, pin[T]} }

// pin compares a type's JSON with a golden file of two lines, a value with every field set and the zero value, and
// reads each line and writes it again.
func pin[T any](t *testing.T, file string) {
	t.Helper()
	var zero T
	compare(t, file, append(encode(t, filled[T]()), encode(t, zero)...))
	for line := range bytes.Lines(golden(t, file)) {
		var value T
		decode(t, line, &value)
		if again := encode(t, value); !bytes.Equal(again, line) {
			t.Errorf("%s is written again as\n%s, want\n%s", file, again, line)
		}
	}
}

// pinAll runs one subtest for each message, whose files are in a folder.
func pinAll(t *testing.T, folder string, messages []message) {
	t.Helper()
	for _, m := range messages {
		t.Run(m.file, func(t *testing.T) { m.check(t, filepath.Join(folder, m.file+".jsonl")) })
	}
}
