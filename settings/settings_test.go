package settings

import (
	"strings"
	"testing"
)

const validSettings = `
member = "n0"
site = "a"
serve_on = "10.0.0.1:8080"
back = "10.0.0.1:8081"
unheard_of = 3
[[siblings]]
member = "n1"
site = "b"
address = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
[[facts.teams]]
name = "t"
[facts.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[facts.state]
rps = 120.0
write_rps = 30.0
value_kb = 16.0
txn_ops = 24
[facts.cloud]
rps = 4.0
[facts.resources]
ram_mb = 70.0
`

// The platform may add fields at any time, including tables and lists of tables.
func TestParseIgnoresUnknownFields(t *testing.T) {
	const unknown = "[facts.added]\nvalue = 1\n[[added]]\nvalue = \"a\"\n"
	for _, text := range []string{validSettings, validSettings + unknown} {
		settings, err := Parse([]byte(text))
		if err != nil {
			t.Error(err)
			continue
		}
		if settings.Member != "n0" || settings.Facts.Resources.RAMMB != 70 || len(settings.Peers) != 1 {
			t.Errorf("settings beside unknown fields were not read: %+v", settings)
		}
	}
}

// The error for a value of the wrong type has its line and describes the type in terms of TOML, not of Go.
func TestParseDescribesTypeErrorsInTOMLTerms(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`lease_s = 10.0`, `lease_s = "long"`, "settings: line 19: facts.workers.lease_s: must be a number, not a string"},
		{`txn_ops = 24`, `txn_ops = 1.5`, "settings: line 25: facts.state.txn_ops: must be a whole number, not a fraction"},
		{"[[facts.teams]]\nname = \"t\"", `teams = "t"`, "settings: line 15: facts.teams: must be a list of tables, [[facts.teams]], not a string"},
		{`member = "n1"`, `member = 1`, "settings: line 8: siblings.member: must be a string in quotes, not an integer"},
		{`cloud = "10.2.0.2:8443"`, `cloud = `, "settings: line 12: : toml: unexpected character"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, test.old, test.new, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%q: %v\nwant %s", test.new, err, test.want)
			continue
		}
		for _, goName := range []string{"struct", "float64", "[]settings", "settings."} {
			if strings.Contains(err.Error(), goName) {
				t.Errorf("%q: %v contains the Go name %q", test.new, err, goName)
			}
		}
	}
}

// The error for an invalid setting is a single line that names the field.
func TestParseNamesInvalidFieldInOneLine(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`member = "n0"`, ``, "member"},
		{`serve_on = "10.0.0.1:8080"`, `serve_on = "here"`, "serve_on"},
		{`state = "10.2.0.1:2379"`, ``, "external.state"},
		{`member = "n1"`, `member = "n0"`, "siblings[0].member"},
		{`lease_s = 10.0`, `lease_s = -1.0`, "facts.workers.lease_s"},
		{`lease_s = 10.0`, `lease_s = "long"`, "lease_s"},
		{`txn_ops = 24`, `txn_ops = 1`, "facts.state.txn_ops"},
		{`rps = 4.0`, `rps = nan`, "facts.cloud.rps"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, test.old, test.new, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line naming %s", test.new, err, test.want)
		}
	}
}
