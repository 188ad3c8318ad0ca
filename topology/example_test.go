package topology_test

import (
	"fmt"

	"switchferry/fleet"
	"switchferry/topology"
)

// A zone has two racks. The tasks of a gang must run in one rack, and only the second rack has enough free resources.
func Example() {
	declared, err := topology.Parse([]byte(`version = 1

[[domain]]
name = "west"
level = "zone"

[[domain]]
name = "rack-1"
level = "rack"
in = "west"
machines = ["n-1*"]

[[domain]]
name = "rack-2"
level = "rack"
in = "west"
machines = ["n-2*"]
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	tree := topology.NewTree(declared)
	tree.Set("n-10", fleet.Resources{CPUs: 8, MemoryGB: 32}, true)
	tree.Set("n-20", fleet.Resources{CPUs: 8, MemoryGB: 32}, true)
	tree.Set("n-21", fleet.Resources{CPUs: 16, MemoryGB: 64}, true)

	gang := topology.Constraint{Resources: fleet.Resources{CPUs: 4, MemoryGB: 8}, Tasks: 5}
	best, _, _ := tree.BestDomain(topology.Rack, gang)
	fmt.Println("5 tasks fit into", best.Name)

	gang.Tasks = 7
	_, nearest, shortfall := tree.BestDomain(topology.Rack, gang)
	fmt.Printf("7 tasks fit into no rack; %s is nearest, without resources for %d\n", nearest.Name, shortfall)

	// Output:
	// 5 tasks fit into rack-2
	// 7 tasks fit into no rack; rack-2 is nearest, without resources for 1
}
