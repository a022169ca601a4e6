package lease

import (
	"math"
	"time"
)

const (
	roundsPerLease   = 3 // renewals per LeaseDuration; two of them may be lost
	requestsPerLease = 8 // how often a request is sent per LeaseDuration while too few nodes have granted it
	trackedRounds    = 4 // number of latest rounds whose answers still count

	minNodesForWait = 10 // waits are drawn as for at least this many nodes; drawn for 3 nodes, a third of them would not wait at all
	waitsPerLease   = 4  // the first wait is at most a LeaseDuration divided by this
	maxWaitDoubling = 4  // the wait doubles with each failure, at most this many times
)

// advance does what is due for a resource: it renews this node's lease, or it makes, repeats or abandons a request for one.
func (c *Core) advance(now Time, r *resource) {
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

// keepLease renews the lease when that is due. Until then it repeats the last request if that has too few grants.
func (c *Core) keepLease(now Time, r *resource) {
	if now-r.own.round(r.own.lastRound).sentAt >= c.cfg.LeaseDuration/roundsPerLease {
		c.startRound(now, r)
		return
	}
	c.repeatRequest(now, r)
}

// continueRequest abandons a request that can no longer succeed, or else repeats it if needed.
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

// repeatRequest sends the request of the last round again if too few nodes have granted it, as datagrams may be lost.
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

// drawWait returns how long to wait before a request. The waits are exponentially distributed timers. Nonnenmacher and Biersack
// use such timers to have one member of a large group answer (Scalable feedback for large groups, 1999): few nodes have short
// waits and these waits differ, whatever the number of nodes. Two nodes that request at once may split the votes; after that,
// all nodes wait longer.
func (c *Core) drawWait(r *resource) time.Duration {
	longest := float64(c.cfg.LeaseDuration / waitsPerLease << min(r.own.failures, maxWaitDoubling))
	lead := math.Log(1-c.rng.Float64()) / math.Log(float64(max(minNodesForWait, c.cfg.Nodes)))
	return 1 + time.Duration(longest*max(0, 1+lead))
}

// startRound sends the request in a new round. A grant counts from the start of its own round, so that a late answer to an
// earlier round cannot prolong the lease.
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

// countVote counts one node's answer to a round. If the node denied the request, takenFor is how much longer it would deny a
// new one.
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
	c.startRound(now, r) // tells all other nodes at once that this node holds the lease
}

// giveBack gives back the lease or abandons the request for it, so that the nodes that granted it need not wait until the grant
// expires.
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
