package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/configuration/revisions"
)

// inForcePollInterval is the interval at which a command polls whether its change is in force.
const inForcePollInterval = 100 * time.Millisecond

// configurationChange holds the flags of a command that changes the live configuration, and carries out the change.
type configurationChange struct {
	controllerClient
	// author and reason say who changes the configuration and why; both are stored with the revision.
	author, reason string
	// expectedRevision is the revision that must be the current one for the change to be stored; 0 means that there must
	// be none, and a negative number disables the check.
	expectedRevision int64
}

// addFlags adds the flags that are common to all commands that change the configuration.
func (change *configurationChange) addFlags(cmd *cobra.Command) {
	change.controllerClient.addFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&change.reason, "why", "", "why it is changed; kept with the revision")
	flags.StringVar(&change.author, "by", os.Getenv("USER"), "who changes it; kept with the revision")
	flags.Int64Var(&change.expectedRevision, "expect", -1, "change it only if this is the present revision, 0 for none; -1: whichever is")
}

// configApplyCommand returns the command that applies a configuration document.
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

// configRollbackCommand returns the command that applies the document of an earlier revision as a new revision.
func configRollbackCommand() *cobra.Command {
	var change configurationChange
	cmd := &cobra.Command{Use: "rollback REVISION --why WHY", Short: "Put an earlier revision's document in force again, as a new revision", Args: cobra.ExactArgs(1),
		Example: "  switchferry config rollback 40 --why \"41 starved the exports\"",
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := parseRevision(args[0])
			if err != nil {
				return err
			}
			view, err := change.readRevision(cmd, number)
			if err != nil {
				return err
			}
			change.reason = strings.TrimSpace(fmt.Sprintf("%s (back to revision %d)", change.reason, number))
			return change.apply(cmd, view.Document)
		}}
	change.addFlags(cmd)
	return cmd
}

// parseRevision parses a revision number, which is 1 or more.
func parseRevision(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, withExitCode(ExitUsage, fmt.Errorf("%q is not a revision; revisions are numbered from 1", text))
	}
	return number, nil
}

// apply submits a document and waits until it is in force or the timeout expires.
func (change *configurationChange) apply(cmd *cobra.Command, document string) error {
	request := api.ConfigurationRequest{Document: document, Operator: change.author, Reason: change.reason}
	if change.expectedRevision >= 0 {
		expect := uint64(change.expectedRevision)
		request.ExpectedRevision = &expect
	}
	body, err := json.Marshal(&request)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	ctx, stop := context.WithTimeout(cmd.Context(), change.timeout)
	defer stop()
	status, raw, err := change.request(ctx, http.MethodPost, configurationPath, body)
	if err != nil {
		return err
	}
	if err := changeError(status, raw); err != nil {
		return err
	}
	var answer revisions.ChangeProgress
	if err := decodeAnswer(raw, &answer); err != nil {
		return err
	}
	if !change.asJSON && !answer.Unchanged {
		if err := printLine(cmd, fmt.Sprintf("stored as revision %d", answer.Revision)); err != nil {
			return err
		}
	}
	if err := change.awaitInForce(ctx, &answer); err != nil {
		return err
	}
	if change.asJSON {
		return printJSON(cmd, answer)
	}
	line := fmt.Sprintf("revision %d is in force", answer.Revision)
	if answer.Unchanged {
		line += " already; nothing was stored"
	}
	return printLine(cmd, line)
}

// changeError returns the error for a response that refuses a change, or nil if the change was stored.
func changeError(status int, raw []byte) error {
	switch status {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusNotFound:
		return errConfigurationOff("")
	case http.StatusConflict:
		return conflictError(raw)
	case http.StatusBadRequest:
		return invalidDocumentError(raw)
	}
	return refusedError(status, raw)
}

// conflictError returns the error for a change whose expected revision is not the current one. If the body cannot be
// decoded, the details are empty.
func conflictError(raw []byte) error {
	var conflict api.ConfigurationConflict
	_ = json.Unmarshal(raw, &conflict)
	return withExitCode(ExitConflict, fmt.Errorf("%s; %s applied revision %d (%s). Differences from it to yours:\n%s\nlook at it with `switchferry config show`, and apply again with --expect %d",
		conflict.Error, conflict.Operator, conflict.Revision, conflict.Reason, strings.Join(conflict.Differences, "\n"), conflict.Revision))
}

// invalidDocumentError returns the error for a document with invalid fields. If the body cannot be decoded, the details
// are empty.
func invalidDocumentError(raw []byte) error {
	var refusal api.ConfigurationFieldErrors
	_ = json.Unmarshal(raw, &refusal)
	var lines []string
	for _, fieldError := range refusal.FieldErrors {
		lines = append(lines, configuration.FieldError{Line: fieldError.Line, Field: fieldError.Field, Remedy: fieldError.Remedy}.String())
	}
	return withExitCode(ExitUsage, fmt.Errorf("%s:\n%s", refusal.Error, strings.Join(lines, "\n")))
}

// awaitInForce polls until a stored change is in force, and updates the answer. If ctx ends first, the error names what
// the change still waits for.
func (change *configurationChange) awaitInForce(ctx context.Context, answer *revisions.ChangeProgress) error {
	for !answer.InForce {
		select {
		case <-ctx.Done():
			return withExitCode(ExitPending, fmt.Errorf("revision %d is stored and not known to be in force; it waits for %s",
				answer.Revision, strings.Join(answer.WaitsFor, ", ")))
		case <-time.After(inForcePollInterval):
		}
		status, raw, err := change.request(ctx, http.MethodGet, configurationPath, nil)
		if err != nil || status != http.StatusOK {
			continue
		}
		var view api.ConfigurationView
		if json.Unmarshal(raw, &view) == nil && view.FromLeader && view.Revision >= answer.Revision {
			answer.InForce = view.InForce || view.Revision > answer.Revision
			answer.WaitsFor = view.WaitsFor
		}
	}
	return nil
}
