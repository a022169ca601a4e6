package listener

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// workWindow is the time constant in which the work of a connection is forgotten.
	workWindow = time.Second
	// bytesPerWork is the number of bytes, of a command or of the listener's own answer, that count as much as a command.
	bytesPerWork = 16 << 10
	// turnWork is the work that a connection may do in one turn.
	turnWork = 16
	// turnTime is the processor time that a turn takes with all that follows from it. In a shortage, turns are as far apart as
	// to leave most of the processor to others.
	turnTime = 100 * time.Microsecond
	// turnShare is the part of the processor that turns get in a shortage.
	turnShare = 0.05
)

// recentWork is the work that a connection has made of late: commands, and their bytes. It fades within workWindow.
type recentWork struct {
	amount float64
	at     time.Time
}

func (w *recentWork) add(now time.Time, work int) {
	w.amount, w.at = w.amountAt(now)+float64(work), now
}

func (w *recentWork) amountAt(now time.Time) float64 {
	return w.amount * math.Exp(-now.Sub(w.at).Seconds()/workWindow.Seconds())
}

// turnQueue holds the connections that wait until the processor has time for their commands. It makes connections that send much
// wait while the processor is short, so that the others are served as if these were not there.
type turnQueue struct {
	waiting     []*Conn
	isScheduled bool          // the shell will call GrantTurns
	waited      *atomic.Int64 // counts the waits
}

// work returns how much work a command makes.
func (c *command) work() int {
	size := 0
	for _, arg := range c.args {
		size += len(arg)
	}
	return 1 + size/bytesPerWork
}

// ProcessorUsed records the processor time that the process has used since its start.
func (c *Core) ProcessorUsed(now time.Time, used time.Duration) {
	c.processor.Observe(c.tableTime(now), used)
}

// ProcessorObservedAt returns the time of the last call of ProcessorUsed.
func (c *Core) ProcessorObservedAt() time.Time { return c.start.Add(c.processor.ObservedAt()) }

// takeTurn reports whether the next command of a connection may be decoded now. While the processor is short, a connection that has
// sent more than a whole pipeline within workWindow has to wait for its turn.
func (c *Core) takeTurn(now time.Time, conn *Conn, effects *Effects) bool {
	switch {
	case conn.turnLeft > 0, conn.argumentWait != nil, !c.processor.IsShort():
		return true
	case c.isDraining && !now.Before(c.drainDeadline): // what was read has to be answered before the process ends
		return true
	case conn.work.amountAt(now) <= float64(c.limits.MaxPipelined):
		return true
	}
	if !conn.isWaitingForTurn {
		conn.isWaitingForTurn = true
		conn.presence.hasWaited.Store(true)
		c.turns.waiting = append(c.turns.waiting, conn)
		c.table.ReadingPaused(conn.id)
		c.turns.waited.Add(1)
	}
	c.scheduleTurns(effects)
	return false
}

// recordWork counts the work of a command towards that of its connection.
func (c *Core) recordWork(now time.Time, conn *Conn, work int) {
	conn.work.add(now, work)
	conn.turnLeft = max(0, conn.turnLeft-work)
}

func (c *Core) scheduleTurns(effects *Effects) {
	if !c.turns.isScheduled {
		c.turns.isScheduled = true
		effects.add(ScheduleTurns, nil, nil)
	}
}

// GrantTurns lets connections go on that wait for their turn: all of them if the processor has time again, and else the one that has
// made the least work of late. The shell calls it TurnInterval after the effect ScheduleTurns.
func (c *Core) GrantTurns(now time.Time, effects *Effects) {
	c.turns.isScheduled = false
	granted := slices.Clone(c.turns.waiting)
	if len(granted) > 0 && c.processor.IsShort() {
		granted = []*Conn{slices.MinFunc(granted, func(a, b *Conn) int {
			return cmp.Compare(a.work.amountAt(now), b.work.amountAt(now))
		})}
	}
	for _, conn := range granted {
		c.endTurnWait(now, conn)
		conn.turnLeft = turnWork
		effects.add(ResumeReading, conn, nil)
	}
	if len(c.turns.waiting) > 0 {
		c.scheduleTurns(effects)
	}
}

// endTurnWait ends the wait of a connection for its turn, if it waits.
func (c *Core) endTurnWait(now time.Time, conn *Conn) {
	if !conn.isWaitingForTurn {
		return
	}
	conn.isWaitingForTurn = false
	c.turns.waiting = slices.DeleteFunc(c.turns.waiting, func(other *Conn) bool { return other == conn })
	c.table.ReadingResumed(c.tableTime(now), conn.id)
}

// TurnInterval returns the time between two turns while the processor is short.
func (c *Core) TurnInterval() time.Duration {
	return time.Duration(float64(turnTime) / (turnShare * c.processor.Share))
}
