// Package polling decides when a node calls the discovery service for the endpoint list, so that the nodes of a fleet together
// do not overload it. It has no clock and no I/O: its caller makes the calls and says how they ended.
package polling

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

// Responsibility says which node polls the discovery service while it does not answer.
type Responsibility int

// The values of Responsibility.
const (
	Unassigned        Responsibility = iota // each node polls for itself
	AssignedHere                            // this node polls for all
	AssignedElsewhere                       // another node polls for this one
)

// Timeouts of a watch on the endpoint list.
const (
	// WatchTimeout bounds the time between two lines of a watch. The discovery service sends a keep-alive every 2 s; the rest
	// allows for its way.
	WatchTimeout = 3 * time.Second
	// CallTimeout bounds the wait for the response to a call. The discovery service itself gives a call up after 2 s and says so.
	CallTimeout = 2250 * time.Millisecond
)

const (
	assignedInterval  = 1 * time.Second        // between the calls of the node that polls for all
	minFirstBackoff   = 500 * time.Millisecond // for the wait after the first failure
	defaultMaxBackoff = 16 * time.Second       // where MaxBackoff is 0
	unansweredRetry   = 10 * time.Second       // until a call that is never reported as ended is made again
)

// Schedule decides when one node polls. Failures back off exponentially with full jitter; the node that polls for all polls at
// a constant interval instead, and announces the recovery to the others.
//
// It is not safe for concurrent use. The first call is planned by Start.
type Schedule struct {
	SpreadOver time.Duration // over which all nodes spread the calls that one occurrence causes in all of them
	StaleAfter time.Duration // a node that has not polled for this long may not use its list; 0: no bound
	MaxBackoff time.Duration // bound on every wait: the discovery service may recover the moment after a call failed; 0: 16 s
	Jitter     func(limit time.Duration) time.Duration

	isPolling   bool // a call is planned or in flight
	nextCall    Time // when to call next, if isPolling
	nextBackoff time.Duration
	responsible Responsibility
	hasFailed   bool // a call failed since the last list
	isRecovered bool // the recovery has to be announced
}

// FirstBackoff is the bound of the wait after the first failure.
func (s *Schedule) FirstBackoff() time.Duration {
	return min(max(minFirstBackoff, s.SpreadOver), s.maxBackoff())
}

func (s *Schedule) maxBackoff() time.Duration {
	if s.MaxBackoff > 0 {
		return s.MaxBackoff
	}
	return defaultMaxBackoff
}

// Start plans the first call.
func (s *Schedule) Start(now Time) {
	s.isPolling = true
	s.nextCall = now + s.Jitter(s.SpreadOver)
}

// Assign says who polls from now on. A node that no longer has another one to wait for polls soon.
func (s *Schedule) Assign(now Time, responsible Responsibility) {
	isReleased := s.responsible == AssignedElsewhere && responsible != AssignedElsewhere
	if s.isPolling && s.hasFailed && isReleased {
		s.nextCall = min(s.nextCall, now+s.Jitter(s.FirstBackoff()))
	}
	s.responsible = responsible
}

// Failed plans the next call after one that failed or a watch that broke.
func (s *Schedule) Failed(now Time) {
	if s.nextBackoff == 0 {
		s.nextBackoff = s.FirstBackoff()
	}
	s.nextCall = now + s.delayAfterFailure()
	s.nextBackoff = min(2*s.nextBackoff, s.maxBackoff())
	s.isPolling, s.hasFailed = true, true
}

// delayAfterFailure draws the wait before the next call.
func (s *Schedule) delayAfterFailure() time.Duration {
	// Drawn in each case, so that the random draws of a run do not depend on who is responsible.
	backoff := s.Jitter(s.nextBackoff)
	switch {
	case s.responsible == AssignedHere:
		return min(assignedInterval, s.maxBackoff())
	case s.responsible == AssignedElsewhere && s.hasFailed:
		return s.fallbackDelay()
	}
	return backoff
}

// fallbackDelay draws the wait of a node for which another one polls. It polls itself only in case that the other's announcement
// is lost, but before its list is stale.
func (s *Schedule) fallbackDelay() time.Duration {
	limit := s.maxBackoff()
	if s.StaleAfter > 0 {
		limit = max(assignedInterval, min(limit, s.StaleAfter))
	}
	return limit - limit/8 + s.Jitter(limit/8)
}

// Succeeded ends the polling: the discovery service sent a list.
func (s *Schedule) Succeeded() {
	s.isRecovered = s.responsible == AssignedHere && s.hasFailed
	s.isPolling, s.hasFailed, s.nextBackoff = false, false, 0
}

// TakeAnnouncement returns true once after the node that polls for all has seen the discovery service recover: the other nodes
// have to be told, which then call RecoveryAnnounced.
func (s *Schedule) TakeAnnouncement() bool {
	isRecovered := s.isRecovered
	s.isRecovered = false
	return isRecovered
}

// RecoveryAnnounced plans a call soon if this node waits for a list: another node says that the discovery service answers again.
func (s *Schedule) RecoveryAnnounced(now Time) {
	if s.isPolling && s.hasFailed {
		s.nextCall = min(s.nextCall, now+s.Jitter(s.SpreadOver))
	}
}

// TakeDueCall returns true if the node has to call now. The caller then makes the call: until it ends, or for 10 s at most, no other is
// due.
func (s *Schedule) TakeDueCall(now Time) bool {
	if !s.isPolling || now < s.nextCall {
		return false
	}
	s.nextCall = now + unansweredRetry
	return true
}
