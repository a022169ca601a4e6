package demo

import (
	"os"
	"path/filepath"
	"testing"

	"shelfproxy/internal/testbed/clients"
)

// Guards against a count that covers only one process of an instance. The log of a restarted instance has a line of counters
// for each of its processes.
func TestRequestsClosedUnansweredOfAllProcesses(t *testing.T) {
	const log = `{"event":"started","listener_closed_owing":9}
{"event":"counters","listener_closed_owing":2}
panic: not JSON
{"event":"counters","listener_closed_owing":1}
`
	path := filepath.Join(t.TempDir(), "n0.log")
	if err := os.WriteFile(path, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := requestsClosedUnanswered(path); got != 3 || err != nil {
		t.Errorf("got %d requests and error %v, want 3 and none", got, err)
	}
}

// Guards against a node that closes connections without a check for unread bytes. Such a node leaves more requests unread
// (crossings) than allowed, and the run must fail.
func TestCrossingsAreBounded(t *testing.T) {
	classes := []clients.Class{{Scheduled: 400}, {Scheduled: 100}}
	for crossed, isFailure := range map[int64]bool{0: false, 2: false, 5: false, 6: true} {
		if got := len(checkCrossings(crossed, classes)) > 0; got != isFailure {
			t.Errorf("%d of 500 requests: failure %v, want %v", crossed, got, isFailure)
		}
	}
}
