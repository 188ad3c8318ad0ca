package cli

import "errors"

// Exit codes of the program.
const (
	ExitFailed   = 1 // the command could not be carried out
	ExitUsage    = 2 // wrong arguments, settings or policy
	ExitRefused  = 3 // a controller refused the request for good
	ExitNotFound = 4 // no such job, or revision
	ExitConflict = 5 // somebody else changed it meanwhile
	ExitPending  = 6 // stored, and not known to be in force
)

// codedError is an error with the exit code that the program ends with.
type codedError struct {
	error
	code int
}

// Unwrap returns the error without its code.
func (e codedError) Unwrap() error { return e.error }

// withExitCode gives an error an exit code; nil stays nil.
func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return codedError{err, code}
}

// ExitCode returns the exit code for an error of a command: that which it was given, else ExitUsage, since
// the errors of the command line's own parser have none.
func ExitCode(err error) int {
	if coded, ok := errors.AsType[codedError](err); ok {
		return coded.code
	}
	return ExitUsage
}
