package listener

import (
	"time"

	"shelfproxy/internal/pause"
)

// settleTime is how long after a pause the process still reads bytes that may have arrived during the pause.
const settleTime = 50 * time.Millisecond

// acceptQueue tracks the last period in which connections had to wait in the kernel's queue because none could be accepted.
type acceptQueue struct {
	blockedFrom, blockedUntil time.Time // the last period in which no connection could be accepted
	isFailing                 bool      // the most recent accept failed
}

// blocked records that no connection could be accepted between from and until.
func (q *acceptQueue) blocked(from, until time.Time) { q.blockedFrom, q.blockedUntil = from, until }

// failed records a failed accept. Consecutive failures form one period in which no connection could be accepted.
func (q *acceptQueue) failed(now time.Time) {
	if !q.isFailing {
		q.blockedFrom = now
	}
	q.blockedUntil, q.isFailing = now, true
}

// succeeded records a successful accept and returns the earliest time from which the connection may have waited.
func (q *acceptQueue) succeeded(now time.Time) (waitingSince time.Time) {
	q.isFailing = false
	if now.Sub(q.blockedUntil) < settleTime {
		return q.blockedFrom
	}
	return now
}

// pauseTracker detects pauses, in which the process did not run: a periodic call then comes later than it was due. Bytes that are
// read after a pause may have arrived at its beginning, and their client's timeout is counted from that beginning.
type pauseTracker struct {
	lastCall, nextCall      time.Time // time of the last call, and when the next call is due
	pausedFrom, pausedUntil time.Time // beginning and end of the last pause
}

// called records a call at now. wait is the time until the next call is due.
func (p *pauseTracker) called(now time.Time, wait time.Duration) {
	if p.isOverdue(now) {
		p.pausedFrom, p.pausedUntil = p.lastCall, now
	}
	p.lastCall, p.nextCall = now, now.Add(wait)
}

func (p *pauseTracker) isOverdue(now time.Time) bool {
	return !p.nextCall.IsZero() && pause.IsShown(p.nextCall, now)
}

// earliestArrival returns the earliest time at which bytes that are read now may have arrived: the beginning of a pause that has
// just ended, or else now.
func (p *pauseTracker) earliestArrival(now time.Time) time.Time {
	switch {
	case p.isOverdue(now): // the reader runs before the late call that records the pause
		return p.lastCall
	case now.Sub(p.pausedUntil) < settleTime:
		return p.pausedFrom
	}
	return now
}
