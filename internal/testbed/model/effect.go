package model

// AcceptorState says what happens to new connections to a slot.
type AcceptorState int

// The states of an acceptor.
const (
	Accepting    AcceptorState = iota // connections are established
	Refusing                          // connections are refused
	Unresponsive                      // connections are neither established nor refused
)

// Effects that a driver carries out.
type (
	// Effect is one of Acceptor, Reset, Response, DiscoveryReply, RequestExecuted, ServerOverloaded, ServerStarted,
	// ServerListed and DiscoveryReachable.
	Effect interface{ effect() }
	// Acceptor sets what happens to new connections from a node to a slot. Every acceptor is Refusing at first.
	Acceptor struct {
		Slot, Node int
		State      AcceptorState
	}
	// Reset closes a connection from the server's side and discards what is in transit on it.
	Reset struct{ Conn ConnID }
	// Response is written to a connection, after the responses that were written to it before.
	Response struct {
		Conn       ConnID
		Seq        uint64
		Server     string
		Request    string // id of the client's request; empty for a health check
		Outcome    Outcome
		Copy       Copy
		Load       Load
		Corruption CorruptionKind
		HasLoad    bool // the load report was asked for
	}
	// DiscoveryReply is what the discovery service writes to a call. After a reply that Ends the call gets nothing
	// more; one that Failed is a status 503, or a reset if the response had begun.
	DiscoveryReply struct {
		Call         uint64
		List         *List // nil is a heartbeat, an empty line
		Ends, Failed bool
	}
	// RequestExecuted reports to the invariants that work on a request began. Nodes do not see it.
	RequestExecuted struct {
		Request, Server, Class string
		Seq                    uint64
	}
	// ServerOverloaded reports that a cache server in slow start crashed from overload.
	ServerOverloaded struct{ Server string }
	// ServerStarted reports to the invariants that the process of a cache server started with an empty cache. At is
	// the start time that the endpoint list will give.
	ServerStarted struct {
		Server string
		At     Time
	}
	// ServerListed reports to the invariants that the discovery service has a new state of a server to send.
	ServerListed struct {
		Server string
		State  State
	}
	// DiscoveryReachable reports to the invariants whether the discovery service answers. It does at first.
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

// WasNotExecuted reports whether a response proves that the attempt was not executed: it was rejected, or the server had
// no copy.
func (r Response) WasNotExecuted() bool { return r.Outcome == RejectedUnseen || r.Outcome == Miss }

// HasValue reports whether a response holds a value for the request that can be decoded.
func (r Response) HasValue() bool {
	return r.Corruption.IsDecodable() && (r.Outcome == Hit || r.Outcome == Written)
}
