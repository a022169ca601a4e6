package agent

import (
	"log/slog"
	"testing"
	"time"

	"shelfproxy/internal/fleet/lease"
)

const testTimeout = 10 * time.Second

// holderChange holds the arguments of a call of Options.HolderChanged.
type holderChange struct {
	resource string
	node     int
}

// startAgent runs the agent of a fleet of one node until the test ends. It returns the agent and a channel of the holder
// changes.
func startAgent(t *testing.T) (*Agent, <-chan holderChange) {
	t.Helper()
	changes := make(chan holderChange, 10)
	started, err := New(Options{
		Config:        lease.Config{Nodes: 1, PeerListID: 1, Resources: []string{"a"}, LeaseDuration: 200 * time.Millisecond, Epoch: 1},
		Send:          func(int, []byte) error { return nil },
		HolderChanged: func(resource string, node int) { changes <- holderChange{resource, node} },
		Announced:     func(string) {},
		CountEvent:    func(lease.LogEventKind) {},
		Log:           slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		started.Serve(stop)
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
	})
	return started, changes
}

func expectChange(t *testing.T, changes <-chan holderChange, want holderChange) {
	t.Helper()
	select {
	case got := <-changes:
		if got != want {
			t.Fatalf("the holder changed to %+v, want %+v", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the holder did not change, want %+v", want)
	}
}

func TestOwnLeaseIsReportedAsThisNodes(t *testing.T) {
	a, changes := startAgent(t)
	expectChange(t, changes, holderChange{"a", lease.ThisNode})
	a.Resign()
	expectChange(t, changes, holderChange{"a", lease.NoNode})
}

func TestUpdatedPeersDecideWhichNodeIsThisOne(t *testing.T) {
	a, changes := startAgent(t)
	expectChange(t, changes, holderChange{"a", lease.ThisNode})
	a.UpdatePeers(lease.PeersChanged{Self: 1, Nodes: 2, PeerListID: 2})
	expectChange(t, changes, holderChange{"a", lease.NoNode})
	var self, nodes int
	if err := a.Call(func() { self, nodes = a.peers.Self, a.peers.Nodes }); err != nil {
		t.Fatal(err)
	}
	if self != 1 || nodes != 2 {
		t.Errorf("this node is %d of %d, want 1 of 2", self, nodes)
	}
}
