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

// dataCommand returns the command that shows datasets, with subcommands that create manifests and register and remove
// datasets.
func dataCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "data", Short: "Show datasets, who holds them, and copies under way", Args: cobra.NoArgs,
		Example: "  switchferry data --node 10.0.0.1:8080\n  switchferry data --json | jq .copies",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var view scheduler.DataView
			if printed, err := client.requestAndDecode(cmd, http.MethodGet, "/datasets", nil, &view, errDatasetsOff); err != nil || printed {
				return err
			}
			return printData(cmd.OutOrStdout(), &view)
		}}
	client.addFlags(cmd)
	cmd.AddCommand(dataManifestCommand(), dataAddCommand(), dataRemoveCommand())
	return cmd
}

// errDatasetsOff returns the error for a path that does not exist because the dataset feature is off. The text of the
// response is ignored.
func errDatasetsOff(string) error {
	return withExitCode(ExitRefused, errors.New("datasets are off: start the controllers with --features"))
}

// formatBytes formats a size in bytes with a decimal unit.
func formatBytes(size int64) string { return humanize.Bytes(uint64(size)) }

// printData prints the datasets, the copies in progress, and the jobs that wait for their input data.
func printData(out io.Writer, view *scheduler.DataView) error {
	printer := linePrinter{out: out}
	if len(view.Datasets) == 0 {
		printer.printf("no datasets are registered; `switchferry data add` registers one\n")
	}
	var datasets, copies, waiting []table.Row
	for _, dataset := range view.Datasets {
		datasets = append(datasets, table.Row{dataset.Name, formatBytes(dataset.Bytes), dataset.Parts, dataset.CompleteHolders, dataset.AnyHolders, dataset.PartsWithoutHolder, dataset.Jobs, dataset.State})
	}
	printTable(out, table.Row{"dataset", "size", "parts", "machines with all", "with some", "parts nowhere", "jobs", "state"}, datasets)
	for _, progress := range view.Copies {
		problems := ""
		if progress.CacheFull {
			problems = "cache full "
		}
		for from, reason := range progress.FailedSources {
			problems += from + ": " + reason + " "
		}
		copied := fmt.Sprintf("%3.0f%% of %s", 100*float64(progress.CopiedBytes)/float64(max(1, progress.TotalBytes)), formatBytes(progress.TotalBytes))
		copies = append(copies, table.Row{progress.Machine, progress.Dataset, progress.Part, copied, progress.Source, problems})
	}
	printTable(out, table.Row{"machine", "dataset", "part", "copied", "from", "trouble"}, copies)
	for _, job := range view.Waiting {
		waiting = append(waiting, table.Row{job.Job, job.Tasks, job.Reason})
	}
	printTable(out, table.Row{"job", "tasks that wait", "why"}, waiting)
	return printer.err
}
