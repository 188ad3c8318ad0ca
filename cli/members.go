package cli

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/membership"
)

// membersCommand returns the command that shows the state of all members as seen by one controller.
func membersCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "members", Short: "Show how a controller sees the others and itself: alive, slow, suspected of what, failed or left", Args: cobra.NoArgs,
		Long: "Each controller answers for itself, and two may differ: ask each with --node to see which ways are open.\n" +
			"Needs [membership] on in the features file of the controllers.",
		Example: "  switchferry members --node 10.0.0.1:8080\n  switchferry members --json | jq '.[] | select(.level != \"alive\")'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var members []membership.View
			printed, err := client.requestAndDecode(cmd, http.MethodGet, "/members", nil, &members, func(string) error {
				return withExitCode(ExitRefused, errors.New("membership is off: set on = true under [membership] in the features file, and start the controllers with --features"))
			})
			if err != nil || printed {
				return err
			}
			writer := newTable(cmd.OutOrStdout())
			writer.AppendHeader(table.Row{"member", "level", "of what", "for", "quiet", "phi", "hears", "why"})
			for _, member := range members {
				name, silence, phi := member.Member, fmt.Sprintf("%.1f s", member.SilentSeconds), fmt.Sprintf("%.1f", member.Phi)
				if member.Self {
					name, silence, phi = name+" (itself)", "", ""
				}
				writer.AppendRow(table.Row{name, member.Level, strings.Join(member.ImpairedComponents, ", "), fmt.Sprintf("%.1f s", member.LevelSeconds), silence, phi, strings.Join(member.HeardPeers, " "), member.Reason})
			}
			writer.Render()
			return nil
		}}
	client.addFlags(cmd)
	return cmd
}
