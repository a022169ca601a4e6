package rollout

import "shelfproxy/internal/fleet/agreement"

// Event is an input of the core. It is one of the event types below.
type Event interface{ event() }

type (
	// Tick makes the core do what has become due by the clock. The core needs a tick at least every half HeartbeatInterval.
	Tick struct{}
	// MessageReceived is a datagram from another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// ServingStarted reports that this node serves requests from now on. For an ObservationPeriod, its rates of failed and of
	// slow responses are compared with those of the other nodes.
	ServingStarted struct{}
	// ResponseCounts holds the numbers of this node's responses since the last ResponseCounts. Failed and slow responses are
	// also counted in Responses.
	ResponseCounts struct{ Responses, Failed, Slow int }
	// DrainRequested is an operator's request that this node drain as soon as it has a slot.
	DrainRequested struct{}
	// ShutdownStarted reports that this node goes out of service now, with a slot or without one.
	ShutdownStarted struct{}
	// ReleaseOrdered is an operator's order to the whole fleet: each node that runs another release drains when it has a slot.
	// The order also ends a halt.
	ReleaseOrdered struct{ Release string }
	// HaltRequested is an operator's request that no further node be granted a slot.
	HaltRequested struct{}
	// ResumeRequested is an operator's request to end a halt. A node that has started grants no slots until enough other nodes
	// told it which slots are granted; after ResumeRequested, it no longer waits for them.
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

// Effect is an output of the core. It is one of the effect types below.
type Effect interface{ effect() }

type (
	// Send asks the shell to send a datagram to the node To, or to all other nodes if To is AllNodes.
	Send struct {
		To   int
		Data []byte
	}
	// DrainGranted allows this node to drain if it begins before Until.
	DrainGranted struct{ Until Time }
	// LogEvent asks the shell to log an event and to count it.
	LogEvent struct {
		Kind   LogEventKind
		Node   int // index of the node that the event is about
		Slot   int
		Reason Reason
	}
)

func (Send) effect()         {}
func (DrainGranted) effect() {}
func (LogEvent) effect()     {}

// AllNodes as the destination of a message means all nodes except this one.
const AllNodes = agreement.AllNodes

// LogEventKind is the kind of a LogEvent.
type LogEventKind int

// Kinds of log events.
const (
	LogSlotRequested    LogEventKind = iota // this node requested a slot
	LogSlotGranted                          // this node granted a slot to the node that the event names
	LogSlotDenied                           // this node denied a slot to the node that the event names
	LogSlotAcquired                         // this node acquired a slot
	LogRequestAbandoned                     // this node abandoned a request for a slot
	LogSlotReleased                         // the holder of a slot released it
	LogSlotExpired                          // a slot expired, as its holder did not return in time and sends no heartbeats
	LogHalted                               // the release is halted: no node is granted a slot
	LogResumed                              // an operator ended a halt
	LogReleaseOrdered                       // an operator ordered the fleet to run a release
	LogNodeReady                            // this node is in service
	LogNodeUnhealthy                        // this node has too many failed or slow responses after its start
	LogMessageCorrupt                       // a datagram was damaged or unknown
	NumLogEventKinds                        // number of kinds of log events
)

// String returns the kind as it is written in the log and in the names of the counters.
func (k LogEventKind) String() string {
	return [...]string{"asked", "granted", "refused", "held", "gave_up", "freed", "expired", "halted", "resumed", "ordered", "fit", "broken", "garbled"}[k]
}
