package lease

import "shelfproxy/internal/fleet/agreement"

// Event is an input of the core: one of the types below it.
type Event interface{ event() }

type (
	// Tick lets time pass. The core needs one about 16 times in a LeaseDuration.
	Tick struct{}
	// MessageReceived is a datagram from another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// Announce sends an announcement under a lease to all other nodes, if this node holds the lease.
	Announce struct{ Resource string }
	// Resign gives back all leases and requests no more: the node is about to end.
	Resign struct{}
	// PeersChanged replaces the list of peers. Two lists in a row may differ by one node only, or two majorities need not
	// share one. A list that Config.Validate rejects, or that has the same PeerListID, is ignored.
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

// Effect is an output of the core: one of the types below it.
type Effect interface{ effect() }

type (
	// Send sends a datagram to a node, or to all others if To is AllNodes.
	Send struct {
		To   int
		Data []byte
	}
	// Acquired says that this node holds a lease from now on. It has to check Core.Holds whenever it acts on the lease.
	Acquired struct {
		Resource string
		Token    uint64 // fencing token
	}
	// Lost says that this node no longer holds a lease.
	Lost struct {
		Resource string
		Token    uint64
	}
	// HolderChanged says which node holds a lease as far as this one knows: another, itself, or NoNode.
	HolderChanged struct {
		Resource string
		Node     int
		Token    uint64
	}
	// Announced is an announcement of another node that holds a lease.
	Announced struct {
		Resource string
		Node     int
		Token    uint64
	}
	// LogEvent is for the log and the counters.
	LogEvent struct {
		Kind     LogEventKind
		Resource string
		Node     int // that it is about
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

// Values in place of a node's index.
const (
	AllNodes = agreement.AllNodes // as a destination: all nodes but this one
	NoNode   = agreement.NoNode   // as a holder: nobody
	ThisNode = -2                 // as a holder, in what agents report: this node
)

// LogEventKind says what happened.
type LogEventKind int

// The kinds of log events.
const (
	LogLeaseRequested   LogEventKind = iota // by this node
	LogLeaseAcquired                        // by this node
	LogLeaseLost                            // by this node
	LogRequestAbandoned                     // by this node
	LogLeaseDenied                          // by this node, to the named one
	LogHolderChanged                        // to the named node, not this one
	LogTokenStale                           // an announcement came under a token that is superseded
	LogMessageCorrupt
	NumLogEventKinds // their number
)

// String returns the kind as it is written in the log and in the names of the counters.
func (k LogEventKind) String() string {
	return [...]string{"asked", "held", "lost", "gave_up", "refused", "handed_over", "stale", "garbled"}[k]
}

// Reason says why a request was denied or a lease was lost. It is sent in messages.
type Reason byte

// The reasons.
const (
	ReasonGranted         Reason = iota // none: the request is granted
	ReasonTaken                         // another node holds the lease
	ReasonContested                     // another node has requested it and has not acquired it yet
	ReasonTokenSuperseded               // the token is not greater than the last one
	ReasonAbstaining                    // the node has just started: what it granted before is unknown to it
	ReasonExpired                       // too few answers came before the lease ended
	ReasonResigned                      // given back
	ReasonPeersChanged                  // the list of peers changed
	numReasons
)

// String returns the reason as it is written in the log.
func (r Reason) String() string {
	return [...]string{"granted", "taken", "contested", "old_token", "abstains", "expired", "resigned", "peers_changed"}[r]
}
