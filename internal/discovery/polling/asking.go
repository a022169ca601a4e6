// Package asking decides when a node calls discovery for the list of servers, so that many nodes together leave it room to
// answer. It has no clock and no I/O; that a call is due is the module's affair to carry out.
package polling

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

// Responsibility has the duty to call while discovery does not answer.
type Responsibility int

// The answers.
const (
	Unassigned        Responsibility = iota // each node calls for itself
	AssignedHere                            // this node calls for all
	AssignedElsewhere                       // another node does
)

// What a node makes of a discovery that says nothing.
const (
	// WatchTimeout is how long a watch may say nothing: an empty line comes every 2 s, and half of that is for its way.
	WatchTimeout = 3 * time.Second
	// CallTimeout is how long a call may be unanswered: discovery itself gives it up after 2 s, and says so.
	CallTimeout = 2250 * time.Millisecond
)

const (
	every   = time.Second            // of the node that calls for all
	least   = 500 * time.Millisecond // that a first wait can be
	longest = 16 * every             // that a wait grows to, where nothing bounds it
	unheard = 10 * every             // a call that is never answered is made again after this
)

// Schedule is when one node calls. Waits are of full jitter: Jitter draws any moment up to a wait.
type Schedule struct {
	SpreadOver time.Duration // over which all nodes spread their calls when something told them all
	StaleAfter time.Duration // a node that did not call for so long may not use its list; 0 is for ever
	MaxBackoff time.Duration // no wait is longer: discovery may answer again the moment after a call failed; 0 is no bound
	Jitter     func(time.Duration) time.Duration

	asking bool
	at     Time
	wait   time.Duration // after the next failure; 0 is the first
	who    Responsibility
	missed bool // a call failed since the last list
	news   bool // that discovery answers again
}

// FirstBackoff is the wait after the first failure.
func (c *Schedule) FirstBackoff() time.Duration { return min(max(least, c.SpreadOver), c.most()) }

func (c *Schedule) most() time.Duration {
	if c.MaxBackoff > 0 {
		return c.MaxBackoff
	}
	return longest
}

// Start plans the first call.
func (c *Schedule) Start(now Time) { c.asking, c.at = true, now+c.Jitter(c.SpreadOver) }

// Assign takes it who has the duty from now on. Where nobody has it any longer, or this node, it need not wait for another's
// word.
func (c *Schedule) Assign(now Time, who Responsibility) {
	if c.asking && c.missed && who != AssignedElsewhere && c.who == AssignedElsewhere {
		c.at = min(c.at, now+c.Jitter(c.FirstBackoff()))
	}
	c.who = who
}

// Failed plans the next call after one that did not succeed, or a watch that broke.
func (c *Schedule) Failed(now Time) {
	if c.wait == 0 {
		c.wait = c.FirstBackoff()
	}
	wait := c.Jitter(c.wait)
	// Whose duty it is calls steadily, and its word brings all others; these call by themselves only in case that is lost.
	switch most := c.most(); {
	case c.who == AssignedHere:
		wait = min(every, most)
	case c.who == AssignedElsewhere && c.missed:
		if c.StaleAfter > 0 {
			most = max(every, min(most, c.StaleAfter))
		}
		wait = most - most/8 + c.Jitter(most/8)
	}
	c.asking, c.missed = true, true
	c.at, c.wait = now+wait, min(2*c.wait, c.most())
}

// Succeeded takes it that discovery answered.
func (c *Schedule) Succeeded() {
	c.news = c.who == AssignedHere && c.missed
	c.asking, c.missed, c.wait = false, false, 0
}

// TakeAnnouncement tells, once, that all others should hear that discovery answers again.
func (c *Schedule) TakeAnnouncement() bool {
	news := c.news
	c.news = false
	return news
}

// RecoveryAnnounced takes the word that discovery answers again.
func (c *Schedule) RecoveryAnnounced(now Time) {
	if c.asking && c.missed {
		c.at = min(c.at, now+c.Jitter(c.SpreadOver))
	}
}

// Due tells whether to call now, and notes that it is done.
func (c *Schedule) Due(now Time) bool {
	if !c.asking || now < c.at {
		return false
	}
	c.at = now + unheard
	return true
}
