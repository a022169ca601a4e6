package harness

import (
	"bytes"
	"strings"
	"sync"
)

// Log collects what a process writes. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	content bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.content.Write(text)
}

// String returns all that was written.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.content.String()
}

// Contains reports whether a text was written.
func (l *Log) Contains(text string) bool { return strings.Contains(l.String(), text) }

// Count returns how often a text was written.
func (l *Log) Count(text string) int { return strings.Count(l.String(), text) }
