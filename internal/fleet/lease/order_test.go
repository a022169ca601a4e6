package lease

import (
	"fmt"
	"testing"
	"time"
)

const (
	orderNodes     = 3
	maxOrderLength = 9
	maxOrders      = 60_000
	minOrders      = 10_000 // the test fails if it searched fewer orders, as it then proves too little
)

// TestNoMessageOrderMakesTwoHolders searches the orders in which the first messages of three nodes can arrive or be lost. Between
// two messages, the search can let half a lease pass, and then either all nodes get a tick or only one node does. Two nodes must
// never hold the lease at once. The test fails if one of the cases of evaluateRequest or of countVote is removed.
func TestNoMessageOrderMakesTwoHolders(t *testing.T) {
	search := &orderSearch{t: t, seen: map[string]bool{}}
	search.explore(nil)
	if search.holders == 0 || search.orders < minOrders {
		t.Errorf("%d orders were played and the lease was held %d times, want at least %d orders and one holder", search.orders, search.holders, minOrders)
	}
}

// orderSearch explores sequences of choices, such as which message arrives next. If two sequences lead to the same state of the
// fleet, it continues only the first of them.
type orderSearch struct {
	t       *testing.T
	seen    map[string]bool
	orders  int
	holders int // after how many choices a node held the lease, summed over all sequences
}

// explore plays a sequence of choices on a new fleet, as the state of a core cannot be copied. Then it explores each sequence
// that has one more choice.
func (s *orderSearch) explore(choices []int) {
	fleet := newOrderedFleet(s.t)
	for _, choice := range choices {
		fleet.play(choice)
		holders := fleet.countHolders()
		if s.holders += holders; holders > 1 {
			s.t.Fatalf("%d nodes hold the lease after %v, want at most one", holders, choices)
		}
	}
	s.orders++
	state := fleet.state()
	if s.seen[state] || len(choices) == maxOrderLength || s.orders > maxOrders {
		return
	}
	s.seen[state] = true
	for choice := range len(fleet.inFlight) + 2 {
		s.explore(append(choices[:len(choices):len(choices)], choice))
	}
}

// orderedFleet is a fleet whose messages arrive in a chosen order.
type orderedFleet struct {
	now      time.Duration
	cores    [orderNodes]*Core
	inFlight []orderedPacket
}

type orderedPacket struct {
	from, to int
	data     string
}

// newOrderedFleet returns a fleet in which two of the three nodes have just requested the lease at once.
func newOrderedFleet(t *testing.T) *orderedFleet {
	t.Helper()
	fleet := &orderedFleet{}
	for i := range fleet.cores {
		fleet.cores[i] = newTestCore(t, Config{Self: i, Nodes: orderNodes, PeerListID: 1, Resources: []string{testResource}, LeaseDuration: testLease,
			Epoch: 1, Seed: uint64(i)})
		fleet.step(i, Tick{})
	}
	fleet.now = settled
	for i := range orderNodes - 1 {
		fleet.step(i, Tick{})
		fleet.cores[i].resources[0].own.nextRequest = fleet.now
		fleet.step(i, Tick{})
	}
	return fleet
}

func (f *orderedFleet) step(i int, event Event) {
	for _, effect := range f.cores[i].Step(f.now, event) {
		send, ok := effect.(Send)
		if !ok {
			continue
		}
		for to := range f.cores {
			if to != i && (send.To == AllNodes || send.To == to) {
				f.inFlight = append(f.inFlight, orderedPacket{i, to, string(send.Data)})
			}
		}
	}
}

// play carries out a choice. Choice 0 advances the time by half a lease and gives all nodes a tick. A choice from 1 to the number
// of messages in flight delivers the message with this number. A greater choice also advances the time by half a lease, but only
// one node gets a tick.
func (f *orderedFleet) play(choice int) {
	switch {
	case choice == 0:
		f.now += testLease / 2
		for i := range f.cores {
			f.step(i, Tick{})
		}
	case choice <= len(f.inFlight):
		arriving := f.inFlight[choice-1]
		f.inFlight = append(f.inFlight[:choice-1:choice-1], f.inFlight[choice:]...)
		f.step(arriving.to, MessageReceived{arriving.from, []byte(arriving.data)})
	default:
		f.now += testLease / 2
		f.step(choice%orderNodes, Tick{})
	}
}

func (f *orderedFleet) countHolders() int {
	holders := 0
	for _, core := range f.cores {
		if _, ok := core.Holds(f.now, testResource); ok {
			holders++
		}
	}
	return holders
}

// state describes everything on which the further behaviour of the fleet depends. Two fleets with equal texts behave alike.
func (f *orderedFleet) state() string {
	state := fmt.Sprint(f.now, f.inFlight)
	for _, core := range f.cores {
		r, own := core.resources[0], &core.resources[0].own
		state += fmt.Sprint(r.highestAcquired, r.highestGranted, r.released, r.grant.node, r.grant.token, r.grant.expiresAt,
			own.token, own.isAcquired, own.expiresAt, own.lastRound, own.rounds)
	}
	return state
}
