package lease

import (
	"math"
	"time"
)

const (
	roundsPerLease   = 3 // renewals in a LeaseDuration: two may be lost
	requestsPerLease = 8 // sendings of a request in a LeaseDuration while too few nodes answer
	trackedRounds    = 4 // rounds whose answers still count

	minNodesForWait = 10 // waits are drawn as for at least so many nodes: of three a third would not wait at all
	waitsPerLease   = 4  // the first wait is at most this part of a LeaseDuration
	maxWaitDoubling = 4  // and doubles with each failure, at most so often
)

// pursue does what is due: it renews the lease, repeats or abandons a request, or makes one.
func (c *Core) pursue(now Time, r *resource) {
	own := &r.own
	switch {
	case c.hasResigned:
	case own.isAcquired:
		c.keepLease(now, r)
	case own.token != 0:
		c.continueRequest(now, r)
	case c.isAbstaining(now) || r.isTaken(now):
		own.nextRequest, own.failures = 0, 0
	case own.nextRequest == 0:
		own.nextRequest = now + c.drawWait(r)
	case now >= own.nextRequest:
		c.startRequest(now, r)
	}
}

// keepLease renews the lease in time.
func (c *Core) keepLease(now Time, r *resource) {
	if now-r.own.round(r.own.lastRound).sentAt >= c.cfg.LeaseDuration/roundsPerLease {
		c.startRound(now, r)
		return
	}
	c.repeatRequest(now, r)
}

// continueRequest abandons a request that can no longer succeed, or repeats it.
func (c *Core) continueRequest(now Time, r *resource) {
	round := r.own.round(r.own.lastRound)
	hasTimedOut := now-round.sentAt >= c.holderTimeout()/2
	isDeniedByTooMany := len(round.denied) > c.cfg.Nodes-c.majority()
	if !hasTimedOut && !isDeniedByTooMany {
		c.repeatRequest(now, r)
		return
	}
	if r.own.freeAt <= now {
		r.own.failures++
	}
	c.giveBack(now, r, ReasonTaken)
	r.own.nextRequest = max(now, r.own.freeAt) + c.drawWait(r)
}

// repeatRequest sends the request of the last round again if too few nodes have granted it: datagrams may be lost.
func (c *Core) repeatRequest(now Time, r *resource) {
	isUnanswered := len(r.own.round(r.own.lastRound).granted) < c.majority()
	if isUnanswered && now-r.own.sentAt >= c.cfg.LeaseDuration/requestsPerLease {
		c.sendRequest(now, r)
	}
}

func (c *Core) startRequest(now Time, r *resource) {
	r.own.token = max(r.highestAcquired+1, r.highestGranted+1, c.date(now))
	r.own.freeAt = 0
	c.log(LogLeaseRequested, r, c.cfg.Self, r.own.token, ReasonGranted)
	c.startRound(now, r)
}

// drawWait returns how long to wait before a request. The waits are exponentially distributed timers, as Nonnenmacher and
// Biersack use them to have one of a large group answer (Scalable feedback for large groups, 1999): few of many nodes are
// early and those are apart, however many there are. Two nodes that request at once may split the votes; after that all
// wait longer.
func (c *Core) drawWait(r *resource) time.Duration {
	longest := float64(c.cfg.LeaseDuration / waitsPerLease << min(r.own.failures, maxWaitDoubling))
	lead := math.Log(1-c.rng.Float64()) / math.Log(float64(max(minNodesForWait, c.cfg.Nodes)))
	return 1 + time.Duration(longest*max(0, 1+lead))
}

// startRound sends the request in a new round. Each round counts from its own moment, so that a late answer to an earlier
// one cannot prolong the lease.
func (c *Core) startRound(now Time, r *resource) {
	own := &r.own
	own.lastRound++
	*own.round(own.lastRound) = round{number: own.lastRound, sentAt: now, granted: map[int]bool{}, denied: map[int]bool{}, isValid: true}
	c.sendRequest(now, r)
	c.countVote(now, r, c.cfg.Self, own.lastRound, c.decide(now, r, c.cfg.Self, own.token, own.isAcquired), 0)
}

func (c *Core) sendRequest(now Time, r *resource) {
	r.own.sentAt = now
	request := leaseRequest{header: c.header(r, r.own.token), Round: r.own.lastRound, IsHolder: r.own.isAcquired}
	c.emit(Send{AllNodes, request.encode()})
}

// countVote counts one node's answer to one of the rounds; takenFor is for how long a node that denied it would go on.
func (c *Core) countVote(now Time, r *resource, from int, number uint32, reason Reason, takenFor time.Duration) {
	own := &r.own
	round := own.round(number)
	if own.token == 0 || !round.isValid || round.number != number {
		return
	}
	if reason != ReasonGranted {
		round.denied[from] = true
		own.freeAt = max(own.freeAt, now+min(takenFor, c.cfg.LeaseDuration))
		return
	}
	round.granted[from] = true
	expiresAt := round.sentAt + c.holderTimeout()
	isLaterEnd := !own.isAcquired || expiresAt > own.expiresAt
	if len(round.granted) < c.majority() || now >= expiresAt || !isLaterEnd {
		return
	}
	own.expiresAt = expiresAt
	if !own.isAcquired {
		c.acquire(now, r)
	}
}

func (c *Core) acquire(now Time, r *resource) {
	own := &r.own
	own.isAcquired, own.acquiredAt, own.failures = true, now, 0
	r.highestAcquired = max(r.highestAcquired, own.token)
	c.emit(Acquired{r.name, own.token})
	c.log(LogLeaseAcquired, r, c.cfg.Self, own.token, ReasonGranted)
	c.setHolder(now, r, c.cfg.Self, own.token)
	c.startRound(now, r) // tells all others at once who holds the lease
}

// giveBack gives back the lease, or abandons a request for it. The nodes that granted it need not wait until it expires.
func (c *Core) giveBack(now Time, r *resource, reason Reason) {
	token, wasAcquired := r.own.token, r.own.isAcquired
	if token == 0 {
		return
	}
	r.own.token, r.own.isAcquired, r.own.nextRequest = 0, false, 0
	for i := range r.own.rounds {
		r.own.rounds[i].isValid = false
	}
	if r.grant.node == c.cfg.Self && r.grant.token == token {
		r.grant.node = NoNode
	}
	c.emit(Send{AllNodes, leaseRelease{c.header(r, token)}.encode()})
	if !wasAcquired {
		c.log(LogRequestAbandoned, r, c.cfg.Self, token, reason)
		return
	}
	c.emit(Lost{r.name, token})
	c.log(LogLeaseLost, r, c.cfg.Self, token, reason)
	c.setHolder(now, r, NoNode, token)
}
