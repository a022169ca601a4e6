package admission

import (
	"math"
	"time"
)

// Stage is what a connection has shown so far. It decides how long the connection may stay without an open request.
type Stage int

// The stages.
const (
	StageNew            Stage = iota // has sent nothing yet
	StagePartialCommand              // has sent part of a command, and gets a response once it is complete
	StageGreeted                     // has sent valid commands, but no request: a check by a proxy, or a client library's greeting
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

// The kinds of commands.
const (
	CommandRequest Command = iota
	CommandOther           // answered by the listener itself
	CommandInvalid         // answered with an error
)

// connection is one connection of the table.
type connection struct {
	id           uint64
	openCommands int  // that wait for a response
	idleSince    Time // while there are none, and since the first byte of a partial command
	stage        Stage
	isClosing    bool // it was given up, and Closed has not been called yet

	requests      int
	lastRequest   Time
	meanInterval  float64 // seconds between requests, a moving mean
	hasValid      bool    // it sent a valid command
	isLastInvalid bool    // its last command was invalid
	hasPartial    bool    // it sent part of a command

	unsent     int  // bytes of responses that are ready and not written
	progressAt Time // when some of them were last written, or the first became ready

	queue          *idleQueue // that it is in, or nil
	previous, next *connection
}

// intervalWeight is one over the weight of the newest interval in the moving mean.
const intervalWeight = 3

// recordCommand notes a complete command.
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
		c.meanInterval += (interval - c.meanInterval) / intervalWeight
	}
	c.lastRequest = now
}

// currentStage returns what the connection has shown by now.
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

// Regular connections are told apart by the interval of their requests, in classes of which each is twice as slow as the
// one before.
const (
	intervalClasses  = 14
	shortestInterval = 8 * time.Millisecond
	minLogInterval   = 1e-6 // seconds: an interval of 0 has no logarithm
)

// intervalClass returns the class of an interval in seconds: the first whose length is no shorter.
func intervalClass(seconds float64) int {
	class := math.Ceil(math.Log2(max(seconds, minLogInterval) / shortestInterval.Seconds()))
	return int(min(max(class, 0), intervalClasses-1))
}

// classSeconds returns the length of an interval class.
func classSeconds(class int) float64 { return shortestInterval.Seconds() * math.Exp2(float64(class)) }
