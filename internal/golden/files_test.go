package golden_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"switchferry/configuration"
	"switchferry/features"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/topology"
)

// encodeTOML encodes a value as TOML, with the field names that files use.
func encodeTOML(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := toml.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// zeroFields returns the paths of all exported fields of a value that are zero.
func zeroFields(v reflect.Value, path string) (zero []string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				zero = append(zero, zeroFields(v.Field(i), path+"."+field.Tag.Get("toml"))...)
			}
		}
		return zero
	case reflect.Slice:
		for i := range v.Len() {
			zero = append(zero, zeroFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
	}
	if v.IsZero() {
		zero = append(zero, path)
	}
	return zero
}

// requireAllFieldsSet checks that no field of a value that was read from a file is zero. It fails when a new field is
// missing from the file.
func requireAllFieldsSet(t *testing.T, value any) {
	t.Helper()
	if missing := zeroFields(reflect.ValueOf(value).Elem(), ""); len(missing) > 0 {
		t.Errorf("fields missing from the file: %v", missing)
	}
}

// Every field of a settings file is read under its documented name, and the encoded settings are read back unchanged.
func TestSettingsFileIsRead(t *testing.T) {
	loaded, err := settings.Load("testdata/files/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	requireAllFieldsSet(t, loaded)
	compare(t, "files/settings.read.toml", encodeTOML(t, loaded))
	reloaded, err := settings.Parse(golden(t, "files/settings.read.toml"))
	if err != nil || !reflect.DeepEqual(reloaded, loaded) {
		t.Errorf("the encoded settings are read as %+v, %v; want %+v", reloaded, err, loaded)
	}
}

// Every field of a features file is read under its documented name, and omitted fields have their defaults.
func TestFeaturesFileIsRead(t *testing.T) {
	loaded, err := features.Load("testdata/files/features.toml")
	if err != nil {
		t.Fatal(err)
	}
	requireAllFieldsSet(t, loaded)
	compare(t, "files/features.read.toml", encodeTOML(t, loaded))
	reloaded, err := features.Parse(golden(t, "files/features.read.toml"))
	if err != nil || !reflect.DeepEqual(reloaded, loaded) {
		t.Errorf("the encoded features are read as %+v, %v; want %+v", reloaded, err, loaded)
	}

	defaults, err := features.Parse(nil)
	if err != nil {
		t.Fatal(err)
	}
	compare(t, "files/features.defaults.toml", encodeTOML(t, defaults))
}

// describeTopology lists a topology's domains, and the domains and devices of some machines.
func describeTopology(topologyMap *topology.Map) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "version %d\n", topologyMap.Version())
	for _, d := range topologyMap.Domains() {
		parent := "nothing"
		if d.Parent != nil {
			parent = d.Parent.Name
		}
		fmt.Fprintf(&out, "%s %s in %s, machines %q\n", d.Level, d.Name, parent, d.Patterns())
	}
	for _, machine := range []string{"n-000001", "n-00011", "n-000200", "n-000300"} {
		domain := "nothing"
		if d, _ := topologyMap.DomainOf(machine); d != nil {
			domain = d.Name
		}
		devices, known := topologyMap.DevicesOf(machine)
		fmt.Fprintf(&out, "%s in %s, devices %d linked %v, known %t\n", machine, domain, devices.Count, devices.Linked, known)
	}
	return out.Bytes()
}

// Every field of a topology file is read, and the encoded topology is read back unchanged.
func TestTopologyFileIsRead(t *testing.T) {
	raw := golden(t, "files/topology.toml")
	loaded, err := topology.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	compare(t, "files/topology.read.txt", describeTopology(loaded))

	var declared topology.Declaration
	if err := toml.Unmarshal(raw, &declared); err != nil {
		t.Fatal(err)
	}
	compare(t, "files/topology.read.toml", encodeTOML(t, declared))
	reloaded, err := topology.Parse(golden(t, "files/topology.read.toml"))
	if err != nil || !bytes.Equal(describeTopology(reloaded), describeTopology(loaded)) {
		t.Errorf("the encoded topology is read as a different one, %v", err)
	}
}

// Every section of a configuration document is read.
func TestConfigurationDocumentIsRead(t *testing.T) {
	document, err := configuration.Parse(string(golden(t, "files/configuration.toml")))
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]any{"over_limit": document.OverLimit, "policy": document.Policy, "teams": document.Teams, "features": document.Features}
	compare(t, "files/configuration.read.toml", encodeTOML(t, sections))
	compare(t, "files/configuration.topology.txt", describeTopology(document.Topology))
}

// The expressions of a policy file evaluate to the values in the golden file.
func TestPolicyFileIsRead(t *testing.T) {
	night, err := policy.Load(filepath.Join("testdata", "files", "night.policy"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	for _, name := range policy.Names() {
		_, fallback, names := policy.Describe(name)
		vars := policy.Vars{}
		for i, v := range slices.Sorted(slices.Values(names)) {
			vars[v] = float64(20 * (i + 1))
		}
		fmt.Fprintf(&out, "%s %v: %g, by default %s = %g\n", name, vars, night.Value(name, vars), fallback, policy.Default().Value(name, vars))
	}
	compare(t, "files/policy.read.txt", out.Bytes())
}
