package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/capacity"
	"switchferry/experiment"
	"switchferry/settings"
)

func scaleExperiment() *cobra.Command {
	options := experiment.ScaleDefaults()
	var asJSON bool
	var slopes string
	cmd := &cobra.Command{Use: "scale", Short: "Grow a fleet of hollow workers on real controllers to the operators' future size, and strike it", Args: cobra.NoArgs,
		Long: "Three processes of this program serve, a few run as agents, and hollow workers in this process speak the workers' protocol to them over\n" +
			"loopback, with the project's stand-ins of state service and cloud and their limits. Each size is measured; at one of them failures are\n" +
			"played one after the other. Anything that the protocol's rules forbid makes the run fail. With all defaults it takes some 20 minutes,\n" +
			"2 GB of memory and 12 processes. Cases: " + strings.Join(experiment.ScaleCases(), ", ") + ".",
		Example: "  switchferry experiment scale --json --slopes measured.json > scale.json && go run ./cmd/scaleplot scale.json plots\n  switchferry experiment scale --sizes 40 --cases-at 40 --cases leader --step 5",
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if options.Program, err = os.Executable(); err != nil {
				return withExitCode(ExitFailed, err)
			}
			run := func(ctx context.Context) (*experiment.ScaleResult, error) {
				res, err := options.Run(ctx)
				if err != nil {
					return nil, err
				}
				return res, writeMeasurements(slopes, res)
			}
			return runExperiment(cmd, asJSON, &options.Progress, run, func(res *experiment.ScaleResult, writer table.Writer) {
				writer.SetTitle("seed %d; %s", res.Seed, res.Measured)
				writer.AppendHeader(table.Row{"workers", "span", "tasks", "starts/s", "leader, cores", "p99", "MB", "descriptors", "follower, cores", "MB", "agent, cores", "MB", "urgent p99 ms", "unstarted", "accept p99 ms"})
				for _, s := range res.Steps {
					appendScaleStep(writer, &s)
				}
				writer.AppendSeparator()
				for _, c := range res.Cases {
					appendScaleStep(writer, &c.Step)
				}
			})
		}}
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
	flags.Float64Var(&options.ApartS, "apart", options.ApartS, "how long regions are apart, seconds")
	flags.Float64Var(&options.OutageS, "outage", options.OutageS, "how long the state service is out, seconds")
	flags.Float64Var(&options.ChangesEveryS, "changes-every", 0, "how often the configuration is changed, seconds; 0: live configuration is off")
	flags.StringVar(&options.LogDir, "log-dir", "", "where the controllers' logs go; none: dropped")
	flags.StringVar(&options.LogLevel, "log-level", "", "their level, with --log-dir: error, info or debug")
	flags.BoolVar(&asJSON, "json", false, "print as JSON")
	flags.StringVar(&slopes, "slopes", "", "file for the figures that `switchferry capacity` fits")
	return cmd
}

func appendScaleStep(writer table.Writer, s *experiment.ScaleStep) {
	urgent := s.Waits["high"]
	writer.AppendRow(table.Row{s.Workers, s.Name, s.Tasks, fmt.Sprintf("%.0f", s.Starts), fmt.Sprintf("%.3f", s.Leader.CPUMean), fmt.Sprintf("%.2f", s.Leader.CPUP99), fmt.Sprintf("%.0f", s.Leader.MemoryMB), s.Leader.Descriptors,
		fmt.Sprintf("%.3f", s.Follower.CPUMean), fmt.Sprintf("%.0f", s.Follower.MemoryMB), fmt.Sprintf("%.4f", s.Agents.CPUMean), fmt.Sprintf("%.0f", s.Agents.MemoryMB), urgent.P99, urgent.Unstarted, s.Submissions.P99})
}

// writeMeasurements writes what `switchferry capacity` fits; without a file it does nothing.
func writeMeasurements(file string, res *experiment.ScaleResult) error {
	if file == "" {
		return nil
	}
	raw, err := json.MarshalIndent(res.Record("switchferry experiment scale --slopes "+file), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(raw, '\n'), 0o644)
}

// capacityReport is what the capacity command prints as JSON.
type capacityReport struct {
	Measured string             `json:"measured"`
	Size     capacity.Size      `json:"size"`
	Rows     []capacity.Row     `json:"rows"`
	Jobs     []capacity.JobCost `json:"jobs"`
	// Limits are those of the settings file, the one that is met first coming first; none without a file.
	Limits []capacity.Limit `json:"limits,omitempty"`
}

