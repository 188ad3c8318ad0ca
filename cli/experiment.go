package cli

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"
)

// Help texts of the --json flag.
const (
	// printJSONUsage is the help text of --json in some experiments.
	printJSONUsage = "print JSON"
	// printAsJSONUsage is the help text of --json in the other experiments.
	printAsJSONUsage = "print as JSON"
)

// experimentCommand returns the command whose subcommands measure the service under workloads and faults.
func experimentCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "experiment", Short: "Play workloads on this machine and measure them"}
	cmd.AddCommand(
		localityExperiment(), recoveryExperiment(), orderExperiment(), topologyExperiment(), upgradeExperiment(),
		handoverExperiment(), gapsExperiment(), dayEndExperiment(), scaleExperiment(), soakExperiment(),
	)
	return cmd
}

// experimentSpec describes how the command of an experiment runs it and prints its result of type R.
type experimentSpec[R any] struct {
	// jsonUsage is the help text of --json.
	jsonUsage string
	// progress points to the option that holds the experiment's progress function. The command sets it before the run.
	progress *func(format string, args ...any)
	// prepare validates and completes the options before the run; it may be nil.
	prepare func() error
	// run runs the experiment until it finishes or ctx ends.
	run func(ctx context.Context) (R, error)
	// fillTable fills a table with the result.
	fillTable func(result R, writer table.Writer)
	// failure returns the error for a result with which the command fails after printing it, or nil. The function itself
	// may be nil.
	failure func(result R) error
}

// newExperimentCommand completes cmd so that it runs an experiment and prints the result as a table or as JSON, and
// returns cmd.
func newExperimentCommand[R any](cmd *cobra.Command, spec experimentSpec[R]) *cobra.Command {
	var asJSON bool
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if spec.prepare != nil {
			if err := spec.prepare(); err != nil {
				return err
			}
		}
		return spec.runAndPrint(cmd, asJSON)
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, spec.jsonUsage)
	return cmd
}

// runAndPrint runs the experiment until it finishes or is interrupted, and prints the result.
func (spec *experimentSpec[R]) runAndPrint(cmd *cobra.Command, asJSON bool) error {
	if err := setExperimentLogger(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	*spec.progress = func(format string, args ...any) { printNote(cmd, format, args...) }
	result, err := spec.run(ctx)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	if asJSON {
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return err
		}
	} else {
		writer := newTable(cmd.OutOrStdout())
		spec.fillTable(result, writer)
		writer.Render()
	}
	if spec.failure != nil {
		return withExitCode(ExitFailed, spec.failure(result))
	}
	return nil
}

// setExperimentLogger makes the process log errors only, unless LOG_LEVEL sets another level.
func setExperimentLogger() error {
	level := slog.LevelError
	if os.Getenv("LOG_LEVEL") != "" {
		var err error
		if level, err = logLevel(); err != nil {
			return err
		}
	}
	setDefaultLogger(level)
	return nil
}

// setExecutablePath sets *path to the path of the running executable.
func setExecutablePath(path *string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	*path = program
	return nil
}
