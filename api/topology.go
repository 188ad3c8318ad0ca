package api

// TopologyView is the topology as the leader sees it.
type TopologyView struct {
	Version int          `json:"version"`
	Domains []DomainView `json:"domains"`
	// Unlisted counts the machines that are in no domain, Ambiguous those that are in two.
	Unlisted  int `json:"not_named"`
	Ambiguous int `json:"named_twice"`
	// Waiting are the jobs with tasks that wait for their inputs.
	Waiting []WaitingView `json:"waiting"`
	// Reserved are the domains that are being drained for a job.
	Reserved []ReservedView `json:"reserved"`
}

// ReservedView is a domain that is kept free for a job.
type ReservedView struct {
	Domain string `json:"domain"`
	Job    string `json:"job"`
	// InS is about when the reservation ends, in seconds from now.
	InS float64 `json:"in_s"`
}

// DomainView is one domain of the topology. The free amounts are those of machines that may get work now.
type DomainView struct {
	Name  string `json:"name"`
	Level string `json:"level"`
	// In is the domain around this one; empty for an outermost one.
	In string `json:"in,omitempty"`
	// Machines counts the domain's machines, Usable those that may get work now.
	Machines int     `json:"machines"`
	Usable   int     `json:"usable"`
	CPUs     float64 `json:"free_cpus"`
	Cards    float64 `json:"free_cards"`
	MemoryGB float64 `json:"free_memory_gb"`
	// Silent tells that the domain has machines and none of them may get work.
	Silent bool `json:"silent"`
}

// Explanation tells where a job's tasks are and why others wait.
type Explanation struct {
	Job   string `json:"job"`
	State string `json:"state"`
	// Tasks, Done and Waiting count tasks.
	Tasks     int            `json:"tasks"`
	Done      int            `json:"done"`
	Waiting   int            `json:"waiting"`
	Why       []string       `json:"why"`
	Locations []TaskLocation `json:"stands"`
}

// TaskLocation is how many tasks of a job are, or may be, in one domain, or on a machine that is in none.
type TaskLocation struct {
	Domain string `json:"domain"`
	Level  string `json:"level"`
	Tasks  int    `json:"tasks"`
	// Unconfirmed counts those of them on machines from which no heartbeats come.
	Unconfirmed int `json:"unsure"`
}

// WaitingView is a job with tasks that wait for their inputs.
type WaitingView struct {
	Job string `json:"job"`
	// Tasks counts those that wait.
	Tasks int    `json:"tasks"`
	Why   string `json:"why"`
}
