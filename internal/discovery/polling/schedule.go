// Package polling decides when a node calls the discovery service for the endpoint list, so that the nodes of a fleet together do
// not overload the service. It has no clock and no I/O: its caller makes the calls and reports how they ended.
package polling

import "time"

// Time is a point in time, given as the time since an origin that the caller chooses.
type Time = time.Duration

// Responsibility says which node polls the discovery service while the service does not answer.
type Responsibility int

// The values of Responsibility.
const (
	Unassigned        Responsibility = iota // every node polls on its own
	AssignedHere                            // this node polls on behalf of all nodes
	AssignedElsewhere                       // another node polls on behalf of this one
)

// Timeouts of a watch on the endpoint list.
const (
	// WatchTimeout bounds the time between two lines of a watch. The discovery service sends a keep-alive every 2 s; the
	// remaining 1 s allows for delays on the network.
	WatchTimeout = 3 * time.Second
	// CallTimeout bounds the wait for the response to a call. The discovery service itself gives up on a call after 2 s and says
	// so in its response.
	CallTimeout = 2250 * time.Millisecond
)

const (
	assignedInterval  = 1 * time.Second        // time between the calls of the node that polls on behalf of all nodes
	minFirstBackoff   = 500 * time.Millisecond // the first failure is followed by a random wait of up to this, or up to SpreadOver if that is longer
	defaultMaxBackoff = 16 * time.Second       // used if Schedule.MaxBackoff is 0
	unansweredRetry   = 10 * time.Second       // time after which a call is repeated if the caller has not reported how it ended
)

// Schedule decides when one node polls. After failures the node backs off exponentially with full jitter. The node that polls on
// behalf of all nodes polls at a constant interval instead, and announces to the others that the discovery service has recovered.
//
// A Schedule is not safe for concurrent use. Start plans the first call.
type Schedule struct {
	SpreadOver time.Duration // if one event makes all nodes call, each node first waits for a random time of up to SpreadOver, to spread the load
	StaleAfter time.Duration // a node that has not polled for this long may not use its list; 0: no bound
	MaxBackoff time.Duration // upper bound of each wait after a failure; it exists because the service may recover right after a failed call; 0: 16 s
	Jitter     func(limit time.Duration) time.Duration

	isPolling   bool // a call is planned or in flight
	nextCall    Time // time of the next call, if isPolling
	nextBackoff time.Duration
	responsible Responsibility
	hasFailed   bool // a call has failed since the last list was received
	isRecovered bool // the discovery service's recovery has yet to be announced to the other nodes
}

// FirstBackoff returns the upper bound of the random wait after the first failure.
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

// Assign sets which node polls from now on. If another node polled on behalf of this one until now, and this node still waits for
// a list, its next call is brought forward.
func (s *Schedule) Assign(now Time, responsible Responsibility) {
	isReleased := s.responsible == AssignedElsewhere && responsible != AssignedElsewhere
	if s.isPolling && s.hasFailed && isReleased {
		s.nextCall = min(s.nextCall, now+s.Jitter(s.FirstBackoff()))
	}
	s.responsible = responsible
}

// Failed plans the next call after a call that failed or a watch that broke.
func (s *Schedule) Failed(now Time) {
	if s.nextBackoff == 0 {
		s.nextBackoff = s.FirstBackoff()
	}
	s.nextCall = now + s.delayAfterFailure()
	s.nextBackoff = min(2*s.nextBackoff, s.maxBackoff())
	s.isPolling, s.hasFailed = true, true
}

// delayAfterFailure returns how long the node waits after a failed call before its next call.
func (s *Schedule) delayAfterFailure() time.Duration {
	// A random number is used up even if the backoff is not needed, so that the later random numbers of a run do not depend on
	// which node is responsible.
	backoff := s.Jitter(s.nextBackoff)
	switch {
	case s.responsible == AssignedHere:
		return min(assignedInterval, s.maxBackoff())
	case s.responsible == AssignedElsewhere && s.hasFailed:
		return s.fallbackDelay()
	}
	return backoff
}

// fallbackDelay returns the wait of a node on whose behalf another node polls. The wait is long, because the waiting node polls only
// in case the other node's announcement is lost. But the wait ends before the waiting node's list becomes stale.
func (s *Schedule) fallbackDelay() time.Duration {
	limit := s.maxBackoff()
	if s.StaleAfter > 0 {
		limit = max(assignedInterval, min(limit, s.StaleAfter))
	}
	return limit - limit/8 + s.Jitter(limit/8)
}

// Succeeded ends the polling, because the discovery service sent a list.
func (s *Schedule) Succeeded() {
	s.isRecovered = s.responsible == AssignedHere && s.hasFailed
	s.isPolling, s.hasFailed, s.nextBackoff = false, false, 0
}

// TakeAnnouncement reports whether this node has to announce to the other nodes that the discovery service has recovered. The
// other nodes then call RecoveryAnnounced. TakeAnnouncement returns true once for each recovery that the node sees while it
// polls on behalf of all nodes.
func (s *Schedule) TakeAnnouncement() bool {
	isRecovered := s.isRecovered
	s.isRecovered = false
	return isRecovered
}

// RecoveryAnnounced processes another node's announcement that the discovery service answers again. If this node waits for a
// list, its next call is brought forward.
func (s *Schedule) RecoveryAnnounced(now Time) {
	if s.isPolling && s.hasFailed {
		s.nextCall = min(s.nextCall, now+s.Jitter(s.SpreadOver))
	}
}

// TakeDueCall reports whether the node has to call now. If so, the caller makes the call. No other call is due until this call
// ends or 10 s have passed.
func (s *Schedule) TakeDueCall(now Time) bool {
	if !s.isPolling || now < s.nextCall {
		return false
	}
	s.nextCall = now + unansweredRetry
	return true
}
