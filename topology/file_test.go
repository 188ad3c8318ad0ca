package topology

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A mistake in a file that is changed while it is in use must leave what is in use.
func TestChangedFile(t *testing.T) {
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
		t.Fatal(topology, err)
	}
	for text, want := range map[string]string{"version = 4\n[[domain]]\nname = \"r1\"\nlevel = \"row\"\n": "level", "version = 3\n" + rack + "\n": "must grow"} {
		write(text)
		if topology, err := file.Reload(); topology != nil || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v %v", text, topology, err)
		}
		if topology, err := file.Reload(); topology != nil || err != nil || file.Map().Version() != 3 {
			t.Errorf("%q is told of twice, or taken: %v", text, err)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if _, err := file.Reload(); err == nil || file.Map().Version() != 3 {
		t.Error("a file that is gone is not told of, or taken")
	}
	write("version = 4\n" + rack)
	if topology, err := file.Reload(); err != nil || topology == nil || file.Map().Version() != 4 {
		t.Error(topology, err)
	}
}

func TestShippedTopologyIsValid(t *testing.T) {
	file, err := Open("../deploy/topology.toml")
	if err != nil {
		t.Fatal(err)
	}
	if domain, twice := file.Map().Of("n-000123"); domain == nil || domain.Name != "rack-2" || twice {
		t.Errorf("%+v %v", domain, twice)
	}
}
