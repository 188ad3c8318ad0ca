package cli

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/experiment"
)

// handoverExperiment returns the command that measures refused and delayed submissions during rolling restarts of the
// controllers.
func handoverExperiment() *cobra.Command {
	options := experiment.HandoverDefaults()
	cmd := newExperimentCommand(&cobra.Command{
		Use:   "handover",
		Short: "Roll all controllers, told to end or killed, and measure what users meet",
		Long: "Three processes of this program with membership on serve on loopback, with the project's stand-ins. Each is told to end, or killed,\n" +
			"and begun again 4 s before the next, while users submit 50 jobs a second to those that are ready. About a minute a roll and way.",
		Example: "  switchferry experiment handover --rolls 1\n  switchferry experiment handover --json",
	}, experimentSpec[[]experiment.HandoverResult]{
		jsonUsage: printAsJSONUsage,
		progress:  &options.Progress,
		prepare:   func() error { return withExitCode(ExitUsage, setExecutablePath(&options.Program)) },
		run:       options.Run,
		fillTable: fillHandoverTable,
	})
	cmd.Flags().IntVar(&options.Rolls, "rolls", options.Rolls, "rolls of all three, each way")
	cmd.Flags().Uint64Var(&options.Seed, "seed", options.Seed, "of the users' choices")
	return cmd
}

// fillHandoverTable fills the table with a row for each kind of shutdown.
func fillHandoverTable(result []experiment.HandoverResult, writer table.Writer) {
	writer.SetTitle("real processes over loopback on this machine; simulated workers, state service and cloud")
	writer.AppendHeader(table.Row{"way", "ends", "submissions", "refused", "p50 ms", "p99 ms", "longest ms", "longest without an accept ms", "without a start ms", "an end takes ms"})
	for _, outcome := range result {
		writer.AppendRow(table.Row{outcome.Shutdown, outcome.ProcessesEnded, outcome.Submissions, outcome.Refused, outcome.P50MS, outcome.P99MS, outcome.MaxMS, outcome.LongestAcceptGapMS, outcome.LongestStartGapMS, outcome.ExitP50MS})
	}
}

// dayEndExperiment returns the command that counts lost, starved and wasted work under one-way partitions, delayed
// duplicates of heartbeats, and isolated controllers.
func dayEndExperiment() *cobra.Command {
	options := experiment.DayEndDefaults()
	cmd := newExperimentCommand(&cobra.Command{
		Use:   "dayend",
		Short: "What is forgotten, starved or done in vain on days of half-deaf machines, late copies and lone controllers",
		Long: "Three controllers in this process, with the project's stand-ins, on the real clock: machines whose reports arrive while nothing reaches\n" +
			"them, copies of reports that come late, a controller that loses the state service and the others but not its workers, processes and\n" +
			"machines that are back within a fraction of a second. All that must be 0 is counted. Some three minutes a case, --at-once of them\n" +
			"beside each other. Cases: " + strings.Join(experiment.DayEndCases(), "; ") + ".",
		Example: "  switchferry experiment dayend --sizes 30 --cases \"late copies\" --cases \"lone leader, a minute\"\n  switchferry experiment dayend --json > dayend.json",
	}, experimentSpec[*experiment.DayEndResult]{
		jsonUsage: printAsJSONUsage,
		progress:  &options.Progress,
		run:       options.Run,
		fillTable: fillDayEndTable,
	})
	cmd.Flags().IntSliceVar(&options.Sizes, "sizes", options.Sizes, "machines")
	cmd.Flags().StringArrayVar(&options.Cases, "cases", nil, "a case to play; may be given several times (default all)")
	cmd.Flags().IntVar(&options.AtOnce, "at-once", options.AtOnce, "days played beside each other")
	cmd.Flags().Float64Var(&options.SubmitForS, "lasts", options.SubmitForS, "how long users submit jobs, in seconds")
	cmd.Flags().Float64Var(&options.WaitAfterS, "after", options.WaitAfterS, "how long is waited for the rest, in seconds")
	cmd.Flags().Uint64Var(&options.Seed, "seed", options.Seed, "of machines, jobs and troubles")
	return cmd
}

// fillDayEndTable fills the table with a row for each case.
func fillDayEndTable(result *experiment.DayEndResult, writer table.Writer) {
	writer.SetTitle(result.Measured)
	writer.AppendHeader(table.Row{"case", "machines", "jobs", "tasks", "forgotten", "longest unanswered s", "pending for good", "least share of a class", "largest begin p99 s",
		"starts in vain a lease", "returned in vain", "rules broken"})
	for _, outcome := range result.Cases {
		writer.AppendRow(table.Row{outcome.Name, outcome.Machines, outcome.Jobs, outcome.TaskStarts, outcome.UnansweredJobs, fmt.Sprintf("%.1f", outcome.LongestUnansweredS), outcome.NeverStartedJobs, fmt.Sprintf("%.2f", outcome.MinStartedShare),
			fmt.Sprintf("%.1f", outcome.LargestStartDelayP99S), fmt.Sprintf("%.2f", outcome.UndeliveredStartsPerLease), outcome.BusyMachinesReturned, len(outcome.Violations)})
	}
}

