package controller

import (
	"switchferry/features"
	"switchferry/topology"
)

// optionalFeatures are what the operators have switched on. They are set before Run and do not change after it; the parts
// of a controller share them.
type optionalFeatures struct {
	// topology is nil without a topology file.
	topology *topology.File
	// data says whether datasets are on, and how their copies are placed.
	data features.Data
}
