package dataset

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

func build(t *testing.T, bytesN, chunk, part int) (*Manifest, []byte) {
	t.Helper()
	m, err := Build("inventory-1", bytes.NewReader(bytes.Repeat([]byte("abcdefg"), bytesN)[:bytesN]), chunk, part, nil)
	if err != nil {
		t.Fatal(err)
	}
	raw, _, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return m, raw
}

func TestPartsCoverAllBytes(t *testing.T) {
	m, raw := build(t, 1000, 64, 3)
	back, err := Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	sum := int64(0)
	for k := range back.PartCount() {
		sum += back.PartBytes(k)
	}
	if sum != 1000 || m.Bytes() != 1000 || back.PartCount() != 6 {
		t.Fatalf("%d bytes in %d parts", sum, back.PartCount())
	}
	s, err := Summarize(back, raw)
	if err != nil || s.Usual != 192 || len(s.Odd) != 1 || s.PartBytes(5) != 1000-5*192 {
		t.Fatalf("%+v %v", s, err)
	}
}

// A wrong manifest must name each field, or its writer mends one mistake a try.
func TestEveryMistakeIsNamed(t *testing.T) {
	_, err := Parse([]byte(`{"format":2,"name":"Bad Name","chunks":[{"digest":"` + strings.Repeat("0", 64) + `","bytes":0}],"parts":[1,5]}`))
	for _, want := range []string{"format", "name", "chunks[0].bytes", "parts[1]"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s is not named in %v", want, err)
		}
	}
	bad := Summary{Name: "a", Parts: 2, Usual: 10, Bytes: 21}
	if err := bad.Check(); err == nil || !strings.Contains(err.Error(), "add up to 20") {
		t.Errorf("%v", err)
	}
}

func FuzzManifest(f *testing.F) {
	f.Add([]byte(`{"format":1,"name":"a","chunks":[{"digest":"` + strings.Repeat("ab", 32) + `","bytes":5}]}`))
	f.Add([]byte(`{"format":1,"name":"a","chunks":[{"digest":"` + strings.Repeat("ab", 32) + `","bytes":5}],"parts":[1]}`))
	f.Add([]byte(`{"parts":[9223372036854775807,1],"chunks":[{},{}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Parse(raw)
		if err != nil {
			return
		}
		// Whatever is accepted is consistent: parts cover all bytes once.
		sum, at := int64(0), 0
		for k := range m.PartCount() {
			from, to := m.Part(k)
			if from != at || to <= from {
				t.Fatalf("part %d is %d to %d after %d", k, from, to, at)
			}
			at = to
			sum += m.PartBytes(k)
		}
		if sum != m.Bytes() || at != len(m.Chunks) {
			t.Fatalf("%d of %d bytes", sum, m.Bytes())
		}
		if s, err := Summarize(m, raw); err == nil {
			if err := s.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func ExampleBuild() {
	m, _ := Build("snapshot-7", strings.NewReader("abcdefghij"), 4, 1, nil)
	for k := range m.PartCount() {
		fmt.Println(k, m.PartBytes(k))
	}
	// Output:
	// 0 4
	// 1 4
	// 2 2
}
