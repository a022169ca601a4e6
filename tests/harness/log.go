package harness

import (
	"bytes"
	"strings"
	"sync"
)

// Log collects the output of a process. It is safe for concurrent use.
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

// String returns all output so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.content.String()
}

// Contains reports whether the output so far contains a text.
func (l *Log) Contains(text string) bool { return strings.Contains(l.String(), text) }

// Count returns how many times the output so far contains a text.
func (l *Log) Count(text string) int { return strings.Count(l.String(), text) }
