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

// What the help of the experiments says of --json.
const (
	jsonUsage   = "print JSON"
	jsonUsageAs = "print as JSON"
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

// experimentSpec is what the commands of experiments differ in beside their texts and flags.
type experimentSpec[R any] struct {
	// jsonUsage is the help of --json.
	jsonUsage string
	// progress is where the experiment takes the function that it reports its progress with.
	progress *func(format string, args ...any)
	// prepare checks and completes the options before the run; it may be nil.
	prepare func() error
	// run runs the experiment until it is over or ctx ends.
	run func(ctx context.Context) (R, error)
	// draw fills a table with the result.
	draw func(result R, writer table.Writer)
	// failure returns why the command fails in spite of a result, which is printed before; it may be nil.
	failure func(result R) error
}

// newExperiment makes a command run an experiment and print its result as a table or as JSON.
func newExperiment[R any](cmd *cobra.Command, spec experimentSpec[R]) *cobra.Command {
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

// runAndPrint runs the experiment until it is over or interrupted, and prints the result.
func (spec *experimentSpec[R]) runAndPrint(cmd *cobra.Command, asJSON bool) error {
	if err := setErrorLog(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	*spec.progress = func(format string, args ...any) { note(cmd, format, args...) }
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
		spec.draw(result, writer)
		writer.Render()
	}
	if spec.failure != nil {
		return withExitCode(ExitFailed, spec.failure(result))
	}
	return nil
}

// setErrorLog makes the process log errors only, unless LOG_LEVEL asks for more.
func setErrorLog() error {
	level := slog.LevelError
	if os.Getenv("LOG_LEVEL") != "" {
		var err error
		if level, err = logLevel(); err != nil {
			return err
		}
	}
	setLog(level)
	return nil
}

// findProgram sets a path to that of this program.
func findProgram(path *string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	*path = program
	return nil
}
