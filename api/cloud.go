package api

import "slices"

// MachineType is a machine type in the cloud's catalog.
type MachineType struct {
	Name     string  `json:"sku"`
	CPUs     float64 `json:"cores"`
	Cards    float64 `json:"cards"`
	MemoryGB float64 `json:"ram_gb"`
	// CacheGB is the size of the image cache in gigabytes. PullGBs is the image download rate in gigabytes per second.
	CacheGB float64 `json:"cache_gb"`
	PullGBs float64 `json:"pull_gb_per_s"`
	// Price and SpotPrice are prices per hour. SpotPrice is the current spot price.
	Price     float64 `json:"hourly"`
	SpotPrice float64 `json:"low_price"`
	// BootS is the nominal boot time in seconds.
	BootS float64  `json:"ready_s"`
	Zones []string `json:"berths"`
}

// Fits reports whether one task of a job fits on an empty machine of this type in a zone that the job allows.
func (machineType *MachineType) Fits(submission *Submission) bool {
	const tolerance = 1e-9
	switch {
	case machineType.CPUs+tolerance < submission.CPUs,
		machineType.Cards+tolerance < submission.Cards,
		machineType.MemoryGB+tolerance < submission.MemoryGB:
		return false
	case submission.Image != "" && machineType.CacheGB > 0 && submission.ImageGB > machineType.CacheGB:
		return false
	case len(submission.Types) > 0 && !slices.Contains(submission.Types, machineType.Name):
		return false
	}
	return submission.Zone == "" || slices.Contains(machineType.Zones, submission.Zone)
}

// InstanceRequest asks the cloud for machines. Repeating a successful request returns the original response,
// so an IdempotencyKey must not be reused for a different request.
type InstanceRequest struct {
	IdempotencyKey string `json:"charter"`
	Type           string `json:"hull"`
	Zone           string `json:"berth"`
	Spot           bool   `json:"standby"`
	Count          int    `json:"how_many"`
}

// Instance is a machine in the cloud's list.
type Instance struct {
	Name    string `json:"name_id"`
	Address string `json:"address"`
	Type    string `json:"hull"`
	Zone    string `json:"berth"`
	Spot    bool   `json:"standby"`
	State   string `json:"status"`
	// AgeS is the time in seconds from the request for the machine to the moment that the list describes.
	AgeS float64 `json:"held_s"`
}
