package model

// Events that the driver passes to System.Step.
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
	// RequestArrived reports that the last byte of a request was written to a connection. The system sets its Work.
	RequestArrived struct{ Request }
	// HealthCheck asks a server whether it is alive or, with Load set, for its load report.
	HealthCheck struct {
		Conn ConnID
		Seq  uint64
		Load bool
	}
	// DiscoveryCall is a call to the discovery service. It asks for the full list or, with Watch set, for all changes
	// after the version After, including those to come.
	DiscoveryCall struct {
		Call  uint64
		Node  int
		Watch bool
		After int64
	}
	// DiscoveryCancelled reports that the node cancelled a call to the discovery service.
	DiscoveryCancelled struct{ Call uint64 }
)

func (Connect) event()            {}
func (Closed) event()             {}
func (RequestArrived) event()     {}
func (HealthCheck) event()        {}
func (DiscoveryCall) event()      {}
func (DiscoveryCancelled) event() {}
