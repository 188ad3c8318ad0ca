package topology

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// If a file becomes invalid or is removed while it is in use, the current version stays in use and the error is
// reported once.
func TestReloadKeepsVersionIfFileIsInvalid(t *testing.T) {
	path := filepath.Join(t.TempDir(), "topology.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	rack := "[[domain]]\nname = \"r1\"\nlevel = \"rack\"\nmachines = [\"n-1*\"]\n"
	write("version = 3\n" + rack)
	file, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if topology, err := file.Reload(); topology != nil || err != nil {
		t.Fatalf("unchanged file: topology %v and error %v, want neither", topology, err)
	}
	for _, testCase := range []struct{ name, text, want string }{
		{"unknown level", "version = 4\n[[domain]]\nname = \"r1\"\nlevel = \"row\"\n", "level"},
		{"same version", "version = 3\n" + rack + "\n", "must grow"},
	} {
		write(testCase.text)
		if topology, err := file.Reload(); topology != nil || err == nil || !strings.Contains(err.Error(), testCase.want) {
			t.Errorf("%s: topology %v and error %v, want none and one with %q", testCase.name, topology, err, testCase.want)
		}
		if topology, err := file.Reload(); topology != nil || err != nil || file.Map().Version() != 3 {
			t.Errorf("%s: reported twice, or the invalid version is in use: %v", testCase.name, err)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if _, err := file.Reload(); err == nil || file.Map().Version() != 3 {
		t.Error("a removed file is not reported, or its version is no longer in use")
	}
	write("version = 4\n" + rack)
	if topology, err := file.Reload(); err != nil || topology == nil || file.Map().Version() != 4 {
		t.Errorf("raised version: topology %v and error %v, want version 4", topology, err)
	}
}

func TestShippedTopologyIsValid(t *testing.T) {
	file, err := Open("../deploy/topology.toml")
	if err != nil {
		t.Fatal(err)
	}
	if domain, ambiguous := file.Map().DomainOf("n-000123"); domain == nil || domain.Name != "rack-2" || ambiguous {
		t.Errorf("domain %+v, ambiguous: %v; want rack-2", domain, ambiguous)
	}
}
