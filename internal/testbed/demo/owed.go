package demo

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"shelfproxy/internal/testbed/clients"
)

// countersLine is what this package reads of the line that a node logs with its counters as it ends.
type countersLine struct {
	Event       string `json:"event"`
	ClosedOwing int64  `json:"listener_closed_owing"`
}

// requestsClosedUnanswered returns how many requests the processes of an instance had read and not answered as they ended the
// connection, by their own account: clients can't tell these from requests that crossed the end of a connection unread.
func requestsClosedUnanswered(logPath string) (requests int64, err error) {
	file, err := os.Open(logPath)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // it was only read
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line countersLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == "counters" {
			requests += line.ClosedOwing
		}
	}
	return requests, lines.Err()
}

// Bounds of the requests that cross the end of a connection that was hardly idle: it takes the moment between a node's look for unread
// bytes and the end. A node that does not look has more.
const (
	maxCrossed     = 2
	maxCrossedPart = 0.01 // of all requests
)

// checkCrossings returns a failure if more requests crossed the ends of connections than such moments explain.
func checkCrossings(crossed int64, classes []clients.Class) []error {
	requests := int64(0)
	for i := range classes {
		requests += classes[i].Scheduled
	}
	if crossed <= maxCrossed || float64(crossed) <= maxCrossedPart*float64(requests) {
		return nil
	}
	return []error{fmt.Errorf("connections of clients ended under %d of %d requests", crossed, requests)}
}

// checkConnectionEnds returns a failure for each instance that read requests and ended their connections without an answer.
func (r *run) checkConnectionEnds() (failures []error) {
	for _, instance := range r.instances {
		process := instance.currentProcess()
		requests, err := requestsClosedUnanswered(process.LogPath)
		switch {
		case err != nil:
			failures = append(failures, fmt.Errorf("read the log of node %s: %w", process.Name, err))
		case requests > 0:
			failures = append(failures, fmt.Errorf("node %s read %d requests and ended their connections without an answer", process.Name, requests))
		}
	}
	return failures
}
