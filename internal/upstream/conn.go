package upstream

import (
	"container/list"
	"slices"
	"time"
)

// Conn is one connection to a server. Core and its shell share it: the shell calls its methods and uses its Decoder under the lock
// that guards the core.
type Conn struct {
	// Socket belongs to the shell.
	Socket any
	// Decoder takes the bytes that the shell reads. The shell may fill the buffer that ReadBuffer returned without the lock.
	Decoder Decoder

	dialedFor    *Attempt   // the attempt that it is being opened for alone, if any
	pending      []*Attempt // attempts without a response, in the order of their responses
	unwritten    []*Attempt // those of pending that are not written yet, in order
	writing      *Attempt   // the attempt whose bytes are being written
	closed       bool
	closeOutcome Outcome   // outcome of attempts that may have been executed when it closed
	idleSince    time.Time // meaningful while it is in Core.idle

	// The fields below belong to the descriptor budget.

	idleElement *list.Element // its place among the idle connections of all pools; nil while it is not idle
	isEvicted   bool          // its descriptor was taken for another connection: it is closed next
}

// IsIdle reports whether an attempt that is written now is the only one on the connection, so that bytes which can be read already
// are no response to it.
func (c *Conn) IsIdle() bool { return len(c.unwritten) > 0 && len(c.pending) == 1 }

// InFlight returns the number of attempts on the connection.
func (c *Conn) InFlight() int { return len(c.pending) }

// IsClosed reports whether the connection has ended.
func (c *Conn) IsClosed() bool { return c.closed }

// isBeingFreed reports whether the response to its last attempt came before the shell's report that the attempt is written: it
// becomes idle with that report.
func (c *Conn) isBeingFreed() bool { return len(c.pending) == 0 && c.writing != nil }

// mayReceive reports whether the next response belongs to an attempt: an unwritten one has none.
func (c *Conn) mayReceive() bool { return len(c.pending) > 0 && c.pending[0].possiblyExecuted }

// awaitsOnlyAbandoned reports whether nobody wants any of the responses that are still to come.
func (c *Conn) awaitsOnlyAbandoned() bool {
	isWanted := func(attempt *Attempt) bool { return !attempt.abandoned }
	return len(c.pending) > 0 && !slices.ContainsFunc(c.pending, isWanted)
}

// nextUnwritten returns the attempt that is written next. There must be one.
func (c *Conn) nextUnwritten() *Attempt { return c.unwritten[0] }

// popUnwritten takes the next unwritten attempt, which stays pending.
func (c *Conn) popUnwritten() *Attempt {
	attempt := c.unwritten[0]
	c.unwritten[0] = nil // the array outlives the slice and would keep the request and its value in memory
	c.unwritten = c.unwritten[1:]
	return attempt
}

// popPending takes the attempt whose response has come.
func (c *Conn) popPending() *Attempt {
	attempt := c.pending[0]
	c.pending[0] = nil // as in popUnwritten
	c.pending = c.pending[1:]
	return attempt
}

// removeUnwritten takes an attempt off the connection if nothing of it was written, and reports whether it did.
func (c *Conn) removeUnwritten(attempt *Attempt) bool {
	i := slices.Index(c.unwritten, attempt)
	if i < 0 {
		return false
	}
	c.unwritten = slices.Delete(c.unwritten, i, i+1)
	c.pending = removeFrom(c.pending, attempt)
	return true
}

// removeAllUnwritten takes the attempts of which nothing was written off the connection and returns them.
func (c *Conn) removeAllUnwritten() []*Attempt {
	unwritten := c.unwritten
	c.pending = slices.DeleteFunc(c.pending, func(attempt *Attempt) bool { return slices.Contains(unwritten, attempt) })
	c.unwritten = nil
	return unwritten
}

// removeFrom deletes an item from a list that holds it at most once.
func removeFrom[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == item })
}
