package cli

import "errors"

// Exit codes of the program.
const (
	// ExitFailed means that the command could not be carried out, or that an experiment found a violation.
	ExitFailed = 1
	// ExitUsage means that arguments, settings, the policy or a document are invalid.
	ExitUsage = 2
	// ExitRefused means that a controller refused the request permanently; a retry would not help.
	ExitRefused = 3
	// ExitNotFound means that the job, revision or dataset does not exist.
	ExitNotFound = 4
	// ExitConflict means that the configuration was changed concurrently.
	ExitConflict = 5
	// ExitPending means that the change is stored but was not confirmed to be in force in time.
	ExitPending = 6
)

// codedError is an error with the exit code of the program.
type codedError struct {
	error
	code int
}

// Unwrap returns the error without its exit code.
func (e codedError) Unwrap() error { return e.error }

// withExitCode attaches an exit code to an error. It returns nil for a nil error.
func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return codedError{err, code}
}

// ExitCode returns the exit code for the error of a command: the code that is attached to it, or ExitUsage if there is
// none, since the errors of the command-line parser have no code.
func ExitCode(err error) int {
	if coded, ok := errors.AsType[codedError](err); ok {
		return coded.code
	}
	return ExitUsage
}
