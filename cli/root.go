// Package cli implements the commands of the program: those that run the controller and the data agent, those with
// which users and operators send requests to controllers, and offline tools and experiments. The main function executes
// the command that Root returns.
package cli

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"switchferry/policy"
	"switchferry/upgrade"
)

// Version is the program's version.
const Version = "0.1.0"

// Root returns the program's command with all its subcommands.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "switchferry",
		Short:         "A cluster scheduler: runs arrays of tasks and services on rented machines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		capacityCommand(), configCommand(), membersCommand(), dataAgentCommand(), dataCommand(), topologyCommand(),
		explainCommand(), experimentCommand(), serveCommand(), checkCommand(), versionCommand(), policyCommand(),
		submitCommand(),
		jobCommand("status", "Show a job's state", http.MethodGet, ""),
		jobCommand("cancel", "Cancel a job", http.MethodPost, "/cancel"),
	)
	return root
}

// versionReport is the JSON output of the version command.
type versionReport struct {
	Version string `json:"version"`
	// Data is the version of the stored records.
	Data int `json:"data"`
	// Frames is the version of the frames between controllers.
	Frames int `json:"frames"`
}

// versionCommand returns the command that prints the versions of the program and its data formats.
func versionCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: "version", Short: "Print the versions of the program, of its records and of what controllers say to each other", Args: cobra.NoArgs,
		Example: "  switchferry version\n  switchferry version --json | jq .data",
		RunE: func(cmd *cobra.Command, _ []string) error {
			report := versionReport{Version, upgrade.DataVersion, upgrade.FrameVersion}
			if asJSON {
				return printJSON(cmd, report)
			}
			return printLine(cmd, fmt.Sprintf("switchferry %s, data %d, frames %d", report.Version, report.Data, report.Frames))
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return cmd
}

// policyCommand returns the command that prints the default policy as a policy file.
func policyCommand() *cobra.Command {
	return &cobra.Command{Use: "policy", Short: "Print the policy settings with their defaults, as a policy file", Args: cobra.NoArgs,
		Example: "  switchferry policy > night.policy",
		RunE: func(cmd *cobra.Command, _ []string) error {
			printer := linePrinter{out: cmd.OutOrStdout()}
			for _, name := range policy.Names() {
				description, defaultValue, variables := policy.Describe(name)
				if len(variables) > 0 {
					description += "; variables: " + strings.Join(variables, ", ")
				}
				printer.printf("# %s\n%s = %s\n", description, name, defaultValue)
			}
			return printer.err
		}}
}
