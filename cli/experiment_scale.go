package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/experiment"
)

// scaleExperiment returns the command that measures real controllers with a growing fleet of simulated workers, and
// under faults.
func scaleExperiment() *cobra.Command {
	options := experiment.ScaleDefaults()
	var measurementsFile string
	cmd := newExperimentCommand(&cobra.Command{
		Use:   "scale",
		Short: "Grow a fleet of hollow workers on real controllers to the operators' future size, and strike it",
		Long: "Three processes of this program serve, a few run as agents, and hollow workers in this process speak the workers' protocol to them over\n" +
			"loopback, with the project's stand-ins of state service and cloud and their limits. Each size is measured; at one of them failures are\n" +
			"played one after the other. Anything that the protocol's rules forbid makes the run fail. With all defaults it takes some 20 minutes,\n" +
			"2 GB of memory and 12 processes. Cases: " + strings.Join(experiment.ScaleCases(), ", ") + ".",
		Example: "  switchferry experiment scale --json --slopes measured.json > scale.json && go run ./cmd/scaleplot scale.json plots\n  switchferry experiment scale --sizes 40 --cases-at 40 --cases leader --step 5",
	}, experimentSpec[*experiment.ScaleResult]{
		jsonUsage: printAsJSONUsage,
		progress:  &options.Progress,
		prepare:   func() error { return withExitCode(ExitFailed, setExecutablePath(&options.Program)) },
		run: func(ctx context.Context) (*experiment.ScaleResult, error) {
			result, err := options.Run(ctx)
			if err != nil {
				return nil, err
			}
			return result, writeMeasurements(measurementsFile, result)
		},
		fillTable: fillScaleTable,
	})
	flags := cmd.Flags()
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "of the users' choices")
	flags.IntSliceVar(&options.Sizes, "sizes", options.Sizes, "numbers of workers, ascending")
	flags.IntVar(&options.CasesAt, "cases-at", options.CasesAt, "the size at which the cases are played")
	flags.StringSliceVar(&options.Cases, "cases", options.Cases, "cases to play, in this order; none: --cases \"\"")
	flags.Float64Var(&options.TasksPerWorker, "tasks-per-worker", options.TasksPerWorker, "tasks a worker that run for good")
	flags.Float64Var(&options.StartsPerS, "starts", options.StartsPerS, "tasks of arrays that come and go, started a second at --cases-at workers")
	flags.IntVar(&options.Teams, "teams", options.Teams, "teams with limits and guarantees")
	flags.IntVar(&options.Agents, "agents", options.Agents, "real agents")
	flags.Float64Var(&options.StepS, "step", options.StepS, "how long a size is measured, seconds")
	flags.Float64Var(&options.WatchS, "watch", options.WatchS, "how long a case is watched after its cause is over, seconds")
	flags.Float64Var(&options.CutS, "cut", options.CutS, "how long a rack or a zone is lost, seconds")
	flags.Float64Var(&options.RegionCutS, "apart", options.RegionCutS, "how long regions are apart, seconds")
	flags.Float64Var(&options.OutageS, "outage", options.OutageS, "how long the state service is out, seconds")
	flags.Float64Var(&options.ChangeIntervalS, "changes-every", 0, "how often the configuration is changed, seconds; 0: live configuration is off")
	flags.StringVar(&options.LogDir, "log-dir", "", "where the controllers' logs go; none: dropped")
	flags.StringVar(&options.LogLevel, "log-level", "", "their level, with --log-dir: error, info or debug")
	flags.StringVar(&measurementsFile, "slopes", "", "file for the figures that `switchferry capacity` fits")
	return cmd
}

// fillScaleTable fills the table with a row for each size and each case.
func fillScaleTable(result *experiment.ScaleResult, writer table.Writer) {
	writer.SetTitle("seed %d; %s", result.Seed, result.Measured)
	writer.AppendHeader(table.Row{"workers", "span", "tasks", "starts/s", "leader, cores", "p99", "MB", "descriptors", "follower, cores", "MB", "agent, cores", "MB", "urgent p99 ms", "unstarted", "accept p99 ms"})
	for _, step := range result.Steps {
		appendScaleStep(writer, &step)
	}
	writer.AppendSeparator()
	for _, outcome := range result.Cases {
		appendScaleStep(writer, &outcome.Step)
	}
}

// appendScaleStep appends the row of a size or case.
func appendScaleStep(writer table.Writer, step *experiment.ScaleStep) {
	leader, follower, agents, urgent := &step.Leader, &step.Follower, &step.Agents, step.Waits["high"]
	writer.AppendRow(table.Row{
		step.Workers, step.Name, step.Tasks, fmt.Sprintf("%.0f", step.Starts),
		fmt.Sprintf("%.3f", leader.CPUMean), fmt.Sprintf("%.2f", leader.CPUP99), fmt.Sprintf("%.0f", leader.MemoryMB), leader.Descriptors,
		fmt.Sprintf("%.3f", follower.CPUMean), fmt.Sprintf("%.0f", follower.MemoryMB),
		fmt.Sprintf("%.4f", agents.CPUMean), fmt.Sprintf("%.0f", agents.MemoryMB),
		urgent.P99, urgent.Unstarted, step.Submissions.P99,
	})
}

// writeMeasurements writes the measurements to which `switchferry capacity` fits its model. It does nothing if the file
// name is empty.
func writeMeasurements(file string, result *experiment.ScaleResult) error {
	if file == "" {
		return nil
	}
	raw, err := json.MarshalIndent(result.Record("switchferry experiment scale --slopes "+file), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(raw, '\n'), outputFileMode)
}
