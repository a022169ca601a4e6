package lease

import (
	"math"
	"time"
)

const (
	roundsPerLease   = 3 // renewals per LeaseDuration; the first datagrams of two in a row may be lost, as they are sent again in time
	requestsPerLease = 8 // how many times per LeaseDuration a request is sent while too few nodes have granted it
	trackedRounds    = 4 // a node's late answer counts if it belongs to one of this many latest requests or renewals

	minNodesForWait = 10 // drawWait assumes at least this many nodes: for n nodes, one wait in n is zero, a third for n = 3
	waitsPerLease   = 4  // the random wait before the first request is at most a LeaseDuration divided by this
	maxWaitDoubling = 4  // the longest wait doubles with each failed request, at most this many times
)

// advance does what is due for the lease on a resource. If this node holds the lease, advance renews it when necessary.
// Otherwise advance starts a request for the lease, sends the request again, or abandons it.
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

// keepLease starts a renewal of this node's lease when the last one is a third of a LeaseDuration old. Until then, it sends the
// last renewal again if too few nodes have granted it.
func (c *Core) keepLease(now Time, r *resource) {
	if now-r.own.round(r.own.lastRound).sentAt >= c.cfg.LeaseDuration/roundsPerLease {
		c.startRound(now, r)
		return
	}
	c.repeatRequest(now, r)
}

// continueRequest abandons a request that timed out or that too many nodes denied. It sends any other request again while too
// few nodes have granted it.
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

// drawWait returns how long this node waits before it requests a free lease. The wait is random, so that one node is first. Two
// nodes that request at once may split the votes, and neither gets a majority; after that, both wait longer. The waits are
// exponentially distributed timers, by Nonnenmacher and Biersack (Scalable feedback for large groups, 1999): only a few nodes
// have short waits, and these waits differ, whatever the number of nodes.
func (c *Core) drawWait(r *resource) time.Duration {
	longest := float64(c.cfg.LeaseDuration / waitsPerLease << min(r.own.failures, maxWaitDoubling))
	lead := math.Log(1-c.rng.Float64()) / math.Log(float64(max(minNodesForWait, c.cfg.Nodes)))
	return 1 + time.Duration(longest*max(0, 1+lead))
}

// startRound sends this node's request, or a renewal, under the next round number. Each answer names the round that it belongs
// to, and its grant counts from when that round was sent. So a late answer to an earlier round cannot prolong the lease.
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

// countVote counts the answer of the node from to the request or renewal with a round number. If that node denied the request,
// takenFor is how much longer it would deny a new one.
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
	c.startRound(now, r) // a renewal says that its sender holds the lease, so all other nodes learn of the new holder at once
}

// giveBack gives back the lease that this node holds, or abandons its request for the lease. Nodes that granted the lease can
// then grant it to another node before the grant expires.
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
