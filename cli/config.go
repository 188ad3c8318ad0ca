package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/configuration/revisions"
)

// inForcePollInterval is how often it is looked whether a change is in force, or, by watch, whether there is another.
const (
	inForcePollInterval = 100 * time.Millisecond
	watchPollInterval   = time.Second
)

// configCommand shows and changes what can change while the service runs.
func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Show and change teams, policy, switches and topology while the service runs",
		Long: "The configuration is one TOML document with numbered revisions; sections that it lacks stay as files and settings have them. Needs\n" +
			"[configuration] on in the features file of all controllers. Exit codes: 0 done and in force, 1 no answer, 2 wrong arguments or a\n" +
			"document with mistakes, 3 refused for good, 4 no such revision, 5 somebody else changed it meanwhile, 6 stored and not in force yet."}
	cmd.AddCommand(configCheckCommand(), configDiffCommand(), configApplyCommand(), configShowCommand(), configHistoryCommand(), configRollbackCommand(), configWatchCommand())
	return cmd
}

func errConfigurationOff(string) error {
	return withExitCode(ExitRefused, errors.New("live configuration is off: set on = true under [configuration] in the features file of all controllers, and start them with --features"))
}

// readDocument reads and checks a document; - is standard input.
func readDocument(cmd *cobra.Command, file string) (*configuration.Document, error) {
	raw, err := os.ReadFile(file)
	if file == "-" {
		raw, err = io.ReadAll(cmd.InOrStdin())
	}
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	document, err := configuration.Parse(string(raw))
	if err != nil {
		return nil, withExitCode(ExitUsage, fmt.Errorf("%s has mistakes:\n%w", file, err))
	}
	return document, nil
}

func configCheckCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check a document without a controller", Args: cobra.ExactArgs(1),
		Example: "  switchferry config check teams.toml",
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := readDocument(cmd, args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return err
		}}
}

// currentConfiguration is the configuration that a controller shows.
func (client *controllerClient) currentConfiguration(cmd *cobra.Command, path string) (view api.ConfigurationView, printed bool, err error) {
	printed, err = client.requestInto(cmd, http.MethodGet, path, nil, &view, func(why string) error {
		if strings.HasPrefix(path, "/configuration/") && why != "Not Found" {
			return withExitCode(ExitNotFound, errors.New(why))
		}
		return errConfigurationOff(why)
	})
	return view, printed, err
}

func configDiffCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "diff FILE", Short: "Show in what a document differs from the present revision", Args: cobra.ExactArgs(1),
		Example: "  switchferry config diff teams.toml --node 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			wanted, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			asJSON := client.asJSON
			client.asJSON = false
			view, _, err := client.currentConfiguration(cmd, "/configuration")
			if err != nil {
				return err
			}
			var before *configuration.Document
			if view.Document != "" {
				if before, err = configuration.Parse(view.Document); err != nil {
					return withExitCode(ExitFailed, fmt.Errorf("the present revision is not one that this program knows: %w", err))
				}
			}
			differences := configuration.Differences(before, wanted)
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(differences)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "from revision %d: %d differences\n", view.Revision, len(differences))
			for _, d := range differences {
				fmt.Fprintln(cmd.OutOrStdout(), d)
			}
			return nil
		}}
	client.addFlags(cmd)
	return cmd
}

// configurationChange is what the flags of a change say.
type configurationChange struct {
	controllerClient
	by, why string
	expect  int64
}

func (change *configurationChange) addFlags(cmd *cobra.Command) {
	change.controllerClient.addFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&change.why, "why", "", "why it is changed; kept with the revision")
	flags.StringVar(&change.by, "by", os.Getenv("USER"), "who changes it; kept with the revision")
	flags.Int64Var(&change.expect, "expect", -1, "change it only if this is the present revision, 0 for none; -1: whichever is")
}

func configApplyCommand() *cobra.Command {
	var change configurationChange
	cmd := &cobra.Command{Use: "apply FILE --why WHY", Short: "Put a document in force, everywhere", Args: cobra.ExactArgs(1),
		Example: "  switchferry config apply teams.toml --why \"vision moves to the new store\" --expect 41 --node 10.0.0.1:8080",
		RunE: func(cmd *cobra.Command, args []string) error {
			document, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			return change.apply(cmd, document.Text)
		}}
	change.addFlags(cmd)
	return cmd
}

