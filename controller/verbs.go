package controller

// Verbs of requests between controllers.
const (
	VerbSubmit = "submit"
	VerbStatus = "status"
	VerbCancel = "cancel"
	// verbReport is a worker's heartbeat that a peer forwards.
	verbReport = "report"
)

// Verbs of requests about datasets, which are served only with the feature on.
const (
	// VerbRegister makes a dataset known.
	VerbRegister = "register"
	// VerbData shows datasets, holders and copies.
	VerbData = "data"
	// VerbRemove removes a dataset, or tells how far that is; Request.Job names it.
	VerbRemove = "remove"
	// verbStage is an agent's heartbeat that a peer forwards.
	verbStage = "stage"
)

// Verbs of requests about where machines and jobs stand.
const (
	// VerbTopology shows the tree of domains; it is served only with a topology.
	VerbTopology = "topology"
	// VerbExplain tells why a job waits, or where it stands; Request.Job names it.
	VerbExplain = "explain"
)

// VerbMembers shows how this controller sees all members, served only with membership on.
const VerbMembers = "members"

// Verbs of requests about the configuration.
const (
	// VerbConfiguration shows the configuration. Request.Job is empty for the present one, a revision's number, or
	// httpapi.History.
	VerbConfiguration = "configuration"
	// VerbConfigure changes the configuration.
	VerbConfigure = "configure"
	// verbConfirm has a peer look for the newest revision now.
	verbConfirm = "confirm-configuration"
)
