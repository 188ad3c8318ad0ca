package policy

import (
	"maps"
	"slices"

	"switchferry/tuning"
)

// Names of the settings in the policy file. The definitions table describes them.
const (
	SlotS        = "slot_s"
	FetchPenalty = "fetch_penalty"
	HeadroomCPUs = "headroom_cpus"
	IdleKeepS    = "idle_keep_s"
	SpotShare    = "spot_share"
	ReserveCPUs  = "reserve_cpus"
	BeginByS     = "begin_by_s"
)

// definition describes a setting.
type definition struct {
	// description is the text for operators, with the unit.
	description string
	// fallback is the built-in expression.
	fallback string
	// variables lists the variables that expressions may use.
	variables []string
	// min and max bound the valid values, inclusively.
	min, max float64
}

// inRange reports whether a value is within the valid range.
func (setting definition) inRange(value float64) bool {
	return value >= setting.min && value <= setting.max
}

// definitions holds all settings by name.
var definitions = map[string]definition{
	SlotS: {"length of a slot of the water-filling, in seconds", "2",
		nil, 0.1, 600},
	FetchPenalty: {"slots added to the busy time of a machine that lacks the image", "ceil(fetch_s / slot_s)",
		[]string{"fetch_s", "slot_s"}, 0, 1e6},
	HeadroomCPUs: {"processors to keep beyond what unfinished jobs ask for", "0.4 * demand_cpus + 0.25 * guaranteed_cpus",
		[]string{"demand_cpus", "guaranteed_cpus"}, 0, 1e6},
	IdleKeepS: {"how long a machine stays without work before it is returned, in seconds", "max(20, 8 * boot_s)",
		[]string{"boot_s"}, 0, 1e6},
	ReserveCPUs: {"processors that jobs of rank low leave free while others have work", "0.1 * owned_cpus",
		[]string{"owned_cpus"}, 0, 1e6},
	BeginByS: {"how long a job may wait without a start before it has one task's turn ahead of all but production, in seconds", "150",
		nil, 10, tuning.MaxBeginByS},
	SpotShare: {"largest share of all processors that spot machines may be", "1",
		[]string{"demand_cpus"}, 0, 1},
}

// Names returns the names of all settings in alphabetical order.
func Names() []string { return slices.Sorted(maps.Keys(definitions)) }

// Describe returns the description of a setting, its built-in expression, and its variables.
func Describe(name string) (description, fallback string, variables []string) {
	setting := definitions[name]
	return setting.description, setting.fallback, setting.variables
}
