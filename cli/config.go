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

// configurationPath is the path of the current revision, and of changes.
const configurationPath = "/configuration"

// revisionPath returns the path of a revision; 0 is the current one.
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

// errConfigurationOff returns the error for paths that exist only if live configuration is on.
func errConfigurationOff(string) error {
	return withExitCode(ExitRefused, errors.New("live configuration is off: set on = true under [configuration] in the features file of all controllers, and start them with --features"))
}

// readInput reads a file; - is the standard input.
func readInput(cmd *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(file)
}

// readDocument reads and checks a document; - is the standard input.
func readDocument(cmd *cobra.Command, file string) (*configuration.Document, error) {
	raw, err := readInput(cmd, file)
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	document, err := configuration.Parse(string(raw))
	if err != nil {
		return nil, withExitCode(ExitUsage, fmt.Errorf("%s has mistakes:\n%w", file, err))
	}
	return document, nil
}

// revision reads a revision from a controller; 0 is the current one. Printed tells that it was printed as JSON
// instead, as the user wants it.
func (client *controllerClient) revision(cmd *cobra.Command, revision uint64) (view api.ConfigurationView, printed bool, err error) {
	printed, err = client.requestInto(cmd, http.MethodGet, revisionPath(revision), nil, &view, func(why string) error {
		// Without the feature, no path of it exists, and the text is that of any unknown path.
		if revision > 0 && why != http.StatusText(http.StatusNotFound) {
			return errNotFound(why)
		}
		return errConfigurationOff(why)
	})
	return view, printed, err
}

// readRevision is revision for a command that uses the revision itself, whatever it prints.
func (client *controllerClient) readRevision(cmd *cobra.Command, revision uint64) (api.ConfigurationView, error) {
	reader := *client
	reader.asJSON = false
	view, _, err := reader.revision(cmd, revision)
	return view, err
}

// configCheckCommand returns the command that checks a document.
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

// configDiffCommand returns the command that compares a document with the current revision.
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

// printDifferences prints in what a document differs from a revision.
func (client *controllerClient) printDifferences(cmd *cobra.Command, view *api.ConfigurationView, wanted *configuration.Document) error {
	var current *configuration.Document
	if view.Document != "" {
		var err error
		if current, err = configuration.Parse(view.Document); err != nil {
			return withExitCode(ExitFailed, fmt.Errorf("the present revision is not one that this program knows: %w", err))
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
