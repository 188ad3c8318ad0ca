package cli

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/capacity"
	"switchferry/settings"
)

// capacityReport is the JSON output of the capacity command.
type capacityReport struct {
	// Measured says how and where the figures were measured.
	Measured string             `json:"measured"`
	Size     capacity.Size      `json:"size"`
	Rows     []capacity.Row     `json:"rows"`
	Jobs     []capacity.JobCost `json:"jobs"`
	// Limits are the limits in the settings file, in the order in which a growing deployment reaches them; empty without
	// a settings file.
	Limits []capacity.Limit `json:"limits,omitempty"`
}

// capacityCommand returns the command that estimates what a deployment of a given size needs.
func capacityCommand() *cobra.Command {
	size := capacity.Planned()
	var asJSON bool
	var settingsFile, measurementsFile string
	cmd := &cobra.Command{Use: "capacity", Short: "Tell what a deployment of some size needs, and which limit of a settings file it meets first", Args: cobra.NoArgs,
		Long: "Works offline, from slopes measured by `switchferry experiment scale` (docs/CAPACITY.md says where and how well they fit). Figures beyond\n" +
			"the sizes that were measured are marked.",
		Example: "  switchferry capacity\n  switchferry capacity --workers 600 --tasks 9000 --starts 20 --config node.toml\n  switchferry capacity --json | jq '.rows[] | select(.role == \"leader\")'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := newCapacityReport(size, settingsFile, measurementsFile)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd, report)
			}
			return report.print(cmd.OutOrStdout())
		}}
	flags := cmd.Flags()
	flags.Float64Var(&size.Workers, "workers", size.Workers, "workers")
	flags.Float64Var(&size.Tasks, "tasks", size.Tasks, "tasks that run at once")
	flags.Float64Var(&size.JobsPerDay, "jobs-per-day", size.JobsPerDay, "jobs a day")
	flags.Float64Var(&size.Starts, "starts", size.Starts, "starts a second at the peak")
	flags.Float64Var(&size.Teams, "teams", size.Teams, "teams")
	flags.Float64Var(&size.ChangesPerDay, "configuration-changes", size.ChangesPerDay, "changes of configuration a day")
	flags.StringVar(&settingsFile, "config", "", "a settings file, whose limits are compared")
	flags.StringVar(&measurementsFile, "measured", "", "figures of another scale run, as its --slopes wrote them; none: those of this program")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// checkSize returns an error if a value of a deployment size is negative or not a number.
func checkSize(size capacity.Size) error {
	for flag, value := range map[string]float64{
		"workers": size.Workers, "tasks": size.Tasks, "starts": size.Starts, "teams": size.Teams,
		"jobs-per-day": size.JobsPerDay, "configuration-changes": size.ChangesPerDay,
	} {
		if !(value >= 0) {
			return fmt.Errorf("--%s: must be a number of 0 or more, not %g", flag, value)
		}
	}
	return nil
}

// newCapacityReport estimates what a deployment of the given size needs. The estimate is fitted to the measurements in
// measurementsFile, or to those embedded in the program if the name is empty. With a settings file, the report includes
// the limits in that file.
func newCapacityReport(size capacity.Size, settingsFile, measurementsFile string) (*capacityReport, error) {
	if err := checkSize(size); err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	record, err := capacity.Embedded()
	if measurementsFile != "" {
		record, err = capacity.Read(measurementsFile)
	}
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	model, err := capacity.Fit(record.Measurements)
	if err != nil {
		return nil, withExitCode(ExitFailed, err)
	}
	report := &capacityReport{Measured: record.Measured, Size: size, Rows: model.Table(size), Jobs: record.Jobs}
	if settingsFile != "" {
		platform, err := settings.Load(settingsFile)
		if err != nil {
			return nil, withExitCode(ExitUsage, err)
		}
		report.Limits = model.Limits(size, platform)
	}
	return report, nil
}

// print prints the report as tables.
func (report *capacityReport) print(out io.Writer) error {
	writer := newTable(out)
	writer.SetTitle("%g workers, %g tasks, %g starts/s; %s", report.Size.Workers, report.Size.Tasks, report.Size.Starts, report.Measured)
	writer.AppendHeader(table.Row{"role", "figure", "unit", "value", "at 1.5 times", "fit off by at most"})
	for _, row := range report.Rows {
		writer.AppendRow(table.Row{
			row.Role, row.Figure, row.Unit, formatValue(row.Value, row.Extrapolated), formatValue(row.Larger, row.LargerExtrapolated),
			fmt.Sprintf("%.0f%%", 100*row.Residual),
		})
	}
	writer.Render()
	printer := linePrinter{out: out}
	printer.printf("* beyond what was measured\n")
	var jobs, limits []table.Row
	for _, job := range report.Jobs {
		jobs = append(jobs, table.Row{job.Shape, job.Tasks, job.Changes})
	}
	printTable(out, table.Row{"job", "tasks", "changes in the state service"}, jobs)
	for _, limit := range report.Limits {
		limits = append(limits, table.Row{
			limit.Name, fmt.Sprintf("%.4g", limit.Bound), fmt.Sprintf("%.4g", limit.Needed), formatValue(limit.Factor, limit.Extrapolated),
		})
	}
	printTable(out, table.Row{"limit", "bound", "needed", "holds up to, times this size"}, limits)
	if len(report.Limits) > 0 {
		first := report.Limits[0]
		printer.printf("met first: %s, at %.2f times this size\n", first.Name, first.Factor)
	}
	return printer.err
}

// formatValue formats a value, with an asterisk if it was extrapolated beyond the measured sizes.
func formatValue(value float64, extrapolated bool) string {
	if extrapolated {
		return fmt.Sprintf("%.4g *", value)
	}
	return fmt.Sprintf("%.4g", value)
}
