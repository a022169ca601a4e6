package demo

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"shelfproxy/internal/testbed/clients"
)

// countersLine has the fields that this package reads from the line of counters that a node logs when it exits.
type countersLine struct {
	Event            string `json:"event"`
	ClosedUnanswered int64  `json:"listener_closed_owing"`
}

// requestsClosedUnanswered returns how many requests the processes of an instance had read and not answered when they closed
// the connection. It reads the counters in the instance's log, because clients cannot distinguish these requests from unread
// requests that crossed the end of a connection.
func requestsClosedUnanswered(logPath string) (requests int64, err error) {
	file, err := os.Open(logPath)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line countersLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == "counters" {
			requests += line.ClosedUnanswered
		}
	}
	return requests, lines.Err()
}

// Bounds of the requests that may cross the end of a connection that was idle only briefly. A request does so only if it arrives
// after the node has checked for unread bytes and before the node closes the connection. A node that does not check has more.
const (
	maxCrossed     = 2
	maxCrossedPart = 0.01 // fraction of all requests
)

// checkCrossings returns a failure if the number of requests that crossed the end of a connection exceeds both bounds.
func checkCrossings(crossed int64, classes []clients.Class) []error {
	requests := int64(0)
	for i := range classes {
		requests += classes[i].Scheduled
	}
	if crossed <= maxCrossed || float64(crossed) <= maxCrossedPart*float64(requests) {
		return nil
	}
	return []error{fmt.Errorf("%d of %d requests crossed the end of a connection, more than allowed", crossed, requests)}
}

// checkConnectionEnds returns a failure for each instance that read requests and closed their connections without an answer.
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
