package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/dustin/go-humanize"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/scheduler"
)

// dataCommand returns the command that shows datasets, with the subcommands that change them.
func dataCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "data", Short: "Show datasets, who holds them, and copies under way", Args: cobra.NoArgs,
		Example: "  switchferry data --node 10.0.0.1:8080\n  switchferry data --json | jq .copies",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var view scheduler.DataView
			if printed, err := client.requestInto(cmd, http.MethodGet, "/datasets", nil, &view, errDataOff); err != nil || printed {
				return err
			}
			return printData(cmd.OutOrStdout(), &view)
		}}
	client.addFlags(cmd)
	cmd.AddCommand(dataManifestCommand(), dataAddCommand(), dataRemoveCommand())
	return cmd
}

// errDataOff returns the error for paths that exist only if the dataset feature is on.
func errDataOff(string) error {
	return withExitCode(ExitRefused, errors.New("datasets are off: start the controllers with --features"))
}

// formatBytes formats a size.
func formatBytes(size int64) string { return humanize.Bytes(uint64(size)) }

// printData prints datasets, copies under way, and jobs that wait for them.
func printData(out io.Writer, view *scheduler.DataView) error {
	printer := linePrinter{out: out}
	if len(view.Datasets) == 0 {
		printer.printf("no datasets are registered; `switchferry data add` registers one\n")
	}
	var datasets, copies, waiting []table.Row
	for _, set := range view.Datasets {
		datasets = append(datasets, table.Row{set.Name, formatBytes(set.Bytes), set.Parts, set.Whole, set.Some, set.Nowhere, set.Jobs, set.State})
	}
	printTable(out, table.Row{"dataset", "size", "parts", "machines with all", "with some", "parts nowhere", "jobs", "state"}, datasets)
	for _, progress := range view.Copies {
		trouble := ""
		if progress.Full {
			trouble = "cache full "
		}
		for from, why := range progress.Failed {
			trouble += from + ": " + why + " "
		}
		copied := fmt.Sprintf("%3.0f%% of %s", 100*float64(progress.Got)/float64(max(1, progress.Of)), formatBytes(progress.Of))
		copies = append(copies, table.Row{progress.Machine, progress.Dataset, progress.Part, copied, progress.From, trouble})
	}
	printTable(out, table.Row{"machine", "dataset", "part", "copied", "from", "trouble"}, copies)
	for _, job := range view.Waiting {
		waiting = append(waiting, table.Row{job.Job, job.Tasks, job.Why})
	}
	printTable(out, table.Row{"job", "tasks that wait", "why"}, waiting)
	return printer.err
}
