package controller

import (
	"switchferry/features"
	"switchferry/topology"
)

// optionalFeatures holds the features that operators have switched on. It is shared by the components of a controller
// and does not change after Run is called.
type optionalFeatures struct {
	// topology is the topology file, or nil if there is none.
	topology *topology.File
	// data specifies whether datasets are on and how their copies are placed.
	data features.Data
}
