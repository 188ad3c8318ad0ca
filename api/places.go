package api

// TopologyView is the tree as the leader sees it.
type TopologyView struct {
	Version int          `json:"version"`
	Domains []DomainView `json:"domains"`
	// Unlisted machines stand in no domain, Ambiguous ones in two.
	Unlisted  int           `json:"not_named"`
	Ambiguous int           `json:"named_twice"`
	Waiting   []WaitingView `json:"waiting"`
	// Reserved are domains that drain for a job.
	Reserved []ReservedView `json:"reserved"`
}

// ReservedView is a domain that is kept for a job until about then, in seconds from now.
type ReservedView struct {
	Domain string  `json:"domain"`
	Job    string  `json:"job"`
	InS    float64 `json:"in_s"`
}

// DomainView is one domain; its room is free on machines that may get work now. Silent: it has
// machines, and none of them may.
type DomainView struct {
	Name     string  `json:"name"`
	Level    string  `json:"level"`
	In       string  `json:"in,omitempty"`
	Machines int     `json:"machines"`
	Usable   int     `json:"usable"`
	CPUs     float64 `json:"free_cpus"`
	Cards    float64 `json:"free_cards"`
	MemoryGB float64 `json:"free_memory_gb"`
	Silent   bool    `json:"silent"`
}

// Explanation tells where a job's tasks stand and why others wait.
type Explanation struct {
	Job       string         `json:"job"`
	State     string         `json:"state"`
	Tasks     int            `json:"tasks"`
	Done      int            `json:"done"`
	Waiting   int            `json:"waiting"`
	Why       []string       `json:"why"`
	Locations []TaskLocation `json:"stands"`
}

// TaskLocation is how many tasks of a job are, or may be, in a domain, or on a machine in none.
type TaskLocation struct {
	Domain string `json:"domain"`
	Level  string `json:"level"`
	Tasks  int    `json:"tasks"`
	// Unconfirmed are those of them on machines that are not heard.
	Unconfirmed int `json:"unsure"`
}

// WaitingView is a job with tasks that wait for their inputs.
type WaitingView struct {
	Job   string `json:"job"`
	Tasks int    `json:"tasks"`
	Why   string `json:"why"`
}
