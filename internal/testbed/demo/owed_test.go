package demo

import (
	"os"
	"path/filepath"
	"testing"

	"shelfproxy/internal/testbed/clients"
)

// TestRequestsClosedUnansweredOfAllProcesses: an instance that was restarted has a line of counters of each process.
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

// TestCrossingsAreBounded: a node that ends connections without a look for unread bytes is found.
func TestCrossingsAreBounded(t *testing.T) {
	classes := []clients.Class{{Scheduled: 400}, {Scheduled: 100}}
	for crossed, isFailure := range map[int64]bool{0: false, 2: false, 5: false, 6: true} {
		if got := len(checkCrossings(crossed, classes)) > 0; got != isFailure {
			t.Errorf("%d of 500 requests: failure %v, want %v", crossed, got, isFailure)
		}
	}
}
