package lease

import "shelfproxy/internal/fleet/agreement"

// Event is an input of the core. It is one of the event types below.
type Event interface{ event() }

type (
	// Tick makes the core do what has become due by the clock. The core needs about 16 ticks in a LeaseDuration.
	Tick struct{}
	// MessageReceived is a datagram from another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// Announce makes the core send an announcement to all other nodes, if this node holds the lease on Resource. The
	// announcement carries the token of the lease.
	Announce struct{ Resource string }
	// Resign makes the core give back all leases and request no more, because the node is about to exit.
	Resign struct{}
	// PeersChanged replaces the list of peers. Two successive lists may differ by one node only: otherwise a majority of the
	// old list need not share a node with a majority of the new list. A list is ignored if Config.Validate rejects it, or if its
	// PeerListID is that of the current list.
	PeersChanged struct {
		Self, Nodes int
		PeerListID  uint32
	}
)

func (Tick) event()            {}
func (MessageReceived) event() {}
func (Announce) event()        {}
func (Resign) event()          {}
func (PeersChanged) event()    {}

// Effect is an output of the core. It is one of the effect types below.
type Effect interface{ effect() }

type (
	// Send asks the shell to send a datagram to the node To, or to all other nodes if To is AllNodes.
	Send struct {
		To   int
		Data []byte
	}
	// Acquired reports that this node holds a lease from now on. The node has to check Core.Holds whenever it acts on the
	// lease.
	Acquired struct {
		Resource string
		Token    uint64 // fencing token
	}
	// Lost reports that this node no longer holds a lease.
	Lost struct {
		Resource string
		Token    uint64
	}
	// HolderChanged reports which node holds a lease, as far as this node knows. Node may also be this node, or NoNode.
	HolderChanged struct {
		Resource string
		Node     int
		Token    uint64
	}
	// Announced reports an announcement from another node that holds a lease.
	Announced struct {
		Resource string
		Node     int
		Token    uint64
	}
	// LogEvent asks the shell to log an event and to count it.
	LogEvent struct {
		Kind     LogEventKind
		Resource string
		Node     int // index of the node that the event is about
		Token    uint64
		Reason   Reason
	}
)

func (Send) effect()          {}
func (Acquired) effect()      {}
func (Lost) effect()          {}
func (HolderChanged) effect() {}
func (Announced) effect()     {}
func (LogEvent) effect()      {}

// Special values in place of the index of a node.
const (
	AllNodes = agreement.AllNodes // destination: all nodes except this one
	NoNode   = agreement.NoNode   // holder: no node
	ThisNode = -2                 // holder, in the calls of the agent's HolderChanged function: this node
)

// LogEventKind is the kind of a LogEvent.
type LogEventKind int

// Kinds of log events.
const (
	LogLeaseRequested   LogEventKind = iota // this node requested a lease
	LogLeaseAcquired                        // this node acquired a lease
	LogLeaseLost                            // this node no longer holds a lease
	LogRequestAbandoned                     // this node abandoned a request for a lease
	LogLeaseDenied                          // this node denied a lease to the node that the event names
	LogHolderChanged                        // the node that the event names, not this one, holds a lease now
	LogTokenStale                           // an announcement was ignored, as its token is outdated
	LogMessageCorrupt                       // a datagram was damaged, unknown, or had a token above the greatest valid one
	NumLogEventKinds                        // number of kinds of log events
)

// String returns the kind as it is written in the log and in the names of the counters.
func (k LogEventKind) String() string {
	return [...]string{"asked", "held", "lost", "gave_up", "refused", "handed_over", "stale", "garbled"}[k]
}

// Reason says why a request was denied or a lease was lost. It is sent in messages.
type Reason byte

// Reasons why a request is denied or a lease is lost.
const (
	ReasonGranted         Reason = iota // no denial: the request is granted
	ReasonTaken                         // another node holds the lease
	ReasonContested                     // another node has requested the lease and has no majority yet
	ReasonTokenSuperseded               // the sender gave the token of the request back, or a greater one is known
	ReasonAbstaining                    // the answering node has just started or got a new list of peers, and grants nothing yet
	ReasonExpired                       // too few nodes renewed the lease before it ended
	ReasonResigned                      // the node gave the lease back, as it is about to exit
	ReasonPeersChanged                  // the list of peers changed
	numReasons
)

// String returns the reason as it is written in the log.
func (r Reason) String() string {
	return [...]string{"granted", "taken", "contested", "old_token", "abstains", "expired", "resigned", "peers_changed"}[r]
}
