package api

// ConfigurationRequest asks for a change of the live configuration.
type ConfigurationRequest struct {
	// Document is the whole new configuration, as TOML.
	Document string `json:"document"`
	// By and Why, the operator and the reason, are stored with the revision.
	By  string `json:"by"`
	Why string `json:"why"`
	// Expect is the revision that must be the current one, 0 for none; nil means whichever is.
	Expect *uint64 `json:"expect,omitempty"`
}

// ConfigurationView shows a revision of the live configuration. Revision 0 is what files and settings say.
type ConfigurationView struct {
	Revision uint64 `json:"revision"`
	By       string `json:"by,omitempty"`
	Why      string `json:"why,omitempty"`
	// AtMS is when it was applied, in milliseconds of the time of day.
	AtMS     int64  `json:"at_ms,omitempty"`
	Document string `json:"document,omitempty"`
	// InForce tells that no controller decides or answers by an older revision; else WaitsFor says whom
	// that waits for.
	InForce  bool     `json:"in_force"`
	WaitsFor []string `json:"waits_for,omitempty"`
	// Newest is the newest stored revision. If it is another than Revision, NotTaken says why.
	Newest   uint64 `json:"newest,omitempty"`
	NotTaken string `json:"not_taken,omitempty"`
	// Leader tells that the leader answers; else the answer is read from the stored records.
	Leader bool `json:"leader"`
}

// ConfigurationFieldError is one error in a document.
type ConfigurationFieldError struct {
	// Line counts from 1; 0 means that the error is not in one line.
	Line  int    `json:"line,omitempty"`
	Field string `json:"field"`
	// Remedy says what the field must be.
	Remedy string `json:"remedy"`
}

// ConfigurationFieldErrors refuses a document, with all its errors.
type ConfigurationFieldErrors struct {
	Error    string                    `json:"error"`
	Mistakes []ConfigurationFieldError `json:"mistakes"`
}

// ConfigurationConflict refuses a change that expected another revision than the current one, which
// Revision, By and Why are about.
type ConfigurationConflict struct {
	Error    string `json:"error"`
	Revision uint64 `json:"revision"`
	By       string `json:"by"`
	Why      string `json:"why"`
	// Differences are those from the current revision to the refused document.
	Differences []string `json:"differences"`
}
