package admission

import (
	"testing"
	"time"
)

// TestLongestStuckReaderIsClosedFirst checks which connection is closed when four clients together have too many unsent
// bytes: the one whose client has read nothing for the longest time. The connection of a client that reads slowly
// stays.
func TestLongestStuckReaderIsClosedFirst(t *testing.T) {
	policy := DefaultConnectionPolicy(10, time.Second, time.Minute, 50*ms)
	policy.MaxUnsentBytes, policy.StuckTimeout = 1<<20, 250*ms
	table := NewConnectionTable(policy)
	for id := range uint64(4) {
		table.Accepted(0, id)
		table.CommandReceived(0, id, CommandRequest)
		table.ResponseReady(id, 300<<10)
		table.WriteStarted(time.Duration(id)*ms, id)
	}
	if id, found := table.NextStuck(100 * ms); found {
		t.Errorf("got %d closed before it is known to be stuck rather than slow", id)
	}
	table.WriteEnded(0, 100<<10) // client 0 reads
	table.WriteStarted(200*ms, 0)
	if id, found := table.NextStuck(300 * ms); !found || id != 1 {
		t.Fatalf("got %d closed, %v, want 1", id, found)
	}
	if id, found := table.NextStuck(300 * ms); found {
		t.Errorf("got %d closed although the unsent bytes are within their bound", id)
	}
	table.Closed(301*ms, 1)
	table.Closed(301*ms, 2)
	if table.unsent != 500<<10 || table.writing != 500<<10 || len(table.slowReaders) != 2 {
		t.Errorf("got %d bytes unsent, %d of them in writes, and %d slow readers, want %d, %d and 2", table.unsent, table.writing,
			len(table.slowReaders), 500<<10, 500<<10)
	}
}
