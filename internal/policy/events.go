package policy

import (
	"time"

	"shelfproxy/internal/discovery/polling"
)

// Event is something that the router is notified of: one of the types below it.
type Event interface{ event() }

// Request is a client's request. The router owes it exactly one final answer by its Deadline.
type Request struct {
	ID       uint64
	Key      string // what it asks for; may be empty
	Class    string // the name of a Class; an unknown one counts as the first of Settings.Classes
	Tenant   string // may be empty
	Deadline Time   // when the client gives up
	Write    bool
}

// EndpointScope says what an EndpointUpdate holds.
type EndpointScope int

// The scopes of an endpoint update.
const (
	DeltaUpdate EndpointScope = iota // only the entries that changed
	FullUpdate                       // all servers; one that is missing is gone
	CachedList                       // all servers as last known, perhaps long ago
	PollFailed                       // a poll failed or a watch broke; the earlier list stays in force
)

// EndpointUpdate is a change of the endpoint list, or the failure to get one.
type EndpointUpdate struct {
	Scope   EndpointScope
	Servers []Server
}

// ServerState is what the endpoint list says of a server.
type ServerState int

// The states of a listed server.
const (
	Live     ServerState = iota // takes work
	Draining                    // finishes its work and takes nothing new
	Removed                     // taken away
)

// Server is one entry of the endpoint list.
type Server struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int
	State     ServerState
	Capacity  float64 // relative to other servers, see Settings.WeightByCapacity
	StartedAt Time    // last start; 0 means long ago
}

// Reason is how an attempt or a health check ended.
type Reason int

// The reasons. Rejected, NoConnection, NeverSent and Miss prove that the attempt was not executed.
const (
	Succeeded       Reason = iota // served
	Errored                       // answered with an error
	Rejected                      // rejected before execution: the queue is full or the server drains
	TimedOut                      // no answer in time
	NoConnection                  // no connection was made in time
	Reset                         // the connection broke
	Cancelled                     // cancelled by the router
	NeverSent                     // never sent
	Miss                          // the server holds nothing for the key
	CorruptResponse               // the answer can't be parsed: possibly executed, and the server responds
)

// Outcome says how one attempt ended.
type Outcome struct {
	ID      uint64
	Attempt int // attempts of a request count from 0 in the order of their Send
	Server  string
	Reason  Reason
	Took    time.Duration // time since the send
	Ended   bool          // the request has ended; no final answer is owed any more
}

// ClientDisconnected says that a client left: its request has ended.
type ClientDisconnected struct{ ID uint64 }

// ResponseStarted says that the response to an attempt has begun to arrive; it belongs to the client from here on.
type ResponseStarted struct {
	ID      uint64
	Attempt int
}

// HealthChecked is the result of a HealthCheck.
type HealthChecked struct {
	Server string
	Reason Reason
}

// LoadLevel says how far the program around the router is behind with its own work: the fraction, from 0 (none) to 1
// (all), of the requests that may be shed which should be. It holds until the next one.
type LoadLevel struct{ Level float64 }

// GossipReceived brings a datagram that another router sent with Gossip.
type GossipReceived struct {
	From int // number of the node that sent it
	Data []byte
}

// Role is work that one router may do for all, where the program around them agrees on which one does.
type Role int

// The roles.
const (
	HealthChecker   Role = iota // checks whether unresponsive servers respond again
	DiscoveryPoller             // polls discovery while it does not answer
	roleCount                   // number of roles
)

// RoleNames are the names that operators use for the roles, indexed by Role.
var RoleNames = [roleCount]string{"prober", "caller"}

// Responsibility says which router has a role.
type Responsibility = polling.Responsibility

// The values of a Responsibility. Where a role is unassigned, each router acts as if there were no role.
const (
	Unassigned        = polling.Unassigned
	AssignedHere      = polling.AssignedHere
	AssignedElsewhere = polling.AssignedElsewhere
)

// RoleAssigned says who has a role from now on, as far as is known.
type RoleAssigned struct {
	Role           Role
	Responsibility Responsibility
}

// RoleAnnouncement brings what the holder of a role announced to all routers with Announce: the DiscoveryPoller, that
// discovery answers again.
type RoleAnnouncement struct{ Role Role }

// FleetSize says how many routers share the traffic from now on, this one included; 0 means Settings.Nodes.
type FleetSize struct{ Nodes int }

// TimerFired says that a SetTimer has come due.
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
