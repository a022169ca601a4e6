package membership

// Event is an input of Core.Step: Tick, MessageReceived, ShutdownStarted or PeersChanged.
type Event interface{ event() }

type (
	// Tick says that time has passed. The core needs a Tick about every half ProbeTimeout to notice expired timeouts.
	Tick struct{}
	// MessageReceived is a datagram from another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// ShutdownStarted says that this node is shutting down.
	ShutdownStarted struct{}
	// PeersChanged replaces the list of nodes. The state of all other nodes becomes Unknown. A list that Config.Validate rejects
	// is ignored.
	PeersChanged struct {
		Self, Nodes int
		PeerListID  uint32
	}
)

func (Tick) event()            {}
func (MessageReceived) event() {}
func (ShutdownStarted) event() {}
func (PeersChanged) event()    {}

// Effect is an output of Core.Step that the caller has to carry out: Send, StateChanged, FleetSizeChanged, IncarnationConflict or
// MessageRejected.
type Effect interface{ effect() }

type (
	// Send sends a datagram to a node.
	Send struct {
		To   int
		Data []byte
	}
	// StateChanged says that the state of another node changed, or that the node has a later incarnation in the same state.
	StateChanged struct {
		Node        int
		From        State
		To          State
		Incarnation uint64
	}
	// FleetSizeChanged says that Core.FleetSize now returns Nodes.
	FleetSizeChanged struct{ Nodes int }
	// IncarnationConflict says that this node learned of another process with this node's name and a later incarnation. Either
	// this node's clock was set back after that process started, or that process is still running. In the latter case the
	// conflict recurs. This node raises its own incarnation above that of the other process.
	IncarnationConflict struct{ Incarnation uint64 }
	// MessageRejected says that a datagram was ignored because the datagram was corrupt or, if OtherPeerList is set, because its
	// sender has another list of nodes.
	MessageRejected struct {
		From          int
		OtherPeerList bool
	}
)

func (Send) effect()                {}
func (StateChanged) effect()        {}
func (FleetSizeChanged) effect()    {}
func (IncarnationConflict) effect() {}
func (MessageRejected) effect()     {}
