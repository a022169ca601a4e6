package supervisor

import "time"

// Event is an input of the core: one of the types below.
type Event interface{ event() }

type (
	// Tick lets the core act on time that has passed.
	Tick struct{}
	// Ready reports that a process serves.
	Ready struct{ Process int }
	// ResponseCounts counts the responses of a process since its last such event, and the failures among them.
	ResponseCounts struct{ Process, Responses, Failed int }
	// Exited reports that a process has ended or could not be started. Clean: it ended by itself with exit code 0.
	Exited struct {
		Process int
		Clean   bool
	}
	// ReplaceRequested asks for the processes of one instance to be replaced.
	ReplaceRequested struct{ Instance int }
	// ReplaceAllRequested asks for all instances to be replaced in turn.
	ReplaceAllRequested struct{}
	// HaltRequested stops replacing; a replacement that is in progress is finished.
	HaltRequested struct{}
	// ResumeRequested continues replacing after a halt.
	ResumeRequested struct{}
	// StopRequested terminates all processes.
	StopRequested struct{}
)

func (Tick) event()                {}
func (Ready) event()               {}
func (ResponseCounts) event()      {}
func (Exited) event()              {}
func (ReplaceRequested) event()    {}
func (ReplaceAllRequested) event() {}
func (HaltRequested) event()       {}
func (ResumeRequested) event()     {}
func (StopRequested) event()       {}

// Effect is an output of the core: one of the types below.
type Effect interface{ effect() }

type (
	// Start starts a process of an instance. Process numbers it from 1; a number is not used again.
	Start struct{ Instance, Process int }
	// Terminate tells a process to shut down. Replaced: its successor serves new connections from now on.
	Terminate struct {
		Process  int
		Replaced bool
	}
	// Kill ends a process at once.
	Kill struct{ Process int }
	// Stopped says that the last process has ended after StopRequested.
	Stopped struct{}
	// LogEvent is written to the log.
	LogEvent struct {
		Kind              LogEventKind
		Instance, Process int           // Instance is noInstance, -1, if the event is about none in particular
		Wait              time.Duration // LogBackoff: before the next start
	}
)

func (Start) effect()     {}
func (Terminate) effect() {}
func (Kill) effect()      {}
func (Stopped) effect()   {}
func (LogEvent) effect()  {}

// noInstance and noProcess stand in log events that are about none in particular.
const (
	noInstance = -1
	noProcess  = 0
)

// LogEventKind is what a LogEvent reports.
type LogEventKind int

// The kinds of log events.
const (
	LogStarted          LogEventKind = iota // a process was started
	LogServing                              // a process is ready
	LogReplaced                             // a process was told to terminate, as its successor is ready
	LogEnded                                // a process ended as it was told
	LogDrained                              // a process ended by itself with 0: it drained by agreement of the fleet, and is started again
	LogCrashed                              // a process ended by itself in any other way
	LogNotReady                             // a process was not ready in time and is killed
	LogTerminateTimeout                     // a process did not end in time and is killed
	LogBackoff                              // the next start waits
	LogHalted                               // replacing halts, as a successor failed or an operator asked for it
	LogResumed                              // an operator resumed replacing
	LogAllReplaced                          // every requested replacement is done
	LogUnhealthy                            // an observed process fails more often than the others
	LogHung                                 // a process stopped reporting and is replaced at once
	LogEventKinds                           // the number of kinds
)

// String returns the name that the kind has in the log, where it is part of an event's name and does not change.
func (k LogEventKind) String() string {
	return [...]string{
		LogStarted:          "started",
		LogServing:          "serves",
		LogReplaced:         "replaced",
		LogEnded:            "ended",
		LogDrained:          "left",
		LogCrashed:          "crashed",
		LogNotReady:         "not_ready",
		LogTerminateTimeout: "overdue",
		LogBackoff:          "waits",
		LogHalted:           "halted",
		LogResumed:          "resumed",
		LogAllReplaced:      "rolled",
		LogUnhealthy:        "bad_answers",
		LogHung:             "hangs",
	}[k]
}
