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

func topologyCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "topology", Short: "Show domains, their free room, which are silent, and jobs that wait for a place", Args: cobra.NoArgs,
		Example: "  switchferry topology --node 10.0.0.1:8080\n  switchferry topology --json | jq '.domains[] | select(.silent)'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var view api.TopologyView
			if printed, err := client.requestInto(cmd, http.MethodGet, "/topology", nil, &view, errTopologyOff); err != nil || printed {
				return err
			}
			printTopology(cmd.OutOrStdout(), &view)
			return nil
		}}
	client.addFlags(cmd)
	return cmd
}

// errTopologyOff is the error of a path that exists only with a topology.
func errTopologyOff(string) error {
	return withExitCode(ExitRefused, errors.New("no topology is declared: name its file under [topology] in the features file, and start the controllers with --features"))
}

func printTopology(out io.Writer, view *api.TopologyView) {
	writer := newTable(out)
	writer.AppendHeader(table.Row{"domain", "level", "machines", "that get work", "free CPUs", "cards", "memory GB", ""})
	inner := map[string][]api.DomainView{}
	for _, d := range view.Domains {
		inner[d.In] = append(inner[d.In], d)
	}
	var add func(in string, deep int)
	add = func(in string, deep int) {
		for _, d := range inner[in] {
			note := ""
			if d.Silent {
				note = "silent"
			}
			writer.AppendRow(table.Row{strings.Repeat("  ", deep) + d.Name, d.Level, d.Machines, d.Usable, d.CPUs, d.Cards, fmt.Sprintf("%.1f", d.MemoryGB), note})
			add(d.Name, deep+1)
		}
	}
	add("", 0)
	writer.Render()
	fmt.Fprintf(out, "version %d; %d machines in no domain, %d in two\n", view.Version, view.Unlisted, view.Ambiguous)
	for _, x := range view.Reserved {
		fmt.Fprintf(out, "%s is kept for %s, for about %.0f s\n", x.Domain, x.Job, x.InS)
	}
	for _, x := range view.Waiting {
		fmt.Fprintf(out, "%s: %d tasks wait: %s\n", x.Job, x.Tasks, x.Why)
	}
}

func explainCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "explain JOB", Short: "Tell where a job's tasks stand, and why others wait", Args: cobra.ExactArgs(1),
		Example: "  switchferry explain run-000412 --node 10.0.0.1:8080\n  switchferry explain run-000412 --json | jq -r '.why[]'",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkID(args[0]); err != nil {
				return err
			}
			var explanation api.Explanation
			printed, err := client.requestInto(cmd, http.MethodGet, "/submissions/"+args[0]+"/explanation", nil, &explanation, func(why string) error { return withExitCode(ExitNotFound, errors.New(why)) })
			if err != nil || printed {
				return err
			}
			printExplanation(cmd.OutOrStdout(), &explanation)
			return nil
		}}
	client.addFlags(cmd)
	return cmd
}

func printExplanation(out io.Writer, explanation *api.Explanation) {
	if explanation.Tasks == 0 {
		fmt.Fprintf(out, "%s %s\n", explanation.Job, explanation.State)
		return
	}
	fmt.Fprintf(out, "%s %s: %d tasks, %d done, %d wait\n", explanation.Job, explanation.State, explanation.Tasks, explanation.Done, explanation.Waiting)
	for _, s := range explanation.Locations {
		unsure := ""
		if s.Unconfirmed > 0 {
			unsure = fmt.Sprintf(", %d of them on silent machines", s.Unconfirmed)
		}
		fmt.Fprintf(out, "  %d in %s %s%s\n", s.Tasks, s.Level, s.Domain, unsure)
	}
	for _, why := range explanation.Why {
		fmt.Fprintf(out, "  waits: %s\n", why)
	}
}
