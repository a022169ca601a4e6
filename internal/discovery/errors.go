package discovery

import (
	"errors"
	"fmt"
)

// Errors that end a watch.
var (
	// ErrMalformed ends a watch that sent something other than endpoint lists.
	ErrMalformed = errors.New("discovery: no list")
	// ErrCallTimeout ends a call that got no response in time.
	ErrCallTimeout = errors.New("discovery: the call was not answered in time")
	// ErrWatchTimeout ends a watch that sent nothing for polling.WatchTimeout.
	ErrWatchTimeout = errors.New("discovery: the watch fell silent")
	// ErrWatchClosed ends a watch that the discovery service closed.
	ErrWatchClosed = errors.New("discovery: the watch ended")
)

// Errors of ListValidator. The list in force stays in force.
var (
	// ErrEmptyList rejects a full list without servers. It shows that the discovery service has lost its state, not that all
	// servers are gone: servers that really leave are listed as draining first.
	ErrEmptyList = errors.New("discovery: a full list without a server")
	// ErrStaleList rejects a list that is older than the one in force.
	ErrStaleList = errors.New("discovery: a list older than the one held")
)

// The ways in which the framing of a list is broken. All of them are ErrMalformed.
var (
	errTruncated = fmt.Errorf("%w: one that is cut short", ErrMalformed)
	errTooLong   = fmt.Errorf("%w: one without an end", ErrMalformed)
	errNoObject  = fmt.Errorf("%w: something that is no object", ErrMalformed)
)

// StatusError ends a watch whose call was answered with an HTTP status other than 200.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("discovery: status %d", e.Status) }

// ParseError says which field of a list is missing or invalid.
type ParseError struct {
	Field   string // as a path, for instance "instances[2].hostPort"
	Problem string
}

// Error names the field and what is wrong with it.
func (e *ParseError) Error() string { return e.Field + ": " + e.Problem }
