package rollout

import "shelfproxy/internal/fleet/agreement"

// Event is an input of the core: one of the types below it.
type Event interface{ event() }

type (
	// Tick lets time pass. The core needs one at least every half HeartbeatInterval.
	Tick struct{}
	// MessageReceived is a datagram from another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// ServingStarted begins the observation of this node: it serves from now on.
	ServingStarted struct{}
	// ResponseCounts are this node's responses since the last such event; Failed and Slow are parts of Responses.
	ResponseCounts struct{ Responses, Failed, Slow int }
	// DrainRequested is an operator's request that this node drain as soon as it has a slot.
	DrainRequested struct{}
	// ShutdownStarted says that this node goes out of service now, with a slot or without one.
	ShutdownStarted struct{}
	// ReleaseOrdered is an operator's order to the whole fleet: each node that runs another release drains in its turn.
	// It also ends a halt.
	ReleaseOrdered struct{ Release string }
	// HaltRequested is an operator's request that no further node be granted a slot.
	HaltRequested struct{}
	// ResumeRequested ends a halt. It also lets a node that could not learn from enough others who is out grant slots.
	ResumeRequested struct{}
	// BudgetChanged replaces Budget and ZoneBudget. Values that Config.Validate rejects are ignored.
	BudgetChanged struct{ Budget, ZoneBudget int }
)

func (Tick) event()            {}
func (MessageReceived) event() {}
func (ServingStarted) event()  {}
func (ResponseCounts) event()  {}
func (DrainRequested) event()  {}
func (ShutdownStarted) event() {}
func (ReleaseOrdered) event()  {}
func (HaltRequested) event()   {}
func (ResumeRequested) event() {}
func (BudgetChanged) event()   {}

// Effect is an output of the core: one of the types below it.
type Effect interface{ effect() }

type (
	// Send sends a datagram to a node, or to all others if To is AllNodes.
	Send struct {
		To   int
		Data []byte
	}
	// DrainGranted allows this node to drain if it begins before Until.
	DrainGranted struct{ Until Time }
	// LogEvent is for the log and the counters.
	LogEvent struct {
		Kind   LogEventKind
		Node   int // that it is about
		Slot   int
		Reason Reason
	}
)

func (Send) effect()         {}
func (DrainGranted) effect() {}
func (LogEvent) effect()     {}

// AllNodes as a destination stands for all nodes but this one.
const AllNodes = agreement.AllNodes

// LogEventKind says what happened.
type LogEventKind int

// The kinds of log events.
const (
	LogSlotRequested    LogEventKind = iota // by this node
	LogSlotGranted                          // by this node, to the named one
	LogSlotDenied                           // by this node, to the named one
	LogSlotAcquired                         // by this node
	LogRequestAbandoned                     // by this node
	LogSlotReleased                         // by its holder
	LogSlotExpired                          // its holder was written off
	LogHalted
	LogResumed
	LogReleaseOrdered
	LogNodeReady
	LogNodeUnhealthy
	LogMessageCorrupt
	NumLogEventKinds // their number
)

// String returns the kind as it is written in the log and in the names of the counters.
func (k LogEventKind) String() string {
	return [...]string{"asked", "granted", "refused", "held", "gave_up", "freed", "expired", "halted", "resumed", "ordered", "fit", "broken", "garbled"}[k]
}
