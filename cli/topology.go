package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/api"
)

// topologyCommand returns the command that shows the topology as the leader sees it.
func topologyCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "topology", Short: "Show domains, their free room, which are silent, and jobs that wait for a place", Args: cobra.NoArgs,
		Example: "  switchferry topology --node 10.0.0.1:8080\n  switchferry topology --json | jq '.domains[] | select(.silent)'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var view api.TopologyView
			if printed, err := client.requestAndDecode(cmd, http.MethodGet, "/topology", nil, &view, errTopologyOff); err != nil || printed {
				return err
			}
			return printTopology(cmd.OutOrStdout(), &view)
		}}
	client.addFlags(cmd)
	return cmd
}

// errTopologyOff returns the error for a path that does not exist because no topology is declared. The text of the
// response is ignored.
func errTopologyOff(string) error {
	return withExitCode(ExitRefused, errors.New("no topology is declared: name its file under [topology] in the features file, and start the controllers with --features"))
}

// printTopology prints the domains as a tree, the domains that are reserved for a job, and the jobs that wait.
func printTopology(out io.Writer, view *api.TopologyView) error {
	writer := newTable(out)
	writer.AppendHeader(table.Row{"domain", "level", "machines", "that get work", "free CPUs", "cards", "memory GB", ""})
	children := map[string][]api.DomainView{}
	for _, domain := range view.Domains {
		children[domain.Parent] = append(children[domain.Parent], domain)
	}
	appendDomains(writer, children, "", 0)
	writer.Render()
	printer := linePrinter{out: out}
	printer.printf("version %d; %d machines in no domain, %d in two\n", view.Version, view.Unlisted, view.Ambiguous)
	for _, reserved := range view.Reserved {
		printer.printf("%s is kept for %s, for about %.0f s\n", reserved.Domain, reserved.Job, reserved.EndsInS)
	}
	for _, waiting := range view.Waiting {
		printer.printf("%s: %d tasks wait: %s\n", waiting.Job, waiting.Tasks, waiting.Reason)
	}
	return printer.err
}

// appendDomains appends a row for each domain directly inside parent and, recursively, for the domains inside it. Names
// are indented by depth.
func appendDomains(writer table.Writer, children map[string][]api.DomainView, parent string, depth int) {
	for _, domain := range children[parent] {
		note := ""
		if domain.Unavailable {
			note = "silent"
		}
		writer.AppendRow(table.Row{
			strings.Repeat("  ", depth) + domain.Name, domain.Level, domain.Machines, domain.Usable,
			domain.FreeCPUs, domain.FreeCards, fmt.Sprintf("%.1f", domain.FreeMemoryGB), note,
		})
		appendDomains(writer, children, domain.Name, depth+1)
	}
}

// explainCommand returns the command that shows where the tasks of a job are placed and why others wait.
func explainCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "explain JOB", Short: "Tell where a job's tasks stand, and why others wait", Args: cobra.ExactArgs(1),
		Example: "  switchferry explain run-000412 --node 10.0.0.1:8080\n  switchferry explain run-000412 --json | jq -r '.why[]'",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkID(args[0]); err != nil {
				return err
			}
			var explanation api.Explanation
			printed, err := client.requestAndDecode(cmd, http.MethodGet, "/submissions/"+args[0]+"/explanation", nil, &explanation, errNotFound)
			if err != nil || printed {
				return err
			}
			return printExplanation(cmd.OutOrStdout(), &explanation)
		}}
	client.addFlags(cmd)
	return cmd
}

// printExplanation prints where the tasks of a job are placed and why others wait.
func printExplanation(out io.Writer, explanation *api.Explanation) error {
	printer := linePrinter{out: out}
	if explanation.Tasks == 0 {
		printer.printf("%s %s\n", explanation.Job, explanation.State)
		return printer.err
	}
	printer.printf("%s %s: %d tasks, %d done, %d wait\n", explanation.Job, explanation.State, explanation.Tasks, explanation.Done, explanation.Waiting)
	for _, location := range explanation.Locations {
		unconfirmed := ""
		if location.Unconfirmed > 0 {
			unconfirmed = fmt.Sprintf(", %d of them on silent machines", location.Unconfirmed)
		}
		printer.printf("  %d in %s %s%s\n", location.Tasks, location.Level, location.Domain, unconfirmed)
	}
	for _, reason := range explanation.Reasons {
		printer.printf("  waits: %s\n", reason)
	}
	return printer.err
}
