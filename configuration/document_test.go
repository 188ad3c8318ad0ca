package configuration

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"switchferry/policy"
	"switchferry/settings"
)

const fullDocument = `
[over_limit]
running = "stop"
stop_within_s = 30

[policy]
slot_s = "3"
idle_keep_s = "boot_s * 2"

[[teams]]
name = "vision"
cpus = 10
cpus_max = 40

[[teams]]
name = "export"

[features]
ahead_tasks = 7

[topology]
version = 2
[[topology.domain]]
name = "r1"
level = "rack"
machines = ["n-0001*"]
`

func parse(t *testing.T, text string) *Document {
	t.Helper()
	document, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return document
}

func TestDocumentOverridesFiles(t *testing.T) {
	files := FromFiles([]settings.Team{{Name: "other", CPUsMax: 5}}, policy.Default())
	active := parse(t, fullDocument).Overlay(files, 4)
	if limit, ok := active.Limit("vision"); !ok || limit.CPUs != 40 || active.Revision != 4 || *active.AheadTasks != 7 || active.Topology.Version() != 2 || active.Policy.Value(policy.SlotS, nil) != 3 || active.OverLimit.StopWithinS != 30 {
		t.Errorf("the full document results in %+v", active)
	}
	if _, ok := active.Limit("other"); ok {
		t.Error("a team that the document lacks is still configured")
	}
	// The files apply for each section that the document lacks.
	filesOnly := parse(t, "").Overlay(files, 5)
	if limit, ok := filesOnly.Limit("other"); !ok || limit.CPUs != 5 || filesOnly.AheadTasks != nil || filesOnly.Topology != nil || filesOnly.Policy != files.Policy {
		t.Errorf("the empty document results in %+v", filesOnly)
	}
}

// Parse refuses a document with any error, and reports for each error the line, the field and what the field must be.
func TestParseReportsAllErrors(t *testing.T) {
	for _, test := range []struct {
		text string
		want []string
	}{
		{"[policy]\nslot_s = \"700\"\nno_such = \"1\"\nidle_keep_s = \"boot +\"\n", []string{"line 2: policy.slot_s: is 700, want 0.1 to 600", "line 3: policy.no_such: no such setting", "line 4: policy.idle_keep_s: want a number"}},
		{"[[teams]]\nname = \"a\"\ncpus = 9\ncpus_max = 5\n[[teams]]\nname = \"a\"\ngpus = -1\n", []string{"line 3: teams[0].cpus: a is guaranteed 9 and may use 5", "line 6: teams[1].name: is missing or stands twice", "teams[1]: amounts"}},
		{"[features]\nahead_tasks = -2\n[over_limit]\nrunning = \"drop\"\n", []string{"line 2: features.ahead_tasks: must be 0 to 1000, not -2", `line 4: over_limit.running: must be "leave" or "stop"`}},
		{"[over_limit]\nstop_within_s = 5\n", []string{"line 2: over_limit.stop_within_s: is valid only with running"}},
		{"[topology]\nversion = 1\n[[topology.domain]]\nname = \"x\"\nlevel = \"shelf\"\n[[topology.domain]]\nname = \"y\"\nlevel = \"rack\"\nin = \"z\"\n",
			[]string{"line 5: topology.domain[0].level: \"shelf\" must be region, zone, switch or rack", `line 9: topology.domain[1].in: there is no domain "z"`}},
		{"[teams]\n", []string{"line 1: teams"}},
		{"team = 1\n[what]\n", []string{"line 1: team: no such setting", "line 2: what: no such setting"}},
		{"[policy\n", []string{"line 1"}},
		{`teams = "vision"`, []string{"line 1: teams: must be a list of tables, [[teams]], not a string"}},
		{"[[teams]]\ncpus = \"many\"\n", []string{"line 2: teams.cpus: must be a number, not a string"}},
		{"[policy]\nslot_s = 3\n", []string{"line 2: policy.slot_s: must be a string in quotes, not an integer"}},
		{"[features]\nahead_tasks = 1.5\n", []string{"line 2: features.ahead_tasks: must be a whole number, not a fraction"}},
		{"[[topology.domain]]\nmachines = \"n-1\"\n", []string{"line 2: topology.domain.machines: must be a list of strings in quotes, not a string"}},
		{strings.Repeat("# a comment\n", 5000), []string{"document: takes 60000 bytes, at most 40960"}},
	} {
		document, err := Parse(test.text)
		var fieldErrors FieldErrors
		if document != nil || !errors.As(err, &fieldErrors) || len(fieldErrors) < len(test.want) {
			t.Errorf("%.40q: %v, %v", test.text, document, err)
			continue
		}
		for _, want := range test.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%.40q: no %q in\n%v", test.text, want, err)
			}
		}
	}
}

func TestDifferences(t *testing.T) {
	after := strings.NewReplacer(`slot_s = "3"`, `slot_s = "4"`, "cpus_max = 40", "cpus_max = 0", "ahead_tasks = 7\n", "", "n-0001*", "n-0002*", `name = "export"`, `name = "import"`).Replace(fullDocument)
	var got []string
	for _, difference := range Differences(parse(t, fullDocument), parse(t, after)) {
		got = append(got, difference.String())
	}
	want := []string{"features.ahead_tasks: 7 -> (none)", "policy.slot_s: 3 -> 4", "teams.export: 0 guaranteed, any at most -> (none)", "teams.import: (none) -> 0 guaranteed, any at most",
		"teams.vision: 10 guaranteed, 40 at most -> 10 guaranteed, any at most", "topology.r1: rack n-0001* -> rack n-0002*"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("differences %q, want %q", got, want)
	}
	if n := len(Differences(nil, parse(t, fullDocument))); n != 8 {
		t.Errorf("%d differences from a nil document, want 8", n)
	}
}

// Tasks that are started during a rollout must be within the limits of both revisions.
func TestStricterTakesLowerLimitsOfBothRevisions(t *testing.T) {
	team := func(name string, guaranteed, limit float64) settings.Team {
		return settings.Team{Name: name, CPUs: guaranteed, CPUsMax: limit, Cards: guaranteed, CardsMax: limit}
	}
	before := FromFiles([]settings.Team{team("lowered", 8, 40), team("raised", 2, 10), team("newly limited", 0, 0), team("no longer limited", 0, 6), team("removed", 1, 1)}, policy.Default())
	after := FromFiles([]settings.Team{team("lowered", 4, 20), team("raised", 6, 30), team("newly limited", 0, 7), team("no longer limited", 0, 0), team("added", 1, 1)}, policy.Default())
	stricter := Stricter(before, after)
	for name, want := range map[string]settings.Team{"lowered": team("lowered", 4, 20), "raised": team("raised", 2, 10), "newly limited": team("newly limited", 0, 7), "no longer limited": team("no longer limited", 0, 6)} {
		if got, ok := stricter.Team(name); !ok || got != want {
			t.Errorf("%s: %+v", name, got)
		}
	}
	for _, name := range []string{"removed", "added"} {
		if _, ok := stricter.Team(name); ok {
			t.Errorf("team %q may start tasks although only one of the revisions has it", name)
		}
	}
}
