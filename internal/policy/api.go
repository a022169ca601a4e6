// Package brain makes the decisions of a router that spreads keys over cache servers in front of a
// slow origin: where each request goes, when it is repeated, and when it is refused.
//
// A program feeds a Router the events it sees and carries out the actions it returns. The package has
// no clock, I/O, goroutines or random source of its own, so identical events give identical actions.
// A Router is not safe for concurrent use.
package policy

import (
	"time"

	"shelfproxy/internal/discovery/polling"
)

// Time is a point on the caller's clock, counted from any fixed origin. It only moves forward.
type Time = time.Duration

// Effect says how far a class of requests may be repeated.
type Effect int

// The effects of a request.
const (
	Idempotent   Effect = iota // may be repeated at any time
	Deduplicated               // servers of one group drop repeats inside a window
	AtMostOnce                 // may be repeated only when no earlier attempt can have run
)

// DedupScope says which servers drop the repeats of a Keyed request.
type DedupScope int

// The groups of servers that share what they have seen.
const (
	AllServers DedupScope = iota // every server
	SameZone                     // servers in the zone of the attempt that may have run
	SameCell                     // servers in its cell
)

// Class describes one class of requests.
type Class struct {
	Name             string
	PriorityWeight   float64       // worth of one answer, relative to other classes
	LatencyObjective time.Duration // an answer inside it earns the full worth
	LateFraction     float64       // portion of the worth paid after the aim
	Effect           Effect
	DedupScope       DedupScope    // Keyed only
	DedupWindow      time.Duration // Keyed only: how long repeats are dropped, from the send that may have run
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its share, over all routers together
}

// Settings are what a router is told at its start.
type Settings struct {
	Nodes             int    // how many routers share the traffic
	Zone              string // of this router
	Classes           []Class
	Tenants           []Tenant
	OverQuotaFraction float64 // portion of the worth left to traffic beyond a tenant's share
	OriginKind        string  // kind of the server that is the origin; empty where servers fetch for themselves
	WeightByCapacity  bool    // Server.Units states a size that should weigh in the spread of keys
	MustPoll          bool    // the server list comes only to a router that subscribes
	// A router without a subscription that has not asked for MustAskIn counts as told; DrainGrace after it was told that
	// a server drains or is gone, nothing more may be sent there.
	MaxPollInterval, DrainGrace time.Duration

	MayHealthCheck bool // Probe is allowed
	MayGossip      bool // Tell is allowed
	MayCancel      bool // Cancel is allowed

	// What idle connections cost: points of the service for 100 open at each server, and for a new one for each
	// request; and what each request costs that crosses zones once. Zero is no price.
	ConnectionCost, HandshakeCost, CrossZoneCost float64

	// AffinityBudget is the share of reads that may leave the server which holds their key for one of the own zone, where
	// crossing zones has a price: zones.DefaultLeave, if nothing else is wanted, up to 1.
	AffinityBudget float64

	// MaxEjectedFraction is the share of the cache servers that may be out at once before bad ones keep their keys: those that
	// drain, are silent or cold count, and what others give up by judgment. 0 is no bound.
	MaxEjectedFraction float64

	MaxAttempts   int           // attempts a request may have
	MaxRetryAfter time.Duration // longest advice that clients follow; 0 where none may be given
	Tick          time.Duration // shortest gap between two calls with different times

	SlowStartFloor    float64       // portion of its capacity a server has at its start, at least
	SlowStartDuration time.Duration // it has all of it no later than this
	// OverloadFactor times its capacity of the moment pushes a cold server over.
	OverloadFactor float64
}

// ServerState is what the server list says of a server.
type ServerState int

// The states of a listed server.
const (
	Live     ServerState = iota // takes work
	Draining                    // finishes its work, takes nothing new
	Removed                     // taken away
)

// Server is one entry of the server list.
type Server struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int
	State     ServerState
	Capacity  float64 // size against other servers, see Settings.SizedUnits
	StartedAt Time    // last start; 0 means long ago
}

// Event is something the router is told: one of the types below it.
type Event interface{ event() }

// Request is a client's request; the router owes it exactly one final answer by its Deadline.
type Request struct {
	ID       uint64
	Key      string // what it asks for; may be empty
	Class    string
	Tenant   string // may be empty
	Deadline Time   // when the client gives up
	Write    bool
}

