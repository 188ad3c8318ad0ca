package cli

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/dustin/go-humanize"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/experiment"
)

// localityExperiment returns the command that compares placement strategies for tasks with input datasets.
func localityExperiment() *cobra.Command {
	options := experiment.LocalityDefaults()
	cmd := newExperimentCommand(&cobra.Command{
		Use:   "locality",
		Short: "Bytes moved and start delays with inputs, under four placements",
		Long: "Plays the same jobs, each of whose tasks needs a part of a dataset, under four placements: blind (by load alone), images (by load and\n" +
			"images), locality (by load, images and inputs; copies from peers; copied once a machine has room) and locality+staging (copied ahead\n" +
			"as well). Agents, store and links are real and go over loopback with limited rates; workers are simulated. Takes about two minutes.",
		Example: "  switchferry experiment locality\n  switchferry experiment locality --seed 7 --json > locality.json",
	}, experimentSpec[*experiment.LocalityResult]{
		jsonUsage: printJSONUsage,
		progress:  &options.Progress,
		run:       options.Run,
		fillTable: fillLocalityTable,
	})
	flags := cmd.Flags()
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the jobs")
	flags.IntVar(&options.Machines, "machines", options.Machines, "machines")
	flags.IntVar(&options.Jobs, "jobs", options.Jobs, "jobs of four tasks a workload")
	flags.Float64Var(&options.Load, "load", options.Load, "share of the machines that the jobs fill on average")
	flags.Float64SliceVar(&options.Skews, "zipf", options.Skews, "skews of the jobs over the datasets, a workload each")
	flags.IntVar(&options.CachedParts, "cached-parts", options.CachedParts, "parts that a machine's cache holds")
	flags.IntVar(&options.AtOnce, "at-once", options.AtOnce, "runs at the same time; fewer disturb each other less")
	flags.StringVar(&options.Dir, "dir", options.Dir, "where the caches stand meanwhile; some 4 GB")
	return cmd
}

// fillLocalityTable fills the table with a row for each workload and placement strategy.
func fillLocalityTable(result *experiment.LocalityResult, writer table.Writer) {
	writer.SetTitle("%d jobs on %d machines, seed %d; %s", result.Jobs, result.Machines, result.Seed, result.Measured)
	writer.AppendHeader(table.Row{"zipf", "placement", "from store", "of least", "from peers", "start p50", "p95", "p99 ms", "makespan s"})
	for _, workload := range result.Workloads {
		for _, figures := range workload.Placements {
			writer.AppendRow(table.Row{workload.Zipf, figures.Name, humanize.Bytes(uint64(figures.StoreBytes)), fmt.Sprintf("%.2f", float64(figures.StoreBytes)/float64(figures.MinStoreBytes)),
				humanize.Bytes(uint64(figures.PeerBytes)), figures.StartP50, figures.StartP95, figures.StartP99, fmt.Sprintf("%.1f", figures.MakespanS)})
		}
		writer.AppendSeparator()
	}
}

// topologyExperiment returns the command that compares placement strategies for jobs with topology constraints.
func topologyExperiment() *cobra.Command {
	options := experiment.TopologyDefaults()
	cmd := newExperimentCommand(&cobra.Command{
		Use:   "topology",
		Short: "Jobs that must stand near, or survive a rack, under three placements",
		Long: "Jobs come and go on a simulated fleet in racks whose switches fail, placed by the leader with a topology, by the leader without one,\n" +
			"and at random within the same bounds. What could have stood near is decided by a linear program. Machines and time are simulated.",
		Example: "  switchferry experiment topology --seed 1\n  switchferry experiment topology --machines 1000 --seeds 20 --json | jq .placements",
	}, experimentSpec[*experiment.TopologyResult]{
		jsonUsage: printJSONUsage,
		progress:  &options.Progress,
		prepare: func() error {
			if options.Machines < 16 || options.Seconds < 1 || options.Seeds < 1 || !(options.Load > 0) {
				return withExitCode(ExitUsage, errors.New("--machines must be 16 or more; --seconds and --seeds 1 or more; --load above 0"))
			}
			if options.Placer != "" && !slices.Contains(experiment.TopologyPlacements, options.Placer) {
				return withExitCode(ExitUsage, fmt.Errorf("--only: must be one of %s, not %q", strings.Join(experiment.TopologyPlacements, ", "), options.Placer))
			}
			return nil
		},
		run:       options.Run,
		fillTable: fillTopologyTable,
	})
	flags := cmd.Flags()
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "the first seed")
	flags.IntVar(&options.Seeds, "seeds", options.Seeds, "how many seeds are played")
	flags.IntVar(&options.Machines, "machines", options.Machines, "machines of the fleet")
	flags.IntVar(&options.Seconds, "seconds", options.Seconds, "simulated seconds of each seed")
	flags.StringVar(&options.Placer, "only", "", "play one placement alone: topology, today or random")
	flags.Float64Var(&options.Load, "load", options.Load, "which part of the fleet's CPUs is asked for")
	return cmd
}

// fillTopologyTable fills the table with a row for each placement strategy.
func fillTopologyTable(result *experiment.TopologyResult, writer table.Writer) {
	writer.AppendHeader(table.Row{"placement", "tasks", "violations", "close possible", "close", "wait p95, s", "fragmentation", "decision p50, us", "p99, us"})
	for _, figures := range result.Placements {
		writer.AppendRow(table.Row{figures.Name, figures.Placed, figures.Violations, figures.ClosePossible, figures.CloseTogether, figures.WaitP95, fmt.Sprintf("%.3f", figures.Fragmentation), fmt.Sprintf("%.0f", figures.DecisionP50), fmt.Sprintf("%.0f", figures.DecisionP99)})
	}
}
