package cli

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/api"
)

// watchPollInterval is the interval at which config watch polls the current revision.
const watchPollInterval = time.Second

// configShowCommand returns the command that prints a revision: its document to standard output, and its description to
// standard error.
func configShowCommand() *cobra.Command {
	var client controllerClient
	var revision uint64
	cmd := &cobra.Command{Use: "show", Short: "Show the present revision, or another one", Args: cobra.NoArgs,
		Example: "  switchferry config show > teams.toml\n  switchferry config show --revision 40 --json | jq -r .why",
		RunE: func(cmd *cobra.Command, _ []string) error {
			view, printed, err := client.requestRevision(cmd, revision)
			if err != nil || printed {
				return err
			}
			printNote(cmd, "%s", describeRevision(&view, revision > 0))
			_, err = fmt.Fprint(cmd.OutOrStdout(), view.Document)
			return err
		}}
	client.addFlags(cmd)
	cmd.Flags().Uint64Var(&revision, "revision", 0, "a revision on record; 0: the present one")
	return cmd
}

// describeRevision returns the description of a revision without its document. If byNumber is set, the revision was
// requested by its number, and the description omits whether it is in force.
func describeRevision(view *api.ConfigurationView, byNumber bool) string {
	lines := []string{"no revision: files and settings count"}
	if view.Revision > 0 {
		lines[0] = fmt.Sprintf("revision %d, by %s at %s: %s", view.Revision, view.Operator, formatTime(view.AppliedAtMS), view.Reason)
	}
	switch {
	case byNumber:
	case view.NotAppliedReason != "":
		lines = append(lines, fmt.Sprintf("revision %d is on record and not taken: %s; apply a document to go on from here", view.Newest, view.NotAppliedReason))
	case !view.FromLeader:
		lines = append(lines, "nobody leads: this is what the records say")
	case view.InForce:
		lines = append(lines, "in force")
	default:
		lines = append(lines, "stored, waits for "+strings.Join(view.WaitsFor, ", "))
	}
	return strings.Join(lines, "\n")
}

// formatTime formats a Unix time in milliseconds as RFC 3339, in the local time zone.
func formatTime(milliseconds int64) string {
	return time.UnixMilli(milliseconds).Format(time.RFC3339)
}

// configHistoryCommand returns the command that lists the most recent revisions.
func configHistoryCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "history", Short: "List the last revisions", Args: cobra.NoArgs,
		Example: "  switchferry config history --json | jq '.[] | select(.by == \"ops\") | .revision'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var history []api.ConfigurationView
			printed, err := client.requestAndDecode(cmd, http.MethodGet, "/configuration/history", nil, &history, errConfigurationOff)
			if err != nil || printed {
				return err
			}
			writer := newTable(cmd.OutOrStdout())
			writer.AppendHeader(table.Row{"revision", "by", "at", "why"})
			for _, view := range history {
				writer.AppendRow(table.Row{view.Revision, view.Operator, formatTime(view.AppliedAtMS), view.Reason})
			}
			writer.Render()
			return nil
		}}
	client.addFlags(cmd)
	return cmd
}

// configWatchCommand returns the command that prints the current revision whenever it or its state changes.
func configWatchCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "watch", Short: "Tell of each revision as it comes into force, until interrupted", Args: cobra.NoArgs,
		Example: "  switchferry config watch --node 10.0.0.1:8080 --node 10.0.0.2:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			last := ""
			for {
				description, err := client.printRevisionChange(cmd, last)
				if err != nil {
					return err
				}
				last = description
				select {
				case <-cmd.Context().Done():
					return nil
				case <-time.After(watchPollInterval):
				}
			}
		}}
	client.addFlags(cmd)
	return cmd
}

// printRevisionChange requests the current revision, prints it if its description differs from
// lastDescription, and returns the description.
func (client *controllerClient) printRevisionChange(cmd *cobra.Command, lastDescription string) (string, error) {
	status, raw, err := client.request(cmd.Context(), http.MethodGet, configurationPath, nil)
	if err != nil {
		return "", err
	}
	if status == http.StatusNotFound {
		return "", errConfigurationOff("")
	}
	var view api.ConfigurationView
	if err := decodeAnswer(raw, &view); err != nil {
		return "", err
	}
	description := describeRevision(&view, false)
	switch {
	case description == lastDescription:
		return lastDescription, nil
	case client.asJSON:
		return description, printLine(cmd, string(raw))
	}
	return description, printLine(cmd, description)
}
