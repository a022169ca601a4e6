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

// requestsClosedUnanswered returns how many requests the processes of an instance had read and not answered when they closed the
// connection. It reads the counters in the instance's log: a client only sees that its connection ended, and not whether the node
// had read the request.
func requestsClosedUnanswered(logPath string) (requests int64, err error) {
	file, err := os.Open(logPath)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // the file was only read, so an error of Close does not matter
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line countersLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == "counters" {
			requests += line.ClosedUnanswered
		}
	}
	return requests, lines.Err()
}

// Limits on the number of requests that nodes leave unread because they close the connection, although it was idle only briefly.
// Such a request arrives after the node has checked the connection for unread bytes and before the node closes it. A node without
// this check leaves more requests unread.
const (
	maxCrossed     = 2
	maxCrossedPart = 0.01 // maximum fraction of all requests, from 0 to 1, that nodes may leave unread when they close a connection
)

// checkCrossings returns a failure if crossed exceeds both maxCrossed and the fraction maxCrossedPart of all requests. crossed is
// the number of requests that nodes left unread, as clients.Clients.Crossed returns it.
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

// checkConnectionEnds returns a failure for each instance that closed connections without an answer to requests that it had read,
// or whose log cannot be read.
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
