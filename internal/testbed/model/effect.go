package model

// AcceptorState says what happens to new connections to a slot.
type AcceptorState int

// States of an acceptor.
const (
	Accepting    AcceptorState = iota // new connections are established
	Refusing                          // new connections are refused
	Unresponsive                      // new connections are neither established nor refused
)

// Effects that the driver carries out.
type (
	// Effect is one of Acceptor, Reset, Response, DiscoveryReply, RequestExecuted, ServerOverloaded, ServerStarted,
	// ServerListed and DiscoveryReachable.
	Effect interface{ effect() }
	// Acceptor sets what happens to new connections from a node to a slot. Every acceptor is Refusing at first.
	Acceptor struct {
		Slot, Node int
		State      AcceptorState
	}
	// Reset closes a connection from the server's side and discards the data in transit on it.
	Reset struct{ Conn ConnID }
	// Response is written to a connection, after all earlier responses on it.
	Response struct {
		Conn       ConnID
		Seq        uint64
		Server     string
		Request    string // id of the client's request; empty for a health check
		Outcome    Outcome
		Copy       Copy
		Load       Load
		Corruption CorruptionKind
		HasLoad    bool // the health check asked for the load report
	}
	// DiscoveryReply is what the discovery service writes to a call. A reply with Ends set is the last one of the call.
	// A reply with Failed set is an HTTP status 503, or a reset of the connection if the response had begun.
	DiscoveryReply struct {
		Call         uint64
		List         *List // nil in a heartbeat, which is an empty line, and in a failure
		Ends, Failed bool
	}
	// RequestExecuted reports to the invariants that a server executed a request. The origin reports the start of the
	// execution, a cache server its end. Nodes do not see this effect.
	RequestExecuted struct {
		Request, Server, Class string
		Seq                    uint64
	}
	// ServerOverloaded reports that a cache server in slow start crashed from overload.
	ServerOverloaded struct{ Server string }
	// ServerStarted reports to the invariants that the process of a cache server started with an empty cache. At is
	// the start time that the endpoint list will show.
	ServerStarted struct {
		Server string
		At     Time
	}
	// ServerListed reports to the invariants that the endpoint list of the discovery service has a new state of a server.
	ServerListed struct {
		Server string
		State  State
	}
	// DiscoveryReachable reports to the invariants whether the discovery service answers. At the start of
	// a run it answers.
	DiscoveryReachable struct{ Up bool }
)

func (Acceptor) effect()           {}
func (Reset) effect()              {}
func (Response) effect()           {}
func (DiscoveryReply) effect()     {}
func (RequestExecuted) effect()    {}
func (ServerOverloaded) effect()   {}
func (ServerStarted) effect()      {}
func (ServerListed) effect()       {}
func (DiscoveryReachable) effect() {}

// WasNotExecuted reports whether a response proves that the attempt was not executed. This is so if the server rejected
// the attempt or had no copy.
func (r Response) WasNotExecuted() bool { return r.Outcome == Rejected || r.Outcome == Miss }

// HasValue reports whether a response can be decoded and holds a value for the request.
func (r Response) HasValue() bool {
	return r.Corruption.IsDecodable() && (r.Outcome == Hit || r.Outcome == Written)
}
