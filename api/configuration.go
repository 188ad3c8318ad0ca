package api

// ConfigurationRequest is a request to change the live configuration.
type ConfigurationRequest struct {
	// Document is the complete new configuration in TOML.
	Document string `json:"document"`
	// Operator is the name of the operator who requests the change and Reason the reason for it. Both are stored with
	// the revision.
	Operator string `json:"by"`
	Reason   string `json:"why"`
	// ExpectedRevision is the revision that must be current for the change to apply; 0 means that no revision may be
	// stored, nil that any revision is accepted.
	ExpectedRevision *uint64 `json:"expect,omitempty"`
}

// ConfigurationView describes a revision of the live configuration. Revision 0 is the configuration that the
// files and settings define.
type ConfigurationView struct {
	Revision uint64 `json:"revision"`
	Operator string `json:"by,omitempty"`
	Reason   string `json:"why,omitempty"`
	// AppliedAtMS is the time at which the revision was applied, in milliseconds since the Unix epoch.
	AppliedAtMS int64  `json:"at_ms,omitempty"`
	Document    string `json:"document,omitempty"`
	// InForce is true if no controller decides or answers by an older revision. Otherwise WaitsFor lists the
	// conditions that are not yet met.
	InForce  bool     `json:"in_force"`
	WaitsFor []string `json:"waits_for,omitempty"`
	// Newest is the newest stored revision. If it differs from Revision, NotAppliedReason gives the reason.
	Newest           uint64 `json:"newest,omitempty"`
	NotAppliedReason string `json:"not_taken,omitempty"`
	// FromLeader is true if the leader produced this view. Otherwise the view was read from the stored records.
	FromLeader bool `json:"leader"`
}

// ConfigurationFieldError is one error in a configuration document.
type ConfigurationFieldError struct {
	// Line is the line number, from 1; 0 means that the error cannot be attributed to one line.
	Line  int    `json:"line,omitempty"`
	Field string `json:"field"`
	// Remedy describes the valid values of the field.
	Remedy string `json:"remedy"`
}

// ConfigurationFieldErrors rejects a configuration document and lists all its errors.
type ConfigurationFieldErrors struct {
	Error       string                    `json:"error"`
	FieldErrors []ConfigurationFieldError `json:"mistakes"`
}

// ConfigurationConflict rejects a change whose expected revision is not the current one. Revision, Operator
// and Reason describe the current revision.
type ConfigurationConflict struct {
	Error    string `json:"error"`
	Revision uint64 `json:"revision"`
	Operator string `json:"by"`
	Reason   string `json:"why"`
	// Differences lists the differences between the current revision and the rejected document.
	Differences []string `json:"differences"`
}
