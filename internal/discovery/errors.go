package discovery

import (
	"errors"
	"fmt"
)

// Errors that end a watch.
var (
	// ErrMalformed ends a watch on which something other than endpoint lists arrived.
	ErrMalformed = errors.New("discovery: no list")
	// ErrCallTimeout ends a call that got no response in time.
	ErrCallTimeout = errors.New("discovery: the call was not answered in time")
	// ErrWatchTimeout ends a watch on which neither a line nor a list was completed for polling.WatchTimeout.
	ErrWatchTimeout = errors.New("discovery: the watch fell silent")
	// ErrWatchClosed ends a watch that the discovery service closed.
	ErrWatchClosed = errors.New("discovery: the watch ended")
)

// Errors of ListValidator. After each of them the endpoint list in force stays in force.
var (
	// ErrEmptyList rejects a full list without servers. Such a list shows that the discovery service has lost its state, not that
	// all servers are gone: servers that really leave are listed as draining first.
	ErrEmptyList = errors.New("discovery: a full list without a server")
	// ErrStaleList rejects a list that is older than the one in force.
	ErrStaleList = errors.New("discovery: a list older than the one held")
)

// Errors about the framing of a list. All of them wrap ErrMalformed.
var (
	errTruncated = fmt.Errorf("%w: the JSON object is truncated", ErrMalformed)
	errTooLong   = fmt.Errorf("%w: the JSON object exceeds the size limit", ErrMalformed)
	errNoObject  = fmt.Errorf("%w: unexpected text outside a JSON object", ErrMalformed)
)

// StatusError ends a watch whose call was answered with an HTTP status other than 200.
type StatusError struct{ Status int }

// Error returns a text with the status.
func (e *StatusError) Error() string { return fmt.Sprintf("discovery: status %d", e.Status) }

// ParseError says which field of a list is missing or invalid.
type ParseError struct {
	Field   string // path of the field, such as "instances[2].hostPort"
	Problem string
}

// Error returns the field and the problem on one line.
func (e *ParseError) Error() string { return e.Field + ": " + e.Problem }
