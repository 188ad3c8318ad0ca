package dataset

// States of a registered dataset.
const (
	// Listed means that jobs may use the dataset. It is the empty string because records written
	// before the other states existed have no state.
	Listed = ""
	// Removing means that new jobs may not use the dataset, while jobs accepted earlier may still
	// need it.
	Removing = "removing"
	// Removed means that no job needs the dataset any more. The state is terminal. The record is
	// kept because a name is never reused for other content.
	Removed = "removed"
)

// Entry is the stored record of a registered dataset.
type Entry struct {
	Summary
	// State is Listed, Removing or Removed.
	State string `json:"state,omitempty"`
	// Revision is the revision of the record. A job is accepted only if the records of its datasets
	// still have the revisions at which they were read.
	Revision uint64 `json:"-"`
}
