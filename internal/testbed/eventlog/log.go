// Package eventlog encodes the events of a run as lines of text and hashes them, so that two runs can be compared by
// their hashes.
package eventlog

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Log is the event log of a run. It keeps the hash of the lines, not the lines. It is not safe for concurrent use.
type Log struct {
	hash   *xxhash.Digest
	buffer []byte // memory of the latest line; the next Append reuses it
}

// New makes an empty log.
func New() *Log { return &Log{hash: xxhash.New()} }

// Append adds the line of an event: time in nanoseconds, name and fields, separated by spaces. It returns the line,
// including the newline. The returned slice is valid until the next call of Append.
func (l *Log) Append(at time.Duration, name string, fields ...string) []byte {
	entry := strconv.AppendInt(l.buffer[:0], int64(at), 10)
	entry = append(append(entry, ' '), name...)
	for _, field := range fields {
		entry = append(append(entry, ' '), field...)
	}
	l.buffer = append(entry, '\n')
	_, _ = l.hash.Write(l.buffer) // writing to a hash never fails
	return l.buffer
}

// Hash returns the hash of all lines so far.
func (l *Log) Hash() uint64 { return l.hash.Sum64() }
