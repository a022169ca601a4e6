package supervisor

import "time"

// Event is an input of the core, one of the types below.
type Event interface{ event() }

type (
	// Tick reports nothing but that time has passed, so that the core handles expired timeouts.
	Tick struct{}
	// Ready reports that a process is ready: it accepts connections.
	Ready struct{ Process int }
	// ResponseCounts reports how many responses a process has given since its previous report, and how many of them were
	// failures.
	ResponseCounts struct{ Process, Responses, Failed int }
	// Exited reports that a process has ended or could not be started. Clean means that it ended with exit code 0.
	Exited struct {
		Process int
		Clean   bool
	}
	// ReplaceRequested asks for the process of one instance to be replaced.
	ReplaceRequested struct{ Instance int }
	// ReplaceAllRequested asks for the processes of all instances to be replaced, MaxConcurrent instances at a time.
	ReplaceAllRequested struct{}
	// HaltRequested asks that no further replacement is started. A replacement that is in progress is finished.
	HaltRequested struct{}
	// ResumeRequested asks that replacing continues after a halt.
	ResumeRequested struct{}
	// StopRequested asks that all processes are terminated and none is started again.
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

// Effect is what the core asks its shell to do, one of the types below.
type Effect interface{ effect() }

type (
	// Start starts a process of an instance. Process is its number; processes are numbered from 1 and no number is used twice.
	Start struct{ Instance, Process int }
	// Terminate tells a process to shut down. Replaced means that the process's successor accepts all new connections from now
	// on.
	Terminate struct {
		Process  int
		Replaced bool
	}
	// Kill ends a process at once, without a graceful shutdown.
	Kill struct{ Process int }
	// Stopped tells the shell that the last process has ended after StopRequested.
	Stopped struct{}
	// LogEvent asks for a record in the log.
	LogEvent struct {
		Kind              LogEventKind
		Instance, Process int           // Instance is noInstance, -1, if the event is not about a single instance
		Wait              time.Duration // only for LogBackoff: the wait before the next start
	}
)

func (Start) effect()     {}
func (Terminate) effect() {}
func (Kill) effect()      {}
func (Stopped) effect()   {}
func (LogEvent) effect()  {}

// noInstance and noProcess are used in log events that are not about a single instance or process.
const (
	noInstance = -1
	noProcess  = 0
)

// LogEventKind says what happened to a process, or to the replacing of processes.
type LogEventKind int

// The kinds of log events.
const (
	LogStarted          LogEventKind = iota // a process was started
	LogServing                              // a process is ready
	LogReplaced                             // a process was told to terminate because its successor is ready
	LogEnded                                // a process ended after it was told to terminate
	LogDrained                              // a process ended by itself with exit code 0, as after a drain that the fleet allowed; a new one is started
	LogCrashed                              // a process ended by itself in any other way, or could not be started
	LogNotReady                             // a process was not ready within ReadyTimeout and is killed
	LogTerminateTimeout                     // a process did not end within TerminateTimeout and is killed
	LogBackoff                              // a start failed; the instance's next start is delayed by the backoff
	LogHalted                               // replacing halts because a successor failed or an operator asked for it
	LogResumed                              // an operator resumed replacing
	LogAllReplaced                          // every requested replacement is done
	LogUnhealthy                            // a process that replaced another one fails more often than the other instances' processes
	LogHung                                 // a process stopped reporting and is replaced at once
	LogEventKinds                           // the number of kinds
)

// String returns the name of the kind in the log. Operators' tools read it as part of an event's name, so it must not change.
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
