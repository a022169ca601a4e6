package membership

// Event is an input of Core.Step: one of the types below.
type Event interface{ event() }

type (
	// Tick says that time has passed. The core wants one every half ProbeTimeout or so.
	Tick struct{}
	// MessageReceived brings a datagram of another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// ShutdownStarted says that this node is about to end.
	ShutdownStarted struct{}
	// PeersChanged replaces the list of nodes. The state of all other nodes is unknown then. A list that Config.Validate rejects
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

// Effect is an output of Core.Step, to be carried out by its caller: one of the types below.
type Effect interface{ effect() }

type (
	// Send sends a datagram to a node.
	Send struct {
		To   int
		Data []byte
	}
	// StateChanged says that another node is in another state from now on, or in the same one with a later incarnation.
	StateChanged struct {
		Node        int
		From        State
		To          State
		Incarnation uint64
	}
	// FleetSizeChanged says what Core.FleetSize returns from now on.
	FleetSizeChanged struct{ Nodes int }
	// IncarnationConflict says that another process with this node's name and a later incarnation was learnt of. Either this
	// node's clock was set back since, or that process runs now; in the latter case the conflict recurs. This node's
	// incarnation becomes a later one than the other's.
	IncarnationConflict struct{ Incarnation uint64 }
	// MessageRejected says that a datagram was ignored: it was corrupt, or its sender has another list of nodes.
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
