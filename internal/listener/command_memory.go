package listener

import (
	"slices"
	"time"

	"shelfproxy/internal/admission"
)

const (
	// maxArgumentTime is how long a long argument may take to arrive while other connections wait for memory.
	maxArgumentTime = 250 * time.Millisecond
	// maxMemoryWait is how long a connection waits for the memory of a long argument. It is longer than maxArgumentTime, after which
	// clients that stop in the middle of an argument no longer keep the memory.
	maxMemoryWait = 2 * maxArgumentTime
)

// reserveArgument reserves the memory for the long argument that follows on a connection. It returns false if the connection has
// to wait for it.
func (c *Core) reserveArgument(now time.Time, conn *Conn) bool {
	memory := c.limits.RequestMemory
	if conn.argumentWait == nil {
		conn.argumentSince = now
		c.longArguments = append(c.longArguments, conn)
		if memory.Reserve(conn.commands.neededMemory, admission.LongCommand) {
			conn.commands.memoryReserved()
			return true
		}
		conn.argumentWait = memory.Wait(conn.commands.neededMemory, admission.LongCommand, conn.NotifyMemory)
		c.table.PartialCommand(c.tableTime(now), conn.id)
		c.table.ReadingPaused(conn.id)
	}
	if !conn.argumentWait.IsGranted() {
		return false
	}
	conn.argumentWait, conn.argumentSince, conn.hasWaitedForMemory = nil, now, true
	conn.commands.memoryReserved()
	c.table.ReadingResumed(c.tableTime(now), conn.id)
	return true
}

// expireArguments discards long arguments whose connections have waited for memory for too long, and those that take too long to
// arrive while others wait. A request whose value was discarded is rejected once all of it has arrived.
func (c *Core) expireArguments(now time.Time, effects *Effects) {
	isMemoryShort := slices.ContainsFunc(c.longArguments, (*Conn).isWaitingForArgument)
	for _, conn := range slices.Clone(c.longArguments) {
		switch age := now.Sub(conn.argumentSince); {
		case conn.isWaitingForArgument() && age >= maxMemoryWait:
			c.discardArgument(conn)
			c.table.ReadingResumed(c.tableTime(now), conn.id)
			effects.add(ResumeReading, conn, nil)
		case conn.commands.isReadingLongArgument() && isMemoryShort && age >= maxArgumentTime:
			c.discardArgument(conn)
		}
	}
}

// discardArgument discards the long argument that a connection reads or waits for.
func (c *Core) discardArgument(conn *Conn) {
	c.forgetArgument(conn)
	c.limits.RequestMemory.Release(conn.commands.discardArgument())
}

// forgetArgument ends the wait for memory of a connection, if any, and no longer bounds the time of its long argument.
func (c *Core) forgetArgument(conn *Conn) {
	c.longArguments = slices.DeleteFunc(c.longArguments, func(other *Conn) bool { return other == conn })
	if conn.argumentWait != nil {
		conn.argumentWait.Cancel()
		conn.argumentWait = nil
	}
}

// abandonCommand gives back the memory of the command that a connection has received in part.
func (c *Core) abandonCommand(conn *Conn) {
	c.forgetArgument(conn)
	c.limits.RequestMemory.Release(conn.commands.abandon())
}

// isWaitingForArgument reports whether the connection waits for the memory of a long argument.
func (c *Conn) isWaitingForArgument() bool {
	return c.argumentWait != nil && !c.argumentWait.IsGranted()
}
