package model

// Events that a driver passes to System.Step.
type (
	// Event is one of Connect, Closed, RequestArrived, HealthCheck, DiscoveryCall and DiscoveryCancelled.
	Event interface{ event() }
	// Connect reports that a connection of a node was established with the server of a slot.
	Connect struct {
		Conn       ConnID
		Node, Slot int
	}
	// Closed reports that the node closed a connection.
	Closed struct{ Conn ConnID }
	// RequestArrived reports that the last byte of a request was written to a connection. Its Work is set by the system.
	RequestArrived struct{ Request }
	// HealthCheck asks a server for a sign of life or, with Load, for its load report.
	HealthCheck struct {
		Conn ConnID
		Seq  uint64
		Load bool
	}
	// DiscoveryCall is a call of the discovery service: for the full list or, with Watch, for the changes after a
	// version and all that follow.
	DiscoveryCall struct {
		Call  uint64
		Node  int
		Watch bool
		After int64
	}
	// DiscoveryCancelled ends a call from the node's side.
	DiscoveryCancelled struct{ Call uint64 }
)

func (Connect) event()            {}
func (Closed) event()             {}
func (RequestArrived) event()     {}
func (HealthCheck) event()        {}
func (DiscoveryCall) event()      {}
func (DiscoveryCancelled) event() {}
