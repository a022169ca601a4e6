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
	Safe   Effect = iota // may be repeated at any time
	Keyed                // servers of one group drop repeats inside a window
	Unsafe               // may be repeated only when no earlier attempt can have run
)

// Group says which servers drop the repeats of a Keyed request.
type Group int

// The groups of servers that share what they have seen.
const (
	AllServers Group = iota // every server
	SameZone                // servers in the zone of the attempt that may have run
	SameCell                // servers in its cell
)

// Class describes one class of requests.
type Class struct {
	Name   string
	Worth  float64       // worth of one answer, relative to other classes
	Aim    time.Duration // an answer inside it earns the full worth
	Late   float64       // portion of the worth paid after the aim
	Effect Effect
	Group  Group         // Keyed only
	Window time.Duration // Keyed only: how long repeats are dropped, from the send that may have run
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its share, over all routers together
}

// Settings are what a router is told at its start.
type Settings struct {
	Routers    int    // how many routers share the traffic
	Zone       string // of this router
	Classes    []Class
	Tenants    []Tenant
	OverShare  float64 // portion of the worth left to traffic beyond a tenant's share
	OriginKind string  // kind of the server that is the origin; empty where servers fetch for themselves
	SizedUnits bool    // Server.Units states a size that should weigh in the spread of keys
	MustAsk    bool    // the server list comes only to a router that subscribes
	// A router without a subscription that has not asked for MustAskIn counts as told; DrainGrace after it was told that
	// a server drains or is gone, nothing more may be sent there.
	MustAskIn, DrainGrace time.Duration

	Probes  bool // Probe is allowed
	Peers   bool // Tell is allowed
	Cancels bool // Cancel is allowed

	// What idle connections cost: points of the service for 100 open at each server, and for a new one for each
	// request; and what each request costs that crosses zones once. Zero is no price.
	ConnectionPrice, HandshakePrice, CrossPrice float64

	// LeaveOwner is the share of reads that may leave the server which holds their key for one of the own zone, where
	// crossing zones has a price: zones.DefaultLeave, if nothing else is wanted, up to 1.
	LeaveOwner float64

	// ServersOut is the share of the cache servers that may be out at once before bad ones keep their keys: those that
	// drain, are silent or cold count, and what others give up by judgment. 0 is no bound.
	ServersOut float64

	MaxAttempts   int           // attempts a request may have
	MaxRetryAfter time.Duration // longest advice that clients follow; 0 where none may be given
	Tick          time.Duration // shortest gap between two calls with different times

	ColdFrom  float64       // portion of its capacity a server has at its start, at least
	WarmAfter time.Duration // it has all of it no later than this
	// FallFactor times its capacity of the moment pushes a cold server over.
	FallFactor float64
}

// ServerState is what the server list says of a server.
type ServerState int

// The states of a listed server.
const (
	Live     ServerState = iota // takes work
	Draining                    // finishes its work, takes nothing new
	Dead                        // taken away
)

// Server is one entry of the server list.
type Server struct {
	ID      string
	Zone    string
	Kind    string
	Cell    int
	State   ServerState
	Units   float64 // size against other servers, see Settings.SizedUnits
	Started Time    // last start; 0 means long ago
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

// ListScope says what a List holds.
type ListScope int

// The scopes of a list event.
const (
	Changes ListScope = iota // only the entries that changed
	Full                     // all servers; one that is missing is gone
	Cached                   // all servers as last known, perhaps long ago
	Failed                   // a call did not succeed or a subscription broke; the earlier list stays
)

// List is news from the server list.
type List struct {
	Scope   ListScope
	Servers []Server
}

// Reason is how an attempt or a probe ended.
type Reason int

// The reasons. Full, NoConnection, Moot and Miss prove that the attempt did not run.
const (
	OK           Reason = iota // served
	Errored                    // answered with an error
	Rejected                   // turned away unseen: the queue is full or the server drains
	TimedOut                   // no answer in time
	NoConnection               // no connection was made in time
	Reset                      // the connection broke
	Cancelled                  // called off by the router
	Moot                       // never sent
	Miss                       // nothing is held there for the key
	Spoilt                     // answered with what can't be read: it may have run, and the server is there
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

// Gone says that a client left: its request has ended.
type Gone struct{ ID uint64 }

// Streaming says that the answer of an attempt has started; it belongs to the client from here on.
type Streaming struct {
	ID      uint64
	Attempt int
}

// Probed is the result of a Probe.
type Probed struct {
	Server string
	Reason Reason
}

// Strain says that the program around the router is behind with its own work: a share of the requests that may be
// refused should be, from 0 (none) to 1 (all), until it is told anew.
type Strain struct{ Level float64 }

// Heard brings what another router told with Tell.
type Heard struct {
	From int // its number
	Data []byte
}

// Duty is something that one router may do for all, where the program around them agrees on who does.
type Duty int

// The duties.
const (
	Prober    Duty = iota // asks servers that are believed silent whether they are there again
	Caller                // calls for the list while that does not answer
	dutyCount             // no duty
)

// DutyNames are what operators call the duties, in their order.
var DutyNames = [dutyCount]string{"prober", "caller"}

// Who has a duty.
type Who = polling.Who

// The answers to that. Where nobody has it, each router does as if there were no duty.
const (
	Nobody  = polling.Nobody
	Self    = polling.Self
	Another = polling.Another
)

// Holder says who has a duty from now on, as far as is known.
type Holder struct {
	Duty Duty
	Who  Who
}

// Word brings what the holder of a duty told all routers with Spread: the Caller, that the list answers again.
type Word struct{ Duty Duty }

// Fleet says how many routers share the traffic from now on, this one among them; 0: as many as the settings say.
type Fleet struct{ Routers int }

// Timer says that a SetTimer has come due.
type Timer struct{ Token uint64 }

func (Request) event()   {}
func (List) event()      {}
func (Outcome) event()   {}
func (Gone) event()      {}
func (Streaming) event() {}
func (Probed) event()    {}
func (Timer) event()     {}
func (Strain) event()    {}
func (Heard) event()     {}
func (Holder) event()    {}
func (Word) event()      {}
func (Fleet) event()     {}

// Action is something the router wants done: one of the types below it.
type Action interface{ action() }

// Send starts an attempt. It waits for an answer until the client's deadline.
type Send struct {
	ID     uint64
	Server string
	By     Time // it has to be written by then, or not at all; 0 is no bound but the deadline
}

// Refuse is a final answer: the request was turned away and a new try does no harm.
type Refuse struct {
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

// Probe asks whether a server is there.
type Probe struct{ Server string }

// Close shuts the idle connections to a server.
type Close struct{ Server string }

// SetTimer asks for a Timer event at or after At.
type SetTimer struct {
	At    Time
	Token uint64
}

// Subscribe asks for the server list and its changes from now on.
type Subscribe struct{}

// Tell sends at most 256 bytes to all other routers, which may or may not arrive.
type Tell struct{ Data []byte }

// Spread tells all other routers what the holder of a duty has to say, which may or may not arrive.
type Spread struct{ Duty Duty }

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Probe) action()     {}
func (Close) action()     {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
func (Tell) action()      {}
func (Spread) action()    {}
func (Log) action()       {}
