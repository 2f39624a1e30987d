package command

import "github.com/cockroachdb/errors"

// Exit codes beyond those that every command has.
const (
	// ExitRefused: publish was refused because another configuration was
	// accepted in the meantime.
	ExitRefused = 3
	// ExitUnknown: whether the change was taken could not be learned.
	ExitUnknown = 4
)

// exitError is an error with an exit code of its own.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without the code.
func (e exitError) Unwrap() error {
	return e.error
}

// withExitCode gives an error an exit code.
func withExitCode(err error, code int) error {
	if err == nil {
		return nil
	}
	return exitError{error: err, code: code}
}

// codeOf returns the exit code of an error, ExitFailed by default.
func codeOf(err error) int {
	var coded exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}
