package api

// ConfigurationRequest asks for a change of the configuration.
type ConfigurationRequest struct {
	// Document is the whole new one, as TOML.
	Document string `json:"document"`
	// By and Why are kept with the revision.
	By  string `json:"by"`
	Why string `json:"why"`
	// Expect is the revision that must be the present one, 0 for none; nil: whichever is.
	Expect *uint64 `json:"expect,omitempty"`
}

// ConfigurationView shows a revision; Revision 0 is what files and settings say.
type ConfigurationView struct {
	Revision uint64 `json:"revision"`
	By       string `json:"by,omitempty"`
	Why      string `json:"why,omitempty"`
	// AtMS is when it was applied, in milliseconds of the time of day.
	AtMS     int64  `json:"at_ms,omitempty"`
	Document string `json:"document,omitempty"`
	// InForce: nobody decides or answers by an older one; else WaitsFor tells whom that waits for.
	InForce  bool     `json:"in_force"`
	WaitsFor []string `json:"waits_for,omitempty"`
	// Newest is the newest revision on record; where it is another than Revision, NotTaken tells why.
	Newest   uint64 `json:"newest,omitempty"`
	NotTaken string `json:"not_taken,omitempty"`
	// Leader: the controller that leads tells this; else it is what the records say.
	Leader bool `json:"leader"`
}

// ConfigurationFieldError is one thing that is wrong with a document.
type ConfigurationFieldError struct {
	Line   int    `json:"line,omitempty"`
	Field  string `json:"field"`
	Remedy string `json:"remedy"`
}

// ConfigurationFieldErrors refuse a document.
type ConfigurationFieldErrors struct {
	Error    string                    `json:"error"`
	Mistakes []ConfigurationFieldError `json:"mistakes"`
}

// ConfigurationConflict refuses a change that expected another revision; the revision is the present one, and the
// differences are from it to what was wanted.
type ConfigurationConflict struct {
	Error       string   `json:"error"`
	Revision    uint64   `json:"revision"`
	By          string   `json:"by"`
	Why         string   `json:"why"`
	Differences []string `json:"differences"`
}
