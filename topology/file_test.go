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
	f, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if m, err := f.Reload(); m != nil || err != nil {
		t.Fatal(m, err)
	}
	for text, want := range map[string]string{"version = 4\n[[domain]]\nname = \"r1\"\nlevel = \"row\"\n": "level", "version = 3\n" + rack + "\n": "must grow"} {
		write(text)
		if m, err := f.Reload(); m != nil || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v %v", text, m, err)
		}
		if m, err := f.Reload(); m != nil || err != nil || f.Map().Version() != 3 {
			t.Errorf("%q is told of twice, or taken: %v", text, err)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Reload(); err == nil || f.Map().Version() != 3 {
		t.Error("a file that is gone is not told of, or taken")
	}
	write("version = 4\n" + rack)
	if m, err := f.Reload(); err != nil || m == nil || f.Map().Version() != 4 {
		t.Error(m, err)
	}
}

func TestTheFileThatIsShippedIsValid(t *testing.T) {
	f, err := Open("../deploy/topology.toml")
	if err != nil {
		t.Fatal(err)
	}
	if d, twice := f.Map().Of("n-000123"); d == nil || d.Name != "rack-2" || twice {
		t.Errorf("%+v %v", d, twice)
	}
}
