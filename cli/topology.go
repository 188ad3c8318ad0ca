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
	var c client
	cmd := &cobra.Command{Use: "topology", Short: "Show domains, their free room, which are silent, and jobs that wait for a place", Args: cobra.NoArgs,
		Example: "  switchferry topology --node 10.0.0.1:8080\n  switchferry topology --json | jq '.domains[] | select(.silent)'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var v api.TopologyView
			if printed, err := c.answer(cmd, http.MethodGet, "/topology", nil, &v, topologyOff); err != nil || printed {
				return err
			}
			showTopology(cmd.OutOrStdout(), &v)
			return nil
		}}
	c.flags(cmd)
	return cmd
}

// topologyOff is the error of a path that exists only with a topology.
func topologyOff(string) error {
	return coded(ExitRefused, errors.New("no topology is declared: name its file under [topology] in the features file, and start the controllers with --features"))
}

func showTopology(w io.Writer, v *api.TopologyView) {
	t := newTable(w)
	t.AppendHeader(table.Row{"domain", "level", "machines", "that get work", "free CPUs", "cards", "memory GB", ""})
	inner := map[string][]api.DomainView{}
	for _, d := range v.Domains {
		inner[d.In] = append(inner[d.In], d)
	}
	var add func(in string, deep int)
	add = func(in string, deep int) {
		for _, d := range inner[in] {
			note := ""
			if d.Silent {
				note = "silent"
			}
			t.AppendRow(table.Row{strings.Repeat("  ", deep) + d.Name, d.Level, d.Machines, d.Usable, d.CPUs, d.Cards, fmt.Sprintf("%.1f", d.MemoryGB), note})
			add(d.Name, deep+1)
		}
	}
	add("", 0)
	t.Render()
	fmt.Fprintf(w, "version %d; %d machines in no domain, %d in two\n", v.Version, v.Unlisted, v.Ambiguous)
	for _, x := range v.Reserved {
		fmt.Fprintf(w, "%s is kept for %s, for about %.0f s\n", x.Domain, x.Job, x.InS)
	}
	for _, x := range v.Waiting {
		fmt.Fprintf(w, "%s: %d tasks wait: %s\n", x.Job, x.Tasks, x.Why)
	}
}

func explainCommand() *cobra.Command {
	var c client
	cmd := &cobra.Command{Use: "explain JOB", Short: "Tell where a job's tasks stand, and why others wait", Args: cobra.ExactArgs(1),
		Example: "  switchferry explain run-000412 --node 10.0.0.1:8080\n  switchferry explain run-000412 --json | jq -r '.why[]'",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkID(args[0]); err != nil {
				return err
			}
			var x api.Explanation
			printed, err := c.answer(cmd, http.MethodGet, "/submissions/"+args[0]+"/explanation", nil, &x, func(why string) error { return coded(ExitNotFound, errors.New(why)) })
			if err != nil || printed {
				return err
			}
			showExplanation(cmd.OutOrStdout(), &x)
			return nil
		}}
	c.flags(cmd)
	return cmd
}

func showExplanation(w io.Writer, x *api.Explanation) {
	if x.Tasks == 0 {
		fmt.Fprintf(w, "%s %s\n", x.Job, x.State)
		return
	}
	fmt.Fprintf(w, "%s %s: %d tasks, %d done, %d wait\n", x.Job, x.State, x.Tasks, x.Done, x.Waiting)
	for _, s := range x.Locations {
		unsure := ""
		if s.Unconfirmed > 0 {
			unsure = fmt.Sprintf(", %d of them on silent machines", s.Unconfirmed)
		}
		fmt.Fprintf(w, "  %d in %s %s%s\n", s.Tasks, s.Level, s.Domain, unsure)
	}
	for _, why := range x.Why {
		fmt.Fprintf(w, "  waits: %s\n", why)
	}
}