// EndpointScope says what a List holds.
type EndpointScope int

// The scopes of a list event.
const (
	DeltaUpdate EndpointScope = iota // only the entries that changed
	FullUpdate                       // all servers; one that is missing is gone
	CachedList                       // all servers as last known, perhaps long ago
	PollFailed                       // a call did not succeed or a subscription broke; the earlier list stays
)

// EndpointUpdate is news from the server list.
type EndpointUpdate struct {
	Scope   EndpointScope
	Servers []Server
}

// Reason is how an attempt or a probe ended.
type Reason int

// The reasons. Full, NoConnection, Moot and Miss prove that the attempt did not run.
const (
	Succeeded       Reason = iota // served
	Errored                       // answered with an error
	Rejected                      // turned away unseen: the queue is full or the server drains
	TimedOut                      // no answer in time
	NoConnection                  // no connection was made in time
	Reset                         // the connection broke
	Cancelled                     // called off by the router
	NeverSent                     // never sent
	Miss                          // nothing is held there for the key
	CorruptResponse               // answered with what can't be read: it may have run, and the server is there
)

// Outcome ends one attempt.
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

// ResponseStarted says that the answer of an attempt has started; it belongs to the client from here on.
type ResponseStarted struct {
	ID      uint64
	Attempt int
}

// HealthChecked is the result of a Probe.
type HealthChecked struct {
	Server string
	Reason Reason
}

// LoadLevel says that the program around the router is behind with its own work: a share of the requests that may be
// refused should be, from 0 (none) to 1 (all), until it is told anew.
type LoadLevel struct{ Level float64 }

// GossipReceived brings what another router told with Tell.
type GossipReceived struct {
	From int // its number
	Data []byte
}

// Role is something that one router may do for all, where the program around them agrees on who does.
type Role int

// The duties.
const (
	HealthChecker   Role = iota // asks servers that are believed silent whether they are there again
	DiscoveryPoller             // calls for the list while that does not answer
	roleCount                   // no duty
)

// RoleNames are what operators call the duties, in their order.
var RoleNames = [roleCount]string{"prober", "caller"}

// Responsibility has a duty.
type Responsibility = polling.Responsibility

// The answers to that. Where nobody has it, each router does as if there were no duty.
const (
	Unassigned        = polling.Unassigned
	AssignedHere      = polling.AssignedHere
	AssignedElsewhere = polling.AssignedElsewhere
)

// RoleAssigned says who has a duty from now on, as far as is known.
type RoleAssigned struct {
	Role           Role
	Responsibility Responsibility
}

// RoleAnnouncement brings what the holder of a duty told all routers with Spread: the Caller, that the list answers again.
type RoleAnnouncement struct{ Role Role }

// FleetSize says how many routers share the traffic from now on, this one among them; 0: as many as the settings say.
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

// Action is something the router wants done: one of the types below it.
type Action interface{ action() }

// Send starts an attempt. It waits for an answer until the client's deadline.
type Send struct {
	ID      uint64
	Server  string
	WriteBy Time // it has to be written by then, or not at all; 0 is no bound but the deadline
}

// Reject is a final answer: the request was turned away and a new try does no harm.
type Reject struct {
	ID         uint64
	RetryAfter time.Duration // how long the client should keep away; 0 is no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID uint64 }

// Cancel stops the wait for an attempt.
type Cancel struct {
	ID      uint64
	Attempt int
}

// HealthCheck asks whether a server is there.
type HealthCheck struct{ Server string }

// CloseIdle shuts the idle connections to a server.
type CloseIdle struct{ Server string }

// SetTimer asks for a Timer event at or after At.
type SetTimer struct {
	At    Time
	Token uint64
}

// Subscribe asks for the server list and its changes from now on.
type Subscribe struct{}

// Gossip sends at most 256 bytes to all other routers, which may or may not arrive.
type Gossip struct{ Data []byte }

// Announce tells all other routers what the holder of a duty has to say, which may or may not arrive.
type Announce struct{ Role Role }

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action()        {}
func (Reject) action()      {}
func (Fail) action()        {}
func (Cancel) action()      {}
func (HealthCheck) action() {}
func (CloseIdle) action()   {}
func (SetTimer) action()    {}
func (Subscribe) action()   {}
func (Gossip) action()      {}
func (Announce) action()    {}
func (Log) action()         {}
