package configuration

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"switchferry/tuning"
)

// teamsText returns the text of a document with n teams.
func teamsText(n int) string {
	rng := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[[teams]]\nname = \"team-%03d\"\ncpus = %d\ncpus_max = %d\n", i, rng.IntN(100), 100+rng.IntN(9000))
	}
	return b.String()
}

// A revision with 110 teams can be stored even in values of the smallest size, and is decoded unchanged. Decode refuses
// damaged parts and parts of a newer format.
func TestDecodeReturnsEncodedRevisionOrError(t *testing.T) {
	want := Revision{Number: 12, Operator: "ops", Reason: "why", AtMS: 5, Document: teamsText(110)}
	for _, valueBytes := range []int{16 << 10, 2 << 10, 1 << 10} {
		head, parts, err := Encode(&want, valueBytes)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range parts {
			if len(part.Text)+tuning.ConfigurationPartMarginBytes > valueBytes {
				t.Errorf("a part with a text of %d bytes does not fit into values of %d", len(part.Text), valueBytes)
			}
		}
		got, err := Decode(12, head.Digest, parts)
		if err != nil || *got != want {
			t.Fatalf("%v: %v", got, err)
		}
		for name, damage := range map[string]func(p []Part) []Part{
			"a part is missing": func(p []Part) []Part { return p[:len(p)-1] },
			"changed text":      func(p []Part) []Part { p[0].Text = "A" + p[0].Text[1:]; return p },
			"wrong digest":      func(p []Part) []Part { p[0].Digest = "x"; return p },
			"one part too many": func(p []Part) []Part { return append(p, p[0]) },
			"another revision's parts": func([]Part) []Part {
				_, other, _ := Encode(&Revision{Number: 12, Document: "# another\n"}, valueBytes)
				return other
			},
		} {
			if _, err := Decode(12, head.Digest, damage(slices.Clone(parts))); !errors.Is(err, ErrDamaged) {
				t.Errorf("%s, values of %d: %v", name, valueBytes, err)
			}
		}
		if _, err := Decode(13, head.Digest, parts); !errors.Is(err, ErrDamaged) {
			t.Errorf("decoded under another number: %v", err)
		}
		newer := slices.Clone(parts)
		newer[0].Format = Format + 1
		if _, err := Decode(12, head.Digest, newer); !errors.Is(err, ErrNewerFormat) {
			t.Errorf("a newer format: %v", err)
		}
	}
	if _, _, err := Encode(&want, tuning.ConfigurationPartMarginBytes+8); err == nil {
		t.Error("encoded into more parts than can be read")
	}
}
