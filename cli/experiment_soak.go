package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/experiment/soak"
)

// soakExperiment returns the command that injects random faults into real controllers and checks the rules of the
// protocol.
func soakExperiment() *cobra.Command {
	options := soak.Defaults()
	kinds := make([]string, 0, len(soak.Kinds()))
	for _, kind := range soak.Kinds() {
		kinds = append(kinds, string(kind))
	}
	cmd := newExperimentCommand(&cobra.Command{
		Use:   "soak",
		Short: "Play random faults against real controllers while users ask, and check the protocol's rules from outside",
		Long: "Three processes of this program serve in each run, with the project's stand-ins of workers, state service and cloud over loopback. Users\n" +
			"submit, ask, repeat and cancel at all controllers all the time. Two or three faults overlap. The rules are checked by what users are answered\n" +
			"and what workers do. A seed draws the whole schedule, but real processes do not repeat exactly: the logs of a run that broke a rule are kept.\n" +
			"A run in which few questions were answered, no leader changed or no start crossed with anything is called vacuous: it shows nothing.\n" +
			"Exit code 1: a rule was broken; 2: an option is wrong. Faults: " + strings.Join(kinds, ", ") + ".",
		Example: "  switchferry experiment soak --seeds 50 --at-once 3\n  switchferry experiment soak --first 7 --seeds 1 --workers 300 --log-level debug --log-dir logs",
	}, experimentSpec[*soak.Result]{
		jsonUsage: printAsJSONUsage,
		progress:  &options.Progress,
		prepare: func() error {
			if options.Program == "" {
				if err := setExecutablePath(&options.Program); err != nil {
					return withExitCode(ExitFailed, err)
				}
			}
			return withExitCode(ExitUsage, options.Check())
		},
		run:       func(ctx context.Context) (*soak.Result, error) { return options.Run(ctx) },
		fillTable: fillSoakTable,
		failure:   soakFailure,
	})
	flags := cmd.Flags()
	flags.Uint64Var(&options.First, "first", options.First, "first seed")
	flags.IntVar(&options.Seeds, "seeds", options.Seeds, "how many seeds, one run each")
	flags.IntVar(&options.Workers, "workers", options.Workers, "workers of a run")
	flags.Float64Var(&options.ForS, "for", options.ForS, "how long faults are played in a run, seconds")
	flags.IntVar(&options.AtOnce, "at-once", options.AtOnce, "runs at the same time")
	flags.StringSliceVar(&options.Kinds, "kinds", nil, "kinds of faults; none: all but held-commands")
	flags.StringVar(&options.Program, "program", "", "program whose serve is run; none: this one")
	flags.StringVar(&options.LogDir, "log-dir", "", "where logs of runs that broke something are kept; none: a new directory")
	flags.StringVar(&options.LogLevel, "log-level", options.LogLevel, "the controllers' level: error, info or debug")
	return cmd
}

// fillSoakTable fills the table with a row for each run.
func fillSoakTable(result *soak.Result, writer table.Writer) {
	writer.SetTitle("%s", result.Measured)
	writer.AppendHeader(table.Row{"seed", "workers", "s", "faults", "questions", "answers", "crossed", "ends told", "starts", "terms", "unfinished", "contradictions", "broken", "note"})
	for _, run := range result.Runs {
		broken := ""
		if len(run.Violations) > 0 {
			broken = fmt.Sprint(run.Violations)
		}
		writer.AppendRow(table.Row{run.Seed, run.Workers, fmt.Sprintf("%.0f", run.Seconds), len(run.Schedule), run.Requests, run.Answers, run.OutOfOrderAnswers, run.TerminalJobs, run.Starts, run.Terms, run.Unfinished, run.InvariantViolations, broken, run.InconclusiveReason + run.Logs})
	}
}

// soakFailure returns an error with the seeds and logs of the runs that broke a rule, or nil if there are none.
func soakFailure(result *soak.Result) error {
	failed := result.Failed()
	if len(failed) == 0 {
		return nil
	}
	seeds := make([]string, len(failed))
	for i, run := range failed {
		seeds[i] = fmt.Sprintf("%d (logs in %s)", run.Seed, run.Logs)
	}
	return fmt.Errorf("rules broken with seed %s", strings.Join(seeds, ", "))
}
