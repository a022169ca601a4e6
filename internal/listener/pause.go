package listener

import (
	"time"

	"shelfproxy/internal/pause"
)

// settleTime is the time after a pause in which what came during it is read.
const settleTime = 50 * time.Millisecond

// acceptQueue knows since when connections may have waited in the kernel's queue, as none could be accepted.
type acceptQueue struct {
	blockedFrom, blockedUntil time.Time // the last time for which none could be
	isFailing                 bool      // the last accept failed
}

// blocked says that no connection could be accepted for a time.
func (q *acceptQueue) blocked(from, until time.Time) { q.blockedFrom, q.blockedUntil = from, until }

// failed says that an accept failed, of several in a row perhaps.
func (q *acceptQueue) failed(now time.Time) {
	if !q.isFailing {
		q.blockedFrom = now
	}
	q.blockedUntil, q.isFailing = now, true
}

// succeeded says that a connection was accepted. It returns since when the connection may have waited.
func (q *acceptQueue) succeeded(now time.Time) (waitingSince time.Time) {
	q.isFailing = false
	if now.Sub(q.blockedUntil) < settleTime {
		return q.blockedFrom
	}
	return now
}

// pauseTracker finds pauses in which the process did not run, from calls that are due at known times. What is read after a pause may
// have come at its beginning, and the time of its client runs from there.
type pauseTracker struct {
	lastCall, nextCall      time.Time // the last call, and when the next one is due
	pausedFrom, pausedUntil time.Time // the last pause
}

// called says that a call came, and how long after it the next one is due.
func (p *pauseTracker) called(now time.Time, wait time.Duration) {
	if p.isOverdue(now) {
		p.pausedFrom, p.pausedUntil = p.lastCall, now
	}
	p.lastCall, p.nextCall = now, now.Add(wait)
}

func (p *pauseTracker) isOverdue(now time.Time) bool {
	return !p.nextCall.IsZero() && pause.IsShown(p.nextCall, now)
}

// earliestArrival returns when bytes that are read now may have come: now, but for a pause.
func (p *pauseTracker) earliestArrival(now time.Time) time.Time {
	switch {
	case p.isOverdue(now): // the reader runs before the call that would have shown the pause
		return p.lastCall
	case now.Sub(p.pausedUntil) < settleTime:
		return p.pausedFrom
	}
	return now
}
