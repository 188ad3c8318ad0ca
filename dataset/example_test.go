package dataset_test

import (
	"fmt"
	"strings"

	"switchferry/dataset"
)

// Build splits content into chunks, here of four bytes each. With one chunk per part, every chunk is a part.
func ExampleBuild() {
	manifest, err := dataset.Build("snapshot-7", strings.NewReader("abcdefghij"), 4, 1, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	for part := range manifest.PartCount() {
		fmt.Println(part, manifest.PartBytes(part))
	}
	// Output:
	// 0 4
	// 1 4
	// 2 2
}

// Summarize takes the manifest and its encoded form as it was published.
func ExampleSummarize() {
	manifest, err := dataset.Build("snapshot-7", strings.NewReader("abcdefghij"), 2, 2, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	raw, digest, err := manifest.Encode()
	if err != nil {
		fmt.Println(err)
		return
	}
	summary, err := dataset.Summarize(manifest, raw)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(summary.Bytes, "bytes in", summary.PartCount, "parts of", summary.CommonPartBytes)
	fmt.Println("part 2 has", summary.PartBytes(2))
	fmt.Println("same digest:", summary.ManifestDigest == digest)
	// Output:
	// 10 bytes in 3 parts of 4
	// part 2 has 2
	// same digest: true
}

// Parse reports all errors of an invalid manifest at once.
func ExampleParse() {
	_, err := dataset.Parse([]byte(`{"format": 1, "name": "A", "chunks": []}`))
	fmt.Println(err)
	// Output:
	// manifest: name: "A" must be 1 to 64 of a-z, 0-9, '.', '_' and '-'
	// manifest: chunks: at least one is needed
}
