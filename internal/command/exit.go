package command

import "github.com/cockroachdb/errors"

// Exit codes of commands that change the fleet.
const (
	// ExitRefused: publish was refused because another configuration was
	// accepted first.
	ExitRefused = 3
	// ExitUnknown: it is unknown whether the change took effect.
	ExitUnknown = 4
)

// exitError is an error that sets the exit code.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without its exit code.
func (e exitError) Unwrap() error {
	return e.error
}

// withExitCode attaches an exit code to an error; nil stays nil.
func withExitCode(err error, code int) error {
	if err == nil {
		return nil
	}
	return exitError{error: err, code: code}
}

// exitCodeOf returns the exit code of an error, ExitFailed by default.
func exitCodeOf(err error) int {
	var coded exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}
