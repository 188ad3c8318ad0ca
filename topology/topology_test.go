package topology

import (
	"strings"
	"testing"
)

// smallTopology has one zone with two racks under one switch and one rack without a switch.
const smallTopology = `version = 3
[[domain]]
name = "west"
level = "zone"
[[domain]]
name = "s1"
level = "switch"
in = "west"
[[domain]]
name = "r1"
level = "rack"
in = "s1"
machines = ["n-1*"]
[[domain]]
name = "r2"
level = "rack"
in = "s1"
machines = ["n-2*"]
[[domain]]
name = "r3"
level = "rack"
in = "west"
machines = ["n-3*"]
[[devices]]
machines = ["n-2*"]
count = 4
linked = [[0, 1], [2, 3]]
`

func mustParse(t *testing.T, text string) *Map {
	t.Helper()
	topology, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return topology
}

func TestDevicesOfMachine(t *testing.T) {
	topology := mustParse(t, smallTopology)
	if devices, ok := topology.DevicesOf("n-2a"); !ok || devices.Count != 4 || len(devices.Linked) != 2 {
		t.Errorf("devices %+v, want 4 in 2 sets", devices)
	}
}

func TestCheckNamesAmbiguousMachines(t *testing.T) {
	topology := mustParse(t, "version=1\n[[domain]]\nname='a'\nlevel='rack'\nmachines=['n*']\n[[domain]]\nname='b'\nlevel='rack'\nmachines=['n-1']\n")
	err := topology.CheckAmbiguity([]string{"n-1", "n-2"})
	if err == nil || !strings.Contains(err.Error(), `"n-1"`) || strings.Contains(err.Error(), `"n-2"`) {
		t.Errorf("error %v, want one that names only n-1", err)
	}
}
