package stricttoml

import (
	"errors"
	"strings"
	"testing"
)

type domain struct {
	Name     string   `toml:"name"`
	Machines []string `toml:"machines"`
	Priority uint8    `toml:"priority"`
}

type destination struct {
	Teams []struct {
		Name  string  `toml:"name"`
		CPUs  float64 `toml:"cpus"`
		Tasks *int    `toml:"tasks"`
	} `toml:"teams"`
	Policy   map[string]string `toml:"policy"`
	On       bool              `toml:"on"`
	Level    int32             `toml:"level"`
	Topology *struct {
		Version int      `toml:"version"`
		Domain  []domain `toml:"domain"`
	} `toml:"topology"`
}

func TestDecodeNamesSettingAndExpectedType(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{`teams = "a"`, `line 1: teams: must be a list of tables, [[teams]], not a string`},
		{`teams = [1]`, `line 1: teams: must be a list of tables, [[teams]]; it contains an integer where something else belongs`},
		{`teams = [{name = 3}]`, `line 1: teams: must be a list of tables, [[teams]]; it contains an integer where something else belongs`},
		{"[[teams]]\nname = 1", `line 2: teams.name: must be a string in quotes, not an integer`},
		{"[[teams]]\nname = {a = 1}", `line 2: teams.name: must be a string in quotes, not a table`},
		{"[[teams]]\nname = \"a\"\n[[teams]]\ncpus = \"x\"", `line 4: teams.cpus: must be a number, not a string`},
		{"[[teams]]\ntasks = 1.5", `line 2: teams.tasks: must be a whole number, not a fraction`},
		{`on = 1`, `line 1: on: must be true or false, not an integer`},
		{`on = [1]`, `line 1: on: must be true or false, not a list`},
		{"[on]\nx = 1", `line 1: on: must be true or false, not a table`},
		{`level = 99999999999`, `line 1: level: must be a whole number from -2147483648 to 2147483647, not 99999999999`},
		{`level = 1979-05-27`, `line 1: level: must be a whole number from -2147483648 to 2147483647, not a date or time`},
		{"[[topology.domain]]\npriority = -1", `line 2: topology.domain.priority: must be a whole number from 0 to 255, not -1`},
		{`level = 10:00:00`, `line 1: level: must be a whole number from -2147483648 to 2147483647, not a date or time`},
		{`on = 1e3`, `line 1: on: must be true or false, not a fraction`},
		{`level = true`, `line 1: level: must be a whole number from -2147483648 to 2147483647, not a boolean`},
		{`policy = 3`, `line 1: policy: must be a table, [policy], of strings in quotes, not an integer`},
		{`policy = {a = 1}`, `line 1: policy: must be a table, [policy], of strings in quotes; it contains an integer where something else belongs`},
		{"[policy]\na = 1", `line 2: policy.a: must be a string in quotes, not an integer`},
		{"[policy]\na.b = 1", `line 2: policy.a: must be a string in quotes, not a table`},
		{"[[policy]]\n", `line 1: policy: must be a table, [policy], of strings in quotes, not a list of tables`},
		{`topology = 1`, `line 1: topology: must be a table, [topology], not an integer`},
		{"[topology]\nversion = \"a\"", `line 2: topology.version: must be a whole number, not a string`},
		{"[[topology.domain]]\nmachines = \"a\"", `line 2: topology.domain.machines: must be a list of strings in quotes, not a string`},
		{"[[topology.domain]]\nmachines = [1]", `line 2: topology.domain.machines: must be a list of strings in quotes; it contains an integer where something else belongs`},
		{"[[topology.domain]]\npriority = 300", `line 2: topology.domain.priority: must be a whole number from 0 to 255, not 300`},
	} {
		var v destination
		_, err := Decode([]byte(test.text), &v)
		typeErr, ok := errors.AsType[*TypeError](err)
		if !ok || err.Error() != test.want {
			t.Errorf("%q:\n%v, %v\nwant\n%s", test.text, err, typeErr, test.want)
		}
	}
}

func TestDecodeKeepsSyntaxErrors(t *testing.T) {
	for _, test := range []struct {
		text, want string
		line       int
	}{
		{"on = \n", "unexpected character", 1},
		{"on = true\n[topology\n", "expected ']' to close table name", 2},
		{"on = true\non = false\n", "already defined", 2},
	} {
		var v destination
		_, err := Decode([]byte(test.text), &v)
		valueErr, ok := errors.AsType[*ValueError](err)
		if !ok || valueErr.Line != test.line || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: %v, want line %d: %s", test.text, err, test.line, test.want)
		}
		if _, ok := errors.AsType[*TypeError](err); ok {
			t.Errorf("%q is reported as a type error: %v", test.text, err)
		}
	}
}

func TestDecodeListsUnknownSettings(t *testing.T) {
	var v destination
	unknown, err := Decode([]byte("no_such = 1\non = true\n[[teams]]\nname = \"a\"\nother = 2\n"), &v)
	if err != nil || !v.On || len(v.Teams) != 1 || v.Teams[0].Name != "a" {
		t.Fatalf("%+v, %v", v, err)
	}
	want := []UnknownError{{1, "no_such"}, {5, "teams.other"}}
	if len(unknown) != len(want) {
		t.Fatalf("unknown settings %v, want %v", unknown, want)
	}
	for index, err := range unknown {
		if found, ok := errors.AsType[*UnknownError](err); !ok || *found != want[index] {
			t.Errorf("unknown setting %v, want %+v", err, want[index])
		}
	}
}
