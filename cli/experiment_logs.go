package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/experiment"
)

// openFiles opens files and returns a reader of their concatenated content. The caller calls closeFiles to close them.
func openFiles(names []string) (reader io.Reader, closeFiles func(), err error) {
	var readers []io.Reader
	var files []*os.File
	closeFiles = func() {
		for _, file := range files {
			_ = file.Close() // The file was only read, so an error of Close has no effect.
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			closeFiles()
			return nil, nil, withExitCode(ExitUsage, err)
		}
		files, readers = append(files, file), append(readers, file)
	}
	return io.MultiReader(readers...), closeFiles, nil
}

// gapsExperiment returns the command that reads controllers' logs and measures how long dependent jobs take to start
// after the jobs that they wait for are done.
func gapsExperiment() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: "gaps LOG...", Short: "How long jobs that await others take to start once these are done", Args: cobra.MinimumNArgs(1),
		Long: "Reads the controllers' logs of a day (LOG_LEVEL=debug): from the report of the last end to the record of the last awaited job, from\n" +
			"there to the first start given, and to the first task that runs, its image fetched.",
		Example: "  switchferry experiment gaps ferryhost-*.log\n  switchferry experiment gaps --json night.log | jq '.[] | select(.part == \"records\")'",
		RunE: func(cmd *cobra.Command, args []string) error {
			logs, closeLogs, err := openFiles(args)
			if err != nil {
				return err
			}
			defer closeLogs()
			gaps, err := experiment.Gaps(logs)
			if err != nil {
				return withExitCode(ExitFailed, err)
			}
			if asJSON {
				return printJSON(cmd, gaps)
			}
			writer := newTable(cmd.OutOrStdout())
			writer.AppendHeader(table.Row{"part", "jobs", "p50 ms", "p90 ms", "p99 ms", "longest ms"})
			for _, gap := range gaps {
				writer.AppendRow(table.Row{gap.Part, gap.Jobs, gap.P50, gap.P90, gap.P99, gap.Max})
			}
			writer.Render()
			return nil
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, printJSONUsage)
	return cmd
}

// orderExperiment returns the command that reads controllers' logs and compares the number of jobs that finished in
// time with an upper bound for any scheduling order.
func orderExperiment() *cobra.Command {
	options := experiment.OrderDefaults()
	var asJSON bool
	cmd := &cobra.Command{Use: "order --class CLASS [--within SECONDS] LOG...", Short: "How many jobs were in time on a day, and how many could have been at most", Args: cobra.MinimumNArgs(1),
		Long: "Reads the controllers' logs of a day (LOG_LEVEL=debug) and sets a bound that holds for any order: a relaxation in which a task may\n" +
			"run anywhere and nothing is fetched, given what other classes of the same or a higher rank took. Works offline.",
		Example: "  switchferry experiment order --class photo-recognize --within 100 ferryhost-*.log\n  switchferry experiment order --class inventory-reconcile --times 1.75 --json night.log",
		RunE: func(cmd *cobra.Command, args []string) error {
			if options.Class == "" {
				return withExitCode(ExitUsage, errors.New("--class is missing"))
			}
			if options.WithinS < 0 || options.DeadlineFactor <= 0 || options.SlotS <= 0 || options.Rounds < 1 {
				return withExitCode(ExitUsage, errors.New("--within must not be negative; --times, --slot and --rounds must be above 0"))
			}
			logs, closeLogs, err := openFiles(args)
			if err != nil {
				return err
			}
			defer closeLogs()
			result, err := options.Compare(logs)
			if err != nil {
				return withExitCode(ExitFailed, err)
			}
			if asJSON {
				return printJSON(cmd, result)
			}
			return printOrder(cmd.OutOrStdout(), result)
		}}
	flags := cmd.Flags()
	flags.StringVar(&options.Class, "class", "", "the class of jobs")
	flags.Float64Var(&options.WithinS, "within", 0, "the time that a job may take, seconds; 0: its own deadline")
	flags.Float64Var(&options.DeadlineFactor, "times", options.DeadlineFactor, "by which multiple of its deadline, without --within")
	flags.Float64Var(&options.FromS, "from", 0, "jobs that came from this second of the day on")
	flags.Float64Var(&options.ToS, "to", options.ToS, "jobs that came until this second")
	flags.Float64Var(&options.SlotS, "slot", options.SlotS, "stretches of which capacity is counted, seconds")
	flags.IntVar(&options.Rounds, "rounds", options.Rounds, "rounds of the search; more make the bound tighter")
	flags.BoolVar(&asJSON, "json", false, printJSONUsage)
	return cmd
}

// printOrder prints the number of jobs that finished in time, the upper bound, and the causes of late jobs.
func printOrder(out io.Writer, result *experiment.OrderResult) error {
	jobs := float64(result.Jobs)
	_, err := fmt.Fprintf(out, "%s %s: %d jobs, %d in time (%.3f); %d could not be whatever the order; at most %.1f could be (%.3f)\n"+
		"late: %d have a task that alone ran longer, of %d a task was lost, of %d one was stopped, %d waited\n",
		result.Class, result.Aim, result.Jobs, result.InTime, float64(result.InTime)/jobs, result.ImpossibleAlone, result.UpperBound, result.UpperBound/jobs,
		result.Late.LongTask, result.Late.TaskLost, result.Late.TaskStopped, result.Late.Waited)
	return err
}
