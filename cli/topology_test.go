package cli

import (
	"strings"
	"testing"
)

// The topology command shows domains, reservations and waiting jobs, and the explain command shows where the tasks of a
// job are placed and why others wait.
func TestTopologyCommands(t *testing.T) {
	topologyJSON := `{"version":7,"domains":[{"name":"room-1","level":"switch","machines":3,"usable":2,"free_cpus":12},
		{"name":"rack-2","level":"rack","in":"room-1","machines":1,"usable":0,"silent":true}],"not_named":4,"named_twice":0,
		"reserved":[{"domain":"rack-2","job":"run-000007","in_s":12}],
		"waiting":[{"job":"run-000007","tasks":9,"why":"no rack has room for all of it: rack \"rack-2\" has none for 3"}]}`
	explanationJSON := `{"job":"run-000007","state":"pending","tasks":9,"done":1,"waiting":6,"why":["2 stand where it must not"],"stands":[{"domain":"rack-2","level":"rack","tasks":2,"unsure":1}]}`
	for _, test := range []struct {
		want  int
		texts []string
		args  []string
	}{
		{0, []string{"version 7; 4 machines in no domain", "  rack-2", "silent", "rack-2 is kept for run-000007, for about 12 s", "run-000007: 9 tasks wait: no rack"}, []string{"topology", "--node", fakeController(t, 200, topologyJSON)}},
		{0, []string{`"version":7`}, []string{"topology", "--json", "--node", fakeController(t, 200, topologyJSON)}},
		{ExitRefused, []string{"no topology is declared", "--features"}, []string{"topology", "--node", fakeController(t, 404, `{}`)}},
		{0, []string{"run-000007 pending: 9 tasks, 1 done, 6 wait", "2 in rack rack-2, 1 of them on silent machines", "waits: 2 stand"}, []string{"explain", "run-000007", "--node", fakeController(t, 200, explanationJSON)}},
		{ExitNotFound, []string{"no such job"}, []string{"explain", "run-000008", "--node", fakeController(t, 404, `{"error":"no such job"}`)}},
		{ExitUsage, []string{"run-000412"}, []string{"explain", "7"}},
		{0, []string{"run-000009 done"}, []string{"explain", "run-000009", "--node", fakeController(t, 200, `{"job":"run-000009","state":"done"}`)}},
	} {
		code, out := runProgram(test.args...)
		for _, text := range test.texts {
			if code != test.want || !strings.Contains(out, text) {
				t.Errorf("%v: exit code %d, output %q; want exit code %d, output with %q", test.args, code, out, test.want, text)
			}
		}
	}
}
