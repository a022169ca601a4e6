package admission

import (
	"math"
	"time"
)

// Stage classifies a connection by the commands that it has sent. The stage decides how long the connection may stay
// without an open request.
type Stage int

// The stages of a connection.
const (
	StageNew            Stage = iota // has sent nothing yet
	StagePartialCommand              // has sent part of a command, which gets a response once it is complete
	StageGreeted                     // has sent valid commands but no request, as proxies do to check a server, or client libraries at their start
	StageOneRequest                  // has made one request
	StageInvalid                     // its last command was invalid
	StageRegular                     // has made several requests
	numStages
)

var stageNames = [...]string{"new", "partial command", "greeted", "one request", "invalid", "regular"}

// String returns the name of the stage.
func (s Stage) String() string { return stageNames[s] }

// Command is a kind of command.
type Command int

// The kinds of commands that a connection receives.
const (
	CommandRequest Command = iota
	CommandOther           // valid, and answered by the listener itself
	CommandInvalid         // invalid, and answered with an error
)

// connection is one connection of the table.
type connection struct {
	id           uint64
	openCommands int // commands that wait for a response
	// idleSince is when the connection was accepted or when openCommands last became 0. If part of a command has
	// arrived since then, idleSince is when its first part arrived: a connection with an incomplete command counts as
	// idle.
	idleSince Time
	stage     Stage
	isClosing bool // the connection has been marked for closing, and Closed has not been called yet
	isUnread  bool // the node does not read the connection for lack of memory

	requests      int
	lastRequest   Time
	meanInterval  float64 // moving mean of the seconds between requests
	hasValid      bool    // the connection has sent a valid command
	isLastInvalid bool    // the last command was invalid
	hasPartial    bool    // the connection has sent part of a command

	unsent       int  // bytes of responses that are ready but not written
	isWriting    bool // a write of responses is in progress
	writingSince Time // when the write in progress started

	queue          *idleQueue // queue of idle connections that holds this connection; nil if none does
	previous, next *connection
}

// inverseIntervalWeight is the inverse of the newest interval's weight in the moving mean.
const inverseIntervalWeight = 3

// recordCommand records a complete command.
func (c *connection) recordCommand(now Time, kind Command) {
	c.hasPartial = false
	c.openCommands++
	c.isLastInvalid = kind == CommandInvalid
	c.hasValid = c.hasValid || !c.isLastInvalid
	if kind == CommandRequest {
		c.recordRequest(now)
	}
}

func (c *connection) recordRequest(now Time) {
	if c.requests++; c.requests > 1 {
		interval := (now - c.lastRequest).Seconds()
		if c.requests == 2 {
			c.meanInterval = interval
		}
		c.meanInterval += (interval - c.meanInterval) / inverseIntervalWeight
	}
	c.lastRequest = now
}

// currentStage returns the stage that follows from the commands sent so far.
func (c *connection) currentStage() Stage {
	switch {
	case c.hasPartial:
		return StagePartialCommand
	case c.isLastInvalid:
		return StageInvalid
	case c.requests > 1:
		return StageRegular
	case c.requests == 1:
		return StageOneRequest
	case c.hasValid:
		return StageGreeted
	}
	return StageNew
}

// Connections with several requests (StageRegular) are grouped into classes by the interval between their requests. The
// upper bound of each class is twice that of the class before. The last class also holds all longer intervals.
const (
	intervalClasses  = 14
	shortestInterval = 8 * time.Millisecond
	minLogInterval   = 1e-6 // seconds; avoids the logarithm of an interval of 0
)

// intervalClass returns the class of an interval in seconds: the first class whose upper bound is not less than the
// interval, or the last class.
func intervalClass(seconds float64) int {
	class := math.Ceil(math.Log2(max(seconds, minLogInterval) / shortestInterval.Seconds()))
	return int(min(max(class, 0), intervalClasses-1))
}

// classSeconds returns the upper bound of an interval class in seconds.
func classSeconds(class int) float64 { return shortestInterval.Seconds() * math.Exp2(float64(class)) }
