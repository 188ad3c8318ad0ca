package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"switchferry/api"
	"switchferry/configuration"
)

// configurationPath is the HTTP path at which the current revision is read and changes are submitted.
const configurationPath = "/configuration"

// revisionPath returns the HTTP path of a revision; 0 stands for the current one.
func revisionPath(revision uint64) string {
	if revision == 0 {
		return configurationPath
	}
	return fmt.Sprintf("%s/%d", configurationPath, revision)
}

// configCommand returns the command whose subcommands show and change the live configuration.
func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Show and change teams, policy, switches and topology while the service runs",
		Long: "The configuration is one TOML document with numbered revisions; sections that it lacks stay as files and settings have them. Needs\n" +
			"[configuration] on in the features file of all controllers. Exit codes: 0 done and in force, 1 no answer, 2 wrong arguments or a\n" +
			"document with mistakes, 3 refused for good, 4 no such revision, 5 somebody else changed it meanwhile, 6 stored and not in force yet."}
	cmd.AddCommand(configCheckCommand(), configDiffCommand(), configApplyCommand(), configShowCommand(), configHistoryCommand(), configRollbackCommand(), configWatchCommand())
	return cmd
}

// errConfigurationOff returns the error for a path that does not exist because live configuration is off. The text of
// the response is ignored.
func errConfigurationOff(string) error {
	return withExitCode(ExitRefused, errors.New("live configuration is off: set on = true under [configuration] in the features file of all controllers, and start them with --features"))
}

// readInput reads a file; the name - stands for standard input.
func readInput(cmd *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(file)
}

// readDocument reads and validates a configuration document; the name - stands for standard input.
func readDocument(cmd *cobra.Command, file string) (*configuration.Document, error) {
	raw, err := readInput(cmd, file)
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	document, err := configuration.Parse(string(raw))
	if err != nil {
		return nil, withExitCode(ExitUsage, fmt.Errorf("%s is not a valid configuration:\n%w", file, err))
	}
	return document, nil
}

// requestRevision requests a revision from a controller; 0 stands for the current one. If the user asked for JSON, it
// prints the response instead and returns printed as true.
func (client *controllerClient) requestRevision(cmd *cobra.Command, revision uint64) (view api.ConfigurationView, printed bool, err error) {
	printed, err = client.requestAndDecode(cmd, http.MethodGet, revisionPath(revision), nil, &view, func(message string) error {
		// With live configuration off, its paths do not exist, and the error text is the same as for any unknown path.
		if revision > 0 && message != http.StatusText(http.StatusNotFound) {
			return errNotFound(message)
		}
		return errConfigurationOff(message)
	})
	return view, printed, err
}

// readRevision requests a revision and always decodes it, also if the user asked for JSON output.
func (client *controllerClient) readRevision(cmd *cobra.Command, revision uint64) (api.ConfigurationView, error) {
	decodingClient := *client
	decodingClient.asJSON = false
	view, _, err := decodingClient.requestRevision(cmd, revision)
	return view, err
}

// configCheckCommand returns the command that validates a configuration document without a controller.
func configCheckCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check a document without a controller", Args: cobra.ExactArgs(1),
		Example: "  switchferry config check teams.toml",
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := readDocument(cmd, args[0]); err != nil {
				return err
			}
			return printLine(cmd, "ok")
		}}
}

// configDiffCommand returns the command that compares a configuration document with the current revision.
func configDiffCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "diff FILE", Short: "Show in what a document differs from the present revision", Args: cobra.ExactArgs(1),
		Example: "  switchferry config diff teams.toml --node 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			wanted, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			view, err := client.readRevision(cmd, 0)
			if err != nil {
				return err
			}
			return client.printDifferences(cmd, &view, wanted)
		}}
	client.addFlags(cmd)
	return cmd
}

// printDifferences prints the differences between a revision and a document.
func (client *controllerClient) printDifferences(cmd *cobra.Command, view *api.ConfigurationView, wanted *configuration.Document) error {
	var current *configuration.Document
	if view.Document != "" {
		var err error
		if current, err = configuration.Parse(view.Document); err != nil {
			return withExitCode(ExitFailed, fmt.Errorf("this version of the program cannot read the current revision: %w", err))
		}
	}
	differences := configuration.Differences(current, wanted)
	if client.asJSON {
		return printJSON(cmd, differences)
	}
	printer := linePrinter{out: cmd.OutOrStdout()}
	printer.printf("from revision %d: %d differences\n", view.Revision, len(differences))
	for _, difference := range differences {
		printer.printf("%s\n", difference)
	}
	return printer.err
}
