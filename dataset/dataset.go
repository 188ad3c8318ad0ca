// Package dataset defines the format of datasets: a dataset consists of chunks, each with a digest
// and a size, which are grouped into parts. The package does not track which machines hold a
// dataset or which jobs need it.
//
// A dataset is immutable: its name identifies one manifest, and the digest of the manifest's bytes
// identifies the whole content. The format is described in docs/data.md.
package dataset

import "regexp"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// nameRequirement states the requirement of ValidName in error messages.
const nameRequirement = "must be 1 to 64 of a-z, 0-9, '.', '_' and '-'"

// ValidName returns whether name is a valid dataset name: 1 to 64 characters from a-z, 0-9, dot,
// underscore and dash, of which the first is a letter or a digit.
func ValidName(name string) bool { return namePattern.MatchString(name) }
