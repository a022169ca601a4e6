package upstream

import (
	"container/list"
	"slices"
	"time"

	"shelfproxy/internal/admission"
)

// Conn is one connection to a server. Core and its shell share it: the shell calls its methods and uses its Decoder under the lock
// that guards the core.
type Conn struct {
	// Socket is for the shell's use. Core does not read it.
	Socket any
	// Decoder decodes the bytes that the shell reads. The shell may fill the buffer that ReadBuffer returned without holding the
	// lock.
	Decoder Decoder
	// NotifyMemory has the shell call Core.MemoryGranted. It must not block, and it may be called under any lock. The shell sets it
	// before DialCompleted.
	NotifyMemory func()

	addr         string     // address that it leads to
	dialedFor    *Attempt   // the attempt that the connection is being opened for; nil if any waiting attempt may use it
	pending      []*Attempt // attempts without a complete response, in the order in which responses come
	unwritten    []*Attempt // the pending attempts that are not written yet, in the same order
	writing      *Attempt   // the attempt whose bytes are being written
	closed       bool
	closeOutcome Outcome   // outcome of the attempts that were possibly executed when the connection closed
	idleSince    time.Time // meaningful while the connection is in Core.idle

	held           []Response            // complete responses that are not delivered yet, as it is not certain which attempts they belong to
	received       Response              // the complete response after those that are held; valid while hasReceived is set
	hasReceived    bool                  // received waits for its memory
	isDiscarding   bool                  // the value of the response that arrives is discarded, as there is no memory for it
	mayNotWait     bool                  // the response that arrives has waited for memory, or has got some without a wait
	reservedMemory int                   // bytes that are reserved for the response that arrives
	memoryWait     *admission.MemoryWait // the reservation that the connection waits for; nil if it waits for none

	memoryWaitSince time.Time // when the connection began to wait for it

	// The fields below are used by DescriptorBudget only, under its lock.

	idleElement *list.Element // the connection's element in DescriptorBudget.idle; nil while the connection is not idle
	isEvicted   bool          // the connection's descriptor was taken for another one, and the core closes the connection next
}

// AwaitsNoResponse reports whether the connection has attempts, none of which is written yet. Bytes that can already be read then
// are no response to any attempt.
func (c *Conn) AwaitsNoResponse() bool { return len(c.unwritten) > 0 && c.written() == 0 }

// InFlight returns the number of attempts that are assigned to the connection.
func (c *Conn) InFlight() int { return len(c.pending) }

// IsClosed reports whether the connection has ended.
func (c *Conn) IsClosed() bool { return c.closed }

// isBeingFreed reports whether the connection becomes idle with the shell's next report of a write. The response to its last
// attempt then came before the report that the attempt is written.
func (c *Conn) isBeingFreed() bool { return len(c.pending) == 0 && c.writing != nil }

// mayReceive reports whether a response may come. The attempt that it would be for must be possibly executed, as an unwritten
// attempt has no response.
func (c *Conn) mayReceive() bool {
	return len(c.held) < len(c.pending) && c.nextAnswered().possiblyExecuted
}

// nextAnswered returns the attempt that the next response belongs to, if the server has dropped none before it. There must be an
// attempt without a response.
func (c *Conn) nextAnswered() *Attempt { return c.pending[len(c.held)] }

// written returns the number of pending attempts that may have been written.
func (c *Conn) written() int { return len(c.pending) - len(c.unwritten) }

// awaitsOnlyAbandoned reports whether all pending attempts are abandoned, so that the responses to come are of no use. It is
// false if no attempt is pending.
func (c *Conn) awaitsOnlyAbandoned() bool {
	return len(c.pending) > 0 && !slices.ContainsFunc(c.pending, isWanted)
}

func isWanted(attempt *Attempt) bool { return !attempt.abandoned }

// nextUnwritten returns the attempt that is written next. The connection must have an unwritten attempt.
func (c *Conn) nextUnwritten() *Attempt { return c.unwritten[0] }

// popUnwritten removes the next attempt from the unwritten ones and returns it. The attempt stays pending.
func (c *Conn) popUnwritten() *Attempt {
	attempt := c.unwritten[0]
	c.unwritten[0] = nil // the array outlives the slice and would keep the request and its value in memory
	c.unwritten = c.unwritten[1:]
	return attempt
}

// popPending removes the first pending attempt, whose response has come, and returns it.
func (c *Conn) popPending() *Attempt {
	attempt := c.pending[0]
	c.pending[0] = nil // as in popUnwritten: the array would keep the request and its value in memory
	c.pending = c.pending[1:]
	return attempt
}

// removeUnwritten removes an attempt from the connection if nothing of it was written, and reports whether it did so.
func (c *Conn) removeUnwritten(attempt *Attempt) bool {
	i := slices.Index(c.unwritten, attempt)
	if i < 0 {
		return false
	}
	c.unwritten = slices.Delete(c.unwritten, i, i+1)
	c.pending = removeFrom(c.pending, attempt)
	return true
}

// removeAllUnwritten removes the attempts of which nothing was written from the connection and returns them.
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