func configRollbackCommand() *cobra.Command {
	var change configurationChange
	cmd := &cobra.Command{Use: "rollback REVISION --why WHY", Short: "Put an earlier revision's document in force again, as a new revision", Args: cobra.ExactArgs(1),
		Example: "  switchferry config rollback 40 --why \"41 starved the exports\"",
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := parseRevision(args[0])
			if err != nil {
				return err
			}
			asJSON := change.asJSON
			change.asJSON = false
			view, _, err := change.currentConfiguration(cmd, fmt.Sprintf("/configuration/%d", number))
			if err != nil {
				return err
			}
			change.asJSON = asJSON
			change.why = strings.TrimSpace(fmt.Sprintf("%s (back to revision %d)", change.why, number))
			return change.apply(cmd, view.Document)
		}}
	change.addFlags(cmd)
	return cmd
}

func parseRevision(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, withExitCode(ExitUsage, fmt.Errorf("%q is no revision; revisions are numbered from 1", text))
	}
	return number, nil
}

// apply sends a document and waits until it is in force.
func (change *configurationChange) apply(cmd *cobra.Command, document string) error {
	request := api.ConfigurationRequest{Document: document, By: change.by, Why: change.why}
	if change.expect >= 0 {
		expect := uint64(change.expect)
		request.Expect = &expect
	}
	body, err := json.Marshal(&request)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	ctx, stop := context.WithTimeout(cmd.Context(), change.timeout)
	defer stop()
	status, raw, err := change.request(ctx, http.MethodPost, "/configuration", body)
	if err != nil {
		return err
	}
	var answer revisions.Answer
	switch {
	case status == http.StatusNotFound:
		return errConfigurationOff("")
	case status == http.StatusConflict:
		var conflict api.ConfigurationConflict
		_ = json.Unmarshal(raw, &conflict)
		return withExitCode(ExitConflict, fmt.Errorf("%s; %s applied revision %d (%s). Differences from it to yours:\n%s\nlook at it with `switchferry config show`, and apply again with --expect %d",
			conflict.Error, conflict.By, conflict.Revision, conflict.Why, strings.Join(conflict.Differences, "\n"), conflict.Revision))
	case status == http.StatusBadRequest:
		var refused api.ConfigurationFieldErrors
		_ = json.Unmarshal(raw, &refused)
		var lines []string
		for _, manifest := range refused.Mistakes {
			lines = append(lines, configuration.FieldError{Line: manifest.Line, Field: manifest.Field, Remedy: manifest.Remedy}.String())
		}
		return withExitCode(ExitUsage, fmt.Errorf("%s:\n%s", refused.Error, strings.Join(lines, "\n")))
	case status != http.StatusOK && status != http.StatusAccepted:
		return withExitCode(ExitRefused, fmt.Errorf("refused (status %d): %s", status, errorMessage(raw)))
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return withExitCode(ExitFailed, fmt.Errorf("malformed answer: %w", err))
	}
	return change.awaitInForce(ctx, cmd, answer)
}

// awaitInForce tells how far a stored change comes.
func (change *configurationChange) awaitInForce(ctx context.Context, cmd *cobra.Command, answer revisions.Answer) error {
	out := cmd.OutOrStdout()
	if !change.asJSON && !answer.Unchanged {
		fmt.Fprintf(out, "stored as revision %d\n", answer.Revision)
	}
	for !answer.InForce {
		select {
		case <-ctx.Done():
			return withExitCode(ExitPending, fmt.Errorf("revision %d is stored and not known to be in force; it waits for %s", answer.Revision, strings.Join(answer.WaitsFor, ", ")))
		case <-time.After(inForcePollInterval):
		}
		status, raw, err := change.request(ctx, http.MethodGet, "/configuration", nil)
		if err != nil || status != http.StatusOK {
			continue
		}
		var view api.ConfigurationView
		if json.Unmarshal(raw, &view) == nil && view.Leader && view.Revision >= answer.Revision {
			answer.InForce, answer.WaitsFor = view.InForce || view.Revision > answer.Revision, view.WaitsFor
		}
	}
	if change.asJSON {
		return json.NewEncoder(out).Encode(answer)
	}
	what := fmt.Sprintf("revision %d is in force", answer.Revision)
	if answer.Unchanged {
		what += " already; nothing was stored"
	}
	_, err := fmt.Fprintln(out, what)
	return err
}

