package configuration

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"switchferry/settings"
	"switchferry/tuning"
)

// teamsText is a document with so many teams.
func teamsText(n int) string {
	rng := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[[teams]]\nname = \"team-%03d\"\ncpus = %d\ncpus_max = %d\n", i, rng.IntN(100), 100+rng.IntN(9000))
	}
	return b.String()
}

// A hundred and ten teams fit, also into the smallest values; what is damaged in any way is not taken.
func TestRevisionSurvivesStorageOrIsRefused(t *testing.T) {
	want := Revision{Number: 12, By: "ops", Why: "why", AtMS: 5, Document: teamsText(110)}
	for _, valueBytes := range []int{16 << 10, 2 << 10, 1 << 10} {
		head, parts, err := Encode(&want, valueBytes)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range parts {
			if len(part.Text)+tuning.ConfigurationPartMargin > valueBytes {
				t.Errorf("a part of %d bytes for values of %d", len(part.Text), valueBytes)
			}
		}
		got, err := Decode(12, head.Digest, parts)
		if err != nil || *got != want {
			t.Fatalf("%v: %v", got, err)
		}
		for name, damage := range map[string]func(p []Part) []Part{
			"a part is missing": func(p []Part) []Part { return p[:len(p)-1] },
			"another text":      func(p []Part) []Part { p[0].Text = "A" + p[0].Text[1:]; return p },
			"another's part":    func(p []Part) []Part { p[0].Digest = "x"; return p },
			"one part too many": func(p []Part) []Part { return append(p, p[0]) },
			"another's altogether": func([]Part) []Part {
				_, other, _ := Encode(&Revision{Number: 12, Document: "# another\n"}, valueBytes)
				return other
			},
		} {
			if _, err := Decode(12, head.Digest, damage(slices.Clone(parts))); !errors.Is(err, ErrDamaged) {
				t.Errorf("%s, values of %d: %v", name, valueBytes, err)
			}
		}
		if _, err := Decode(13, head.Digest, parts); !errors.Is(err, ErrDamaged) {
			t.Errorf("under another number: %v", err)
		}
		newer := slices.Clone(parts)
		newer[0].Format = Format + 1
		if _, err := Decode(12, head.Digest, newer); !errors.Is(err, ErrNewer) {
			t.Errorf("a newer format: %v", err)
		}
	}
	if _, _, err := Encode(&want, tuning.ConfigurationPartMargin+8); err == nil {
		t.Error("taken into more parts than are read")
	}
}

// A change is in force once every sibling has confirmed it, or no right to an older one can last; and never before what
// was decided by the older one is on record.
func TestRolloutIsInForceOnceNoOlderRevisionIsValid(t *testing.T) {
	at := time.Unix(1000, 0)
	before, after := FromFiles([]settings.Team{{Name: "a", CPUsMax: 9}}, nil), FromFiles([]settings.Team{{Name: "a", CPUsMax: 5}}, nil)
	after.Revision = 7
	last := at.Add(tuning.ConfigurationRight + tuning.ConfigurationGrain)
	for _, c := range []struct {
		name      string
		confirm   map[string]uint64
		undecided int
		now       time.Time
		want      Stage
	}{
		{"nobody confirmed, rights last", nil, 0, last.Add(-time.Millisecond), Spreading},
		{"nobody confirmed, rights are over", nil, 0, last, InForce},
		{"one confirmed", map[string]uint64{"x": 7}, 0, at, Spreading},
		{"both confirmed, one a newer one", map[string]uint64{"x": 7, "y": 8}, 0, at, InForce},
		{"both confirmed, one an older one", map[string]uint64{"x": 7, "y": 6}, 0, at, Spreading},
		{"both confirmed, starts are not on record", map[string]uint64{"x": 7, "y": 7}, 2, last.Add(time.Hour), Spreading},
	} {
		rollout := NewRollout(before, after, []string{"x", "y"})
		rollout.Confirm("x", 7) // before it is stored, that means nothing
		if limit, _ := rollout.Effective().Limit("a"); limit.CPUs != 5 || rollout.Advance(last.Add(time.Hour)) != Storing {
			t.Fatalf("before it is stored: %+v, %v", limit, rollout.Stage())
		}
		rollout.MarkStored(at)
		for member, n := range c.confirm {
			rollout.Confirm(member, n)
		}
		rollout.SetUnrecorded(c.undecided)
		if got := rollout.Advance(c.now); got != c.want || (got == InForce) != (len(rollout.WaitsFor(c.now)) == 0) {
			t.Errorf("%s: %v, waits for %v", c.name, got, rollout.WaitsFor(c.now))
		}
		if want := map[Stage]*Active{Spreading: rollout.stricter, InForce: after}[c.want]; rollout.Effective() != want {
			t.Errorf("%s: decisions go by another one", c.name)
		}
	}
	rollout := NewRollout(before, after, nil)
	rollout.MarkRefused()
	if rollout.Effective() != before || rollout.Advance(last.Add(time.Hour)) != Refused {
		t.Error("a refused change counts")
	}
}

func TestValidityLeaseExpires(t *testing.T) {
	at := time.Unix(1000, 0)
	r := ValidityLease{Active: FromFiles(nil, nil), RequestedAt: at}
	if !r.ValidAt(at.Add(tuning.ConfigurationRight-1)) || r.ValidAt(at.Add(tuning.ConfigurationRight)) || (ValidityLease{RequestedAt: at}).ValidAt(at) {
		t.Error("the bound of a right")
	}
}
