// Package exit gives errors the code that a program ends with, so that scripts can tell the ways of failing apart. The
// codes themselves are each program's own.
package exit

import "errors"

type coded struct {
	error
	code int
}

func (e *coded) Unwrap() error { return e.error }

// With gives an error a code; nil stays nil.
func With(code int, err error) error {
	if err == nil {
		return nil
	}
	return &coded{err, code}
}

// Code is the code of an error, or otherwise where it has none.
func Code(err error, otherwise int) int {
	var c *coded
	if errors.As(err, &c) {
		return c.code
	}
	return otherwise
}
