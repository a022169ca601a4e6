// Package exit attaches process exit codes to errors, so that scripts can distinguish the ways in which a program fails. Each
// program defines its own codes.
package exit

import "errors"

// codedError is an error with an exit code, which the process exits with if the error reaches main.
type codedError struct {
	error
	code int
}

// Unwrap returns the error without its code, for errors.Is and errors.As.
func (e *codedError) Unwrap() error { return e.error }

// With returns err with an exit code attached to it, and nil if err is nil.
func With(code int, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{err, code}
}

// Code returns the exit code attached to err, or fallback if err has none.
func Code(err error, fallback int) int {
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return fallback
}
