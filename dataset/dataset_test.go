package dataset

import (
	"bytes"
	"strings"
	"testing"
)

// buildManifest returns the manifest of a dataset of the given size in bytes, and its encoded form.
func buildManifest(t *testing.T, size, chunkBytes, chunksPerPart int) (*Manifest, []byte) {
	t.Helper()
	manifest, err := Build("inventory-1", bytes.NewReader(bytes.Repeat([]byte("abcdefg"), size)[:size]), chunkBytes, chunksPerPart, nil)
	if err != nil {
		t.Fatal(err)
	}
	raw, _, err := manifest.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return manifest, raw
}

// The parts of a manifest cover all bytes of the dataset after encoding and parsing, and so do those of its summary.
func TestPartsCoverAllBytes(t *testing.T) {
	manifest, raw := buildManifest(t, 1000, 64, 3)
	parsed, err := Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	sum := int64(0)
	for part := range parsed.PartCount() {
		sum += parsed.PartBytes(part)
	}
	if sum != 1000 || manifest.Bytes() != 1000 || parsed.PartCount() != 6 {
		t.Fatalf("the parts cover %d bytes in %d parts, want 1000 bytes in 6 parts", sum, parsed.PartCount())
	}
	summary, err := Summarize(parsed, raw)
	if err != nil || summary.CommonPartBytes != 192 || len(summary.OtherPartBytes) != 1 || summary.PartBytes(5) != 1000-5*192 {
		t.Fatalf("unexpected summary %+v, error %v", summary, err)
	}
}

// The error for an invalid manifest names every invalid field, so that a user can correct them all at once.
func TestErrorNamesEveryInvalidField(t *testing.T) {
	_, err := Parse([]byte(`{"format":2,"name":"Bad Name","chunks":[{"digest":"` + strings.Repeat("0", 64) + `","bytes":0}],"parts":[1,5]}`))
	for _, want := range []string{"format", "name", "chunks[0].bytes", "parts[1]"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not name the field %s: %v", want, err)
		}
	}
	summary := Summary{Name: "a", PartCount: 2, CommonPartBytes: 10, Bytes: 21}
	if err := summary.Check(); err == nil || !strings.Contains(err.Error(), "add up to 20") {
		t.Errorf("unexpected error for a wrong total size: %v", err)
	}
}

// FuzzManifest checks that the parts of every manifest that Parse accepts cover each chunk exactly once.
func FuzzManifest(f *testing.F) {
	f.Add([]byte(`{"format":1,"name":"a","chunks":[{"digest":"` + strings.Repeat("ab", 32) + `","bytes":5}]}`))
	f.Add([]byte(`{"format":1,"name":"a","chunks":[{"digest":"` + strings.Repeat("ab", 32) + `","bytes":5}],"parts":[1]}`))
	f.Add([]byte(`{"parts":[9223372036854775807,1],"chunks":[{},{}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		manifest, err := Parse(raw)
		if err != nil {
			return
		}
		// The parts must cover each chunk and each byte exactly once.
		sum, assigned := int64(0), 0
		for part := range manifest.PartCount() {
			from, to := manifest.PartChunks(part)
			if from != assigned || to <= from {
				t.Fatalf("part %d has the chunks from %d to before %d, but must start at %d and not be empty", part, from, to, assigned)
			}
			assigned = to
			sum += manifest.PartBytes(part)
		}
		if sum != manifest.Bytes() || assigned != len(manifest.Chunks) {
			t.Fatalf("the parts cover %d of %d bytes, or not all chunks", sum, manifest.Bytes())
		}
		if summary, err := Summarize(manifest, raw); err == nil {
			if err := summary.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
