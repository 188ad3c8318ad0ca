// Package cli has the commands of the program: the controller and the data agent themselves, and what users and
// operators ask of controllers. Each command is a function that returns it; main runs Root.
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

// versionReport is the JSON of the version command.
type versionReport struct {
	Version string `json:"version"`
	// Data and Frames are the versions of the records and of the frames between controllers.
	Data   int `json:"data"`
	Frames int `json:"frames"`
}

// versionCommand returns the command that prints the versions.
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

// policyCommand returns the command that prints the built-in policy as a policy file.
func policyCommand() *cobra.Command {
	return &cobra.Command{Use: "policy", Short: "Print the policy settings with their defaults, as a policy file", Args: cobra.NoArgs,
		Example: "  switchferry policy > night.policy",
		RunE: func(cmd *cobra.Command, _ []string) error {
			printer := linePrinter{out: cmd.OutOrStdout()}
			for _, name := range policy.Names() {
				description, fallback, variables := policy.Describe(name)
				if len(variables) > 0 {
					description += "; variables: " + strings.Join(variables, ", ")
				}
				printer.printf("# %s\n%s = %s\n", description, name, fallback)
			}
			return printer.err
		}}
}
