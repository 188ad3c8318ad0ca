package dataset

// States of a dataset on record.
const (
	// Listed: jobs may name it. It is the empty text, so that records from before there
	// were others read the same.
	Listed = ""
	// Removing: no new job may; those accepted before still need it.
	Removing = "removing"
	// Removed: nothing needs it any more, for good. The record stays, since a name is
	// never used for other content.
	Removed = "removed"
)

// Entry is a dataset on record.
type Entry struct {
	Summary
	State string `json:"state,omitempty"`
	// Stamp is the revision of the record: a job is accepted only if its datasets stand
	// as they were read.
	Stamp uint64 `json:"-"`
}