func capacityCommand() *cobra.Command {
	size := capacity.Planned()
	var asJSON bool
	var config, measured string
	cmd := &cobra.Command{Use: "capacity", Short: "Tell what a deployment of some size needs, and which limit of a settings file it meets first", Args: cobra.NoArgs,
		Long: "Works offline, from slopes measured by `switchferry experiment scale` (docs/CAPACITY.md says where and how well they fit). Figures beyond\n" +
			"the sizes that were measured are marked.",
		Example: "  switchferry capacity\n  switchferry capacity --workers 600 --tasks 9000 --starts 20 --config node.toml\n  switchferry capacity --json | jq '.rows[] | select(.role == \"leader\")'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			answer, err := newCapacityReport(size, config, measured)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(answer)
			}
			return answer.print(cmd)
		}}
	flags := cmd.Flags()
	flags.Float64Var(&size.Workers, "workers", size.Workers, "workers")
	flags.Float64Var(&size.Tasks, "tasks", size.Tasks, "tasks that run at once")
	flags.Float64Var(&size.JobsPerDay, "jobs-per-day", size.JobsPerDay, "jobs a day")
	flags.Float64Var(&size.Starts, "starts", size.Starts, "starts a second at the peak")
	flags.Float64Var(&size.Teams, "teams", size.Teams, "teams")
	flags.Float64Var(&size.ChangesPerDay, "configuration-changes", size.ChangesPerDay, "changes of configuration a day")
	flags.StringVar(&config, "config", "", "a settings file, whose limits are compared")
	flags.StringVar(&measured, "measured", "", "figures of another scale run, as its --slopes wrote them; none: those of this program")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// newCapacityReport is the answer for a size.
func newCapacityReport(size capacity.Size, config, measured string) (*capacityReport, error) {
	for flag, v := range map[string]float64{"workers": size.Workers, "tasks": size.Tasks, "starts": size.Starts, "teams": size.Teams, "jobs-per-day": size.JobsPerDay, "configuration-changes": size.ChangesPerDay} {
		if !(v >= 0) {
			return nil, withExitCode(ExitUsage, fmt.Errorf("--%s: must be a number of 0 or more, not %g", flag, v))
		}
	}
	record, err := capacity.Embedded()
	if measured != "" {
		record, err = capacity.Read(measured)
	}
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	model, err := capacity.Fit(record.Measurements)
	if err != nil {
		return nil, withExitCode(ExitFailed, err)
	}
	answer := &capacityReport{Measured: record.Measured, Size: size, Rows: model.Table(size), Jobs: record.Jobs}
	if config != "" {
		platform, err := settings.Load(config)
		if err != nil {
			return nil, withExitCode(ExitUsage, err)
		}
		answer.Limits = model.Limits(size, platform)
	}
	return answer, nil
}

func (report *capacityReport) print(cmd *cobra.Command) error {
	out := cmd.OutOrStdout()
	writer := newTable(out)
	writer.SetTitle("%g workers, %g tasks, %g starts/s; %s", report.Size.Workers, report.Size.Tasks, report.Size.Starts, report.Measured)
	writer.AppendHeader(table.Row{"role", "figure", "unit", "value", "at 1.5 times", "fit off by at most"})
	for _, r := range report.Rows {
		writer.AppendRow(table.Row{r.Role, r.Figure, r.Unit, formatValue(r.Value, r.Beyond), formatValue(r.Larger, r.LargerBeyond), fmt.Sprintf("%.0f%%", 100*r.Residual)})
	}
	writer.Render()
	fmt.Fprintln(out, "* beyond what was measured")
	if len(report.Jobs) > 0 {
		writer := newTable(out)
		writer.AppendHeader(table.Row{"job", "tasks", "changes in the state service"})
		for _, j := range report.Jobs {
			writer.AppendRow(table.Row{j.Shape, j.Tasks, j.Changes})
		}
		writer.Render()
	}
	if len(report.Limits) == 0 {
		return nil
	}
	writer = newTable(out)
	writer.AppendHeader(table.Row{"limit", "bound", "needed", "holds up to, times this size"})
	for _, l := range report.Limits {
		writer.AppendRow(table.Row{l.Name, fmt.Sprintf("%.4g", l.Bound), fmt.Sprintf("%.4g", l.Needed), formatValue(l.Factor, l.Beyond)})
	}
	writer.Render()
	first := report.Limits[0]
	_, err := fmt.Fprintf(out, "met first: %s, at %.2f times this size\n", first.Name, first.Factor)
	return err
}

// formatValue is a value, with a star if it lies beyond what was measured.
func formatValue(v float64, beyond bool) string {
	if beyond {
		return fmt.Sprintf("%.4g *", v)
	}
	return fmt.Sprintf("%.4g", v)
}
