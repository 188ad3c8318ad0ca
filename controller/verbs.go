package controller

// Verbs of requests about jobs and of workers' heartbeats.
const (
	// VerbSubmit submits a job; Request.Body is the submission.
	VerbSubmit = "submit"
	// VerbStatus returns the status of a job; Request.Job is the job's id.
	VerbStatus = "status"
	// VerbCancel cancels a job; Request.Job is the job's id.
	VerbCancel = "cancel"
	// verbForwardHeartbeat is a worker's heartbeat that a peer forwards.
	verbForwardHeartbeat = "report"
)

// Verbs of requests about datasets, which are served only with the feature on.
const (
	// VerbRegister registers a dataset.
	VerbRegister = "register"
	// VerbData lists datasets, the machines that hold them and the copies in progress.
	VerbData = "data"
	// VerbRemove removes a dataset or reports the progress of its removal; Request.Job holds the dataset's name.
	VerbRemove = "remove"
	// verbForwardStageHeartbeat is an agent's heartbeat that a peer forwards.
	verbForwardStageHeartbeat = "stage"
)

// Verbs of requests about the locations of machines and jobs.
const (
	// VerbTopology returns the tree of topology domains; it is served only with a topology file.
	VerbTopology = "topology"
	// VerbExplain explains why a job waits or where its tasks run; Request.Job is the job's id.
	VerbExplain = "explain"
)

// VerbMembers returns this controller's view of all members; it is served only with membership on.
const VerbMembers = "members"

// Verbs of requests about the configuration.
const (
	// VerbConfiguration returns a configuration. Request.Job is empty for the current one, or a revision number, or
	// httpapi.History for the list of revisions.
	VerbConfiguration = "configuration"
	// VerbConfigure changes the configuration; Request.Body is the change as JSON.
	VerbConfigure = "configure"
	// verbRefreshConfiguration makes a peer read the newest configuration revision now.
	verbRefreshConfiguration = "confirm-configuration"
)