func configShowCommand() *cobra.Command {
	var client controllerClient
	var revision uint64
	cmd := &cobra.Command{Use: "show", Short: "Show the present revision, or another one", Args: cobra.NoArgs,
		Example: "  switchferry config show > teams.toml\n  switchferry config show --revision 40 --json | jq -r .why",
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := "/configuration"
			if revision > 0 {
				path = fmt.Sprintf("/configuration/%d", revision)
			}
			view, printed, err := client.currentConfiguration(cmd, path)
			if err != nil || printed {
				return err
			}
			printConfiguration(cmd.ErrOrStderr(), &view, revision > 0)
			_, err = fmt.Fprint(cmd.OutOrStdout(), view.Document)
			return err
		}}
	client.addFlags(cmd)
	cmd.Flags().Uint64Var(&revision, "revision", 0, "a revision on record; 0: the present one")
	return cmd
}

// printConfiguration tells about a revision; its document goes elsewhere.
func printConfiguration(out io.Writer, view *api.ConfigurationView, past bool) {
	if view.Revision == 0 {
		fmt.Fprintln(out, "no revision: files and settings count")
	} else {
		fmt.Fprintf(out, "revision %d, by %s at %s: %s\n", view.Revision, view.By, time.UnixMilli(view.AtMS).Format(time.RFC3339), view.Why)
	}
	switch {
	case past:
	case view.NotTaken != "":
		fmt.Fprintf(out, "revision %d is on record and not taken: %s; apply a document to go on from here\n", view.Newest, view.NotTaken)
	case !view.Leader:
		fmt.Fprintln(out, "nobody leads: this is what the records say")
	case view.InForce:
		fmt.Fprintln(out, "in force")
	default:
		fmt.Fprintf(out, "stored, waits for %s\n", strings.Join(view.WaitsFor, ", "))
	}
}

func configHistoryCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "history", Short: "List the last revisions", Args: cobra.NoArgs,
		Example: "  switchferry config history --json | jq '.[] | select(.by == \"ops\") | .revision'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var all []api.ConfigurationView
			printed, err := client.requestInto(cmd, http.MethodGet, "/configuration/history", nil, &all, errConfigurationOff)
			if err != nil || printed {
				return err
			}
			writer := newTable(cmd.OutOrStdout())
			writer.AppendHeader(table.Row{"revision", "by", "at", "why"})
			for _, view := range all {
				writer.AppendRow(table.Row{view.Revision, view.By, time.UnixMilli(view.AtMS).Format(time.RFC3339), view.Why})
			}
			writer.Render()
			return nil
		}}
	client.addFlags(cmd)
	return cmd
}

func configWatchCommand() *cobra.Command {
	var client controllerClient
	cmd := &cobra.Command{Use: "watch", Short: "Tell of each revision as it comes into force, until interrupted", Args: cobra.NoArgs,
		Example: "  switchferry config watch --node 10.0.0.1:8080 --node 10.0.0.2:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			last := ""
			for {
				status, raw, err := client.request(cmd.Context(), http.MethodGet, "/configuration", nil)
				if err != nil {
					return err
				}
				if status == http.StatusNotFound {
					return errConfigurationOff("")
				}
				var view api.ConfigurationView
				if err := json.Unmarshal(raw, &view); err != nil {
					return withExitCode(ExitFailed, fmt.Errorf("malformed answer: %w", err))
				}
				var text strings.Builder
				printConfiguration(&text, &view, false)
				if now := text.String(); now != last {
					last = now
					if client.asJSON {
						now = string(raw) + "\n"
					}
					fmt.Fprint(cmd.OutOrStdout(), now)
				}
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
