package dataset

// States of a registered dataset.
const (
	// Listed means that jobs may use the dataset. It is the empty string, as in records that were
	// written before there were other states.
	Listed = ""
	// Removing means that new jobs may not use it; those that were accepted before still need it.
	Removing = "removing"
	// Removed means that nothing needs it any more, for good. The record stays, since a name is
	// never reused for other content.
	Removed = "removed"
)

// Entry is a registered dataset as it stands in its record.
type Entry struct {
	Summary
	// State is Listed, Removing or Removed.
	State string `json:"state,omitempty"`
	// Stamp is the revision of the record. A job is accepted only if the records of its datasets
	// are still those that were read.
	Stamp uint64 `json:"-"`
}