// recoveryExperiment returns the command that measures how a fleet recovers from crashes of controllers and from the
// partition of a zone.
func recoveryExperiment() *cobra.Command {
	options := experiment.RecoveryDefaults()
	cmd := newExperimentCommand(&cobra.Command{
		Use:   "recovery",
		Short: "How a fleet comes through a crash of the leader, of all controllers, and a cut of a zone",
		Long: "Three processes of this program, and hollow workers in this one, over loopback, with the project's stand-ins of state service and\n" +
			"cloud. Once the fleet is at work, the leader is crashed, or all controllers, or the leader's zone is cut off; then it is watched\n" +
			"for a minute. Takes some two minutes a size and case. experiment scale plays more of it at full load.",
		Example: "  switchferry experiment recovery --sizes 300 --cases leader\n  switchferry experiment recovery --json > recovery.json",
	}, experimentSpec[*experiment.RecoveryResult]{
		jsonUsage: printJSONUsage,
		progress:  &options.Progress,
		prepare:   func() error { return withExitCode(ExitFailed, setExecutablePath(&options.Program)) },
		run:       options.Run,
		fillTable: fillRecoveryTable,
	})
	flags := cmd.Flags()
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the jobs")
	flags.IntSliceVar(&options.Sizes, "sizes", options.Sizes, "numbers of machines")
	flags.StringSliceVar(&options.Cases, "cases", options.Cases, "leader, all, zone")
	flags.Float64Var(&options.CutS, "cut", options.CutS, "how long a zone is cut off, seconds")
	flags.Float64Var(&options.WatchS, "watch", options.WatchS, "how long the fleet is watched afterwards, seconds")
	return cmd
}

// fillRecoveryTable fills the table with a row for each size and case.
func fillRecoveryTable(result *experiment.RecoveryResult, writer table.Writer) {
	writer.SetTitle("seed %d; %s", result.Seed, result.Measured)
	writer.AppendHeader(table.Row{"machines", "case", "first start s", "all heard s", "returned in vain", "tasks lost in vain", "leader's peak, cores"})
	for _, outcome := range result.Sizes {
		writer.AppendRow(table.Row{outcome.Machines, outcome.Case, fmt.Sprintf("%.1f", outcome.FirstStart), fmt.Sprintf("%.1f", outcome.AllWorkersAnswered), outcome.HealthyReturned, outcome.TasksLost, fmt.Sprintf("%.2f", outcome.LeaderCPUP99)})
	}
}

// upgradeExperiment returns the command that counts violations during a rolling upgrade from an older version to this
// one.
func upgradeExperiment() *cobra.Command {
	options := experiment.UpgradeDefaults()
	cmd := newExperimentCommand(&cobra.Command{
		Use:   "upgrade --from PROGRAM",
		Short: "Replace real processes of an older version by this one while users are at work",
		Long: "Three processes of the older program serve on loopback, with the project's stand-ins of state service, cloud and workers. They are\n" +
			"killed at random moments and come back, old until their turn and then as this program; then jobs that await others come, the state\n" +
			"service lowers its limits, jobs are cancelled and processes killed. What must never happen is counted. About 40 s a run.",
		Example: "  git worktree add ../old $(sed -n 's/^production = \"\\(.*\\)\"$/\\1/p' deploy/service.toml)\n" +
			"  (cd ../old && go build -o /tmp/old ./cmd/switchferry)\n  switchferry experiment upgrade --from /tmp/old --json",
	}, experimentSpec[*experiment.UpgradeResult]{
		jsonUsage: printAsJSONUsage,
		progress:  &options.Progress,
		prepare: func() error {
			if options.To == "" {
				if err := setExecutablePath(&options.To); err != nil {
					return withExitCode(ExitFailed, err)
				}
			}
			if options.From == "" {
				return withExitCode(ExitUsage, errors.New("--from is missing: the program of the older version"))
			}
			return nil
		},
		run:       options.Run,
		fillTable: fillUpgradeTable,
	})
	flags := cmd.Flags()
	flags.StringVar(&options.From, "from", "", "the program of the older version")
	flags.StringVar(&options.To, "to", "", "the program of the newer version; none: this one")
	flags.IntVar(&options.Runs, "runs", options.Runs, "how many runs")
	flags.IntVar(&options.Workers, "workers", options.Workers, "machines")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "of the first run; the next have the following numbers")
	return cmd
}

// fillUpgradeTable fills the table with a row for each run.
func fillUpgradeTable(result *experiment.UpgradeResult, writer table.Writer) {
	writer.SetTitle("%s", result.Measured)
	writer.AppendHeader(table.Row{"seed", "kills", "came back old", "jobs", "that await", "tasks", "ran twice", "too early", "wrong states", "forgotten", "not over", "refused for size", "switched s"})
	for _, run := range result.Runs {
		writer.AppendRow(table.Row{run.Seed, run.Kills, run.RestartedOld, run.Jobs, run.Awaiting, run.Tasks, run.RanTwice, run.TooEarly, run.WrongStates, run.Forgotten, run.Unfinished, run.RefusedForSize, fmt.Sprintf("%.1f", run.AwaitingAcceptedAfterS)})
	}
}
