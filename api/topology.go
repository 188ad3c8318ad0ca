package api

// TopologyView describes the topology in the leader's current state.
type TopologyView struct {
	Version int          `json:"version"`
	Domains []DomainView `json:"domains"`
	// Unlisted is the number of machines in no domain, Ambiguous the number of machines in two domains.
	Unlisted  int `json:"not_named"`
	Ambiguous int `json:"named_twice"`
	// Waiting lists the jobs with tasks that wait because of placement constraints.
	Waiting []WaitingView `json:"waiting"`
	// Reserved lists the domains that are being drained for a job.
	Reserved []ReservedView `json:"reserved"`
}

// ReservedView is a domain that is reserved for a job.
type ReservedView struct {
	Domain string `json:"domain"`
	Job    string `json:"job"`
	// EndsInS is the approximate time until the reservation ends, in seconds.
	EndsInS float64 `json:"in_s"`
}

// DomainView is one domain of the topology. Free amounts are those of machines that can currently be given tasks.
type DomainView struct {
	Name  string `json:"name"`
	Level string `json:"level"`
	// Parent is the parent domain; empty for an outermost domain.
	Parent string `json:"in,omitempty"`
	// Machines is the number of machines in the domain, Usable the number of those that can currently be given tasks.
	Machines     int     `json:"machines"`
	Usable       int     `json:"usable"`
	FreeCPUs     float64 `json:"free_cpus"`
	FreeCards    float64 `json:"free_cards"`
	FreeMemoryGB float64 `json:"free_memory_gb"`
	// Unavailable is true if the domain has machines and none of them can be given tasks.
	Unavailable bool `json:"silent"`
}

// Explanation describes where a job's tasks are placed and why others wait.
type Explanation struct {
	Job   string `json:"job"`
	State string `json:"state"`
	// Tasks, Done and Waiting are the numbers of all, completed and waiting tasks.
	Tasks     int            `json:"tasks"`
	Done      int            `json:"done"`
	Waiting   int            `json:"waiting"`
	Reasons   []string       `json:"why"`
	Locations []TaskLocation `json:"stands"`
}

// TaskLocation is the number of tasks of a job that are, or may be, in one domain or on a machine in no domain.
type TaskLocation struct {
	Domain string `json:"domain"`
	Level  string `json:"level"`
	Tasks  int    `json:"tasks"`
	// Unconfirmed is the number of those tasks on machines that send no heartbeats.
	Unconfirmed int `json:"unsure"`
}

// WaitingView is a job with waiting tasks, and the reason why they wait.
type WaitingView struct {
	Job string `json:"job"`
	// Tasks is the number of waiting tasks.
	Tasks  int    `json:"tasks"`
	Reason string `json:"why"`
}
