package policy

import (
	"time"

	"shelfproxy/internal/discovery/polling"
)

// Event is something that the router is notified of: one of the types below.
type Event interface{ event() }

// Request is a client's request. The router must give the client exactly one final answer by the request's Deadline.
type Request struct {
	ID       uint64
	Key      string // cache key that the request is for; may be empty
	Class    string // name of a Class; an unknown name means the first of Settings.Classes
	Tenant   string // name of the sending tenant; may be empty
	Deadline Time   // when the client gives up
	Write    bool
}

// EndpointScope says what an EndpointUpdate holds.
type EndpointScope int

// The scopes of an endpoint update.
const (
	DeltaUpdate EndpointScope = iota // only the entries that changed
	FullUpdate                       // all servers; a server that is not in the update has left the fleet
	CachedList                       // all servers of the last known list, which may be old
	PollFailed                       // nothing: a poll failed or a watch broke, and the earlier list stays in force
)

// EndpointUpdate reports a change of the endpoint list, or that a poll or a watch failed.
type EndpointUpdate struct {
	Scope   EndpointScope
	Servers []Server
}

// ServerState is the state of a server in the endpoint list.
type ServerState int

// The states of a listed server.
const (
	Live     ServerState = iota // the server accepts requests
	Draining                    // the server finishes its requests and accepts no new ones
	Removed                     // the server is no longer part of the fleet
)

// Server is one entry of the endpoint list.
type Server struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int
	State     ServerState
	Capacity  float64 // capacity relative to other servers, see Settings.WeightByCapacity
	StartedAt Time    // when the server last started; 0 means long ago
}

// Reason says how an attempt or a health check ended.
type Reason int

// The ways in which an attempt or a health check ends. Rejected, NoConnection, NeverSent and Miss prove that the
// attempt was not executed.
const (
	Succeeded       Reason = iota // answered with success
	Errored                       // answered with an error
	Rejected                      // rejected before execution, because the server drains or its queue is full
	TimedOut                      // no answer in time
	NoConnection                  // no connection was established in time
	Reset                         // the connection broke
	Cancelled                     // cancelled by the router
	NeverSent                     // the attempt was never written to a connection
	Miss                          // the server holds nothing for the key
	CorruptResponse               // unparsable answer: the server responds and may have executed the attempt
	Displaced                     // connection closed because of another attempt on it; not the fault of the server
)

// Outcome says how one attempt ended.
type Outcome struct {
	ID      uint64
	Attempt int // index of the attempt among the request's Send actions, from 0
	Server  string
	Reason  Reason
	Took    time.Duration // time from the Send action to the end of the attempt
	Ended   bool          // the request has ended, so the router must not answer it any more
}

// ClientDisconnected says that the client of a request disconnected, which ends the request.
type ClientDisconnected struct{ ID uint64 }

// ResponseStarted says that the response to an attempt has begun to arrive. From then on the router's caller forwards
// the response to the client.
type ResponseStarted struct {
	ID      uint64
	Attempt int
}

// HealthChecked is the result of a HealthCheck.
type HealthChecked struct {
	Server string
	Reason Reason
}

// LoadLevel says how far the program around the router is behind with its own work. Level ranges from 0, at which no
// requests are shed for this reason, to 1, at which all but critical requests are shed. The level applies until the
// next LoadLevel.
type LoadLevel struct{ Level float64 }

// GossipReceived delivers a datagram that another router sent with Gossip.
type GossipReceived struct {
	From int // number of the sending node
	Data []byte
}

// Role is work that one router may do for all routers. The programs around the routers agree on which router does the
// work.
type Role int

// The roles that a router may have.
const (
	HealthChecker   Role = iota // checks whether unresponsive servers respond again
	DiscoveryPoller             // polls discovery on behalf of all routers while discovery does not answer
	roleCount                   // number of roles
)

// RoleNames holds the names that operators see for the roles, indexed by Role.
var RoleNames = [roleCount]string{"prober", "caller"}

// Responsibility says which router has a role.
type Responsibility = polling.Responsibility

// Who has a role: no router, this router or another one. While no router has the role, each router does the work for
// itself.
const (
	Unassigned        = polling.Unassigned
	AssignedHere      = polling.AssignedHere
	AssignedElsewhere = polling.AssignedElsewhere
)

// RoleAssigned says which router has a role from now on, as far as this node knows.
type RoleAssigned struct {
	Role           Role
	Responsibility Responsibility
}

// RoleAnnouncement delivers the announcement that the holder of a role sent with Announce. The DiscoveryPoller
// announces that discovery answers again.
type RoleAnnouncement struct{ Role Role }

// FleetSize says how many routers, including this one, share the traffic from now on. 0 means Settings.Nodes.
type FleetSize struct{ Nodes int }

// TimerFired says that the timer of a SetTimer action has fired.
type TimerFired struct{ Token uint64 }

func (Request) event()            {}
func (EndpointUpdate) event()     {}
func (Outcome) event()            {}
func (ClientDisconnected) event() {}
func (ResponseStarted) event()    {}
func (HealthChecked) event()      {}
func (TimerFired) event()         {}
func (LoadLevel) event()          {}
func (GossipReceived) event()     {}
func (RoleAssigned) event()       {}
func (RoleAnnouncement) event()   {}
func (FleetSize) event()          {}
