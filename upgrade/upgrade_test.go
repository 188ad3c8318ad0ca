package upgrade

import (
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/fake"
	"switchferry/store"
)

func newTestRegistry(member string) (*fake.State, *VersionRegistry) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	return state, NewVersionRegistry(member, []string{"n0", "n1", "n2"}, store.NewClient("state:1", state), clock)
}

// A member counts as older until a version record with DataVersion was observed. Records of unknown members are
// ignored, and an observed version is never lowered.
func TestMembersAreOlderUntilTheirRecordIsSeen(t *testing.T) {
	_, registry := newTestRegistry("n0")
	for _, step := range []struct {
		member string
		data   int
		older  []string
	}{
		{"n1", DataVersion, []string{"n0", "n2"}},
		{"n1", DataVersion - 1, []string{"n0", "n2"}},
		{"unknown", DataVersion, []string{"n0", "n2"}},
		{"n0", DataVersion - 1, []string{"n0", "n2"}},
		{"n0", DataVersion, []string{"n2"}},
		{"n2", DataVersion + 1, nil},
	} {
		registry.Observe(step.member, VersionRecord{Data: step.data})
		if older := registry.Older(); !slices.Equal(older, step.older) {
			t.Errorf("after version %d of %s: older %v, want %v", step.data, step.member, older, step.older)
		}
	}
}

// RecordOwn writes the record of this member if it is missing, damaged, of an older version or of a different
// configuration setting, and keeps the data version of a newer process. It returns true only after it has read the
// record that it would write.
func TestRecordOwnWritesUnlessUpToDate(t *testing.T) {
	for _, test := range []struct {
		name          string
		stored        any // nil: none
		configuration bool
		want          string
	}{
		{"missing", nil, false, `{"data":2}`},
		{"damaged", "not a record", false, `{"data":2}`},
		{"older", VersionRecord{Data: 1}, false, `{"data":2}`},
		{"newer, configuration now on", VersionRecord{Data: 3}, true, `{"data":3,"configuration":true}`},
		{"configuration now off", VersionRecord{Data: 2, Configuration: true}, false, `{"data":2}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			state, registry := newTestRegistry("n0")
			registry.Configuration = test.configuration
			if test.stored != nil {
				state.Put(RecordPrefix+"n0", test.stored)
			}
			if registry.RecordOwn(t.Context()) {
				t.Error("returned true before the written record was read")
			}
			if got := string(state.Get(RecordPrefix + "n0")); got != test.want {
				t.Errorf("stored %s, want %s", got, test.want)
			}
			if !registry.RecordOwn(t.Context()) || slices.Contains(registry.Older(), "n0") {
				t.Error("returned false, or the member still counts as older, after the record was written")
			}
		})
	}
}

// WithoutConfiguration returns the members whose record is missing, damaged or says that live configuration is off. If
// a record cannot be read, it returns an error.
func TestMembersWithoutConfiguration(t *testing.T) {
	state, registry := newTestRegistry("n0")
	state.Put(RecordPrefix+"n0", VersionRecord{Data: DataVersion, Configuration: true})
	state.Put(RecordPrefix+"n1", "not a record")
	without, err := registry.WithoutConfiguration(t.Context())
	if err != nil || !slices.Equal(without, []string{"n1", "n2"}) {
		t.Errorf("members without configuration %v, error %v", without, err)
	}
	state.Put(RecordPrefix+"n1", VersionRecord{Data: DataVersion, Configuration: true})
	state.Put(RecordPrefix+"n2", VersionRecord{Data: DataVersion})
	without, err = registry.WithoutConfiguration(t.Context())
	if err != nil || !slices.Equal(without, []string{"n2"}) {
		t.Errorf("members without configuration %v, error %v", without, err)
	}
	state.Down = true
	if without, err := registry.WithoutConfiguration(t.Context()); err == nil {
		t.Errorf("members without configuration %v, want an error because nothing can be read", without)
	}
}
