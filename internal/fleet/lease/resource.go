package lease

// resource is what this node knows of one resource and its lease.
type resource struct {
	name string
	id   uint32 // hash of the name

	highestAcquired uint64 // greatest token under which a node is known to have held the lease: lower ones are superseded
	highestGranted  uint64 // greatest token that was granted: a new request needs a greater one
	// The last token that each node gave back: what still arrives from it under that one was sent before. A token under
	// which a node requested the lease in vain says nothing of a lower one under which another holds it.
	released map[int]uint64

	grant  grant
	holder holder
	own    ownLease
}

// grant is the last one that this node gave.
type grant struct {
	node      int // NoNode after it was given back
	token     uint64
	expiresAt Time
	isHolder  bool // by its own word the node held the lease already
}

// holder is the node that holds the lease as far as this node knows.
type holder struct {
	node      int // or NoNode
	token     uint64
	expiresAt Time
}

// ownLease is this node's own lease, or its request for one.
type ownLease struct {
	token       uint64 // of the lease or the request; 0 without either
	isAcquired  bool
	expiresAt   Time // if isAcquired
	acquiredAt  Time // if isAcquired
	rounds      [trackedRounds]round
	lastRound   uint32
	sentAt      Time // when the request was sent for the last time
	nextRequest Time // when to request the lease; 0 if that is not planned
	failures    int  // requests in a row after which nobody is known to hold the lease
	freeAt      Time // when the nodes that denied the last request would grant one
}

// round is one sending of a request to all nodes, and its answers.
type round struct {
	number  uint32
	sentAt  Time
	granted map[int]bool
	denied  map[int]bool
	isValid bool
}

func newResource(name string) *resource {
	return &resource{
		name:     name,
		id:       HashName(name),
		released: map[int]uint64{},
		grant:    grant{node: NoNode},
		holder:   holder{node: NoNode},
	}
}

// round returns the place of a round, where an earlier one may still be.
func (o *ownLease) round(number uint32) *round { return &o.rounds[number%trackedRounds] }

// isTaken reports whether a node holds the lease, or this node granted it and the grant has not expired.
func (r *resource) isTaken(now Time) bool {
	return r.holder.node != NoNode && now < r.holder.expiresAt || r.grant.node != NoNode && now < r.grant.expiresAt
}

// isSuperseded reports whether what a node sends under a token was sent before it gave the lease back, or before another
// node acquired it.
func (r *resource) isSuperseded(from int, token uint64) bool {
	return token < r.highestAcquired || token <= r.released[from]
}

// expire ends what is over by the clock.
func (c *Core) expire(now Time, r *resource) {
	if r.own.isAcquired && now >= r.own.expiresAt {
		c.giveBack(now, r, ReasonExpired)
	}
	hasOtherHolder := r.holder.node != NoNode && r.holder.node != c.cfg.Self
	if hasOtherHolder && now >= r.holder.expiresAt {
		c.setHolder(now, r, NoNode, r.holder.token)
	}
}

// setHolder records which node holds the lease.
func (c *Core) setHolder(now Time, r *resource, node int, token uint64) {
	isSame := r.holder.node == node && r.holder.token == token
	r.holder = holder{node: node, token: token, expiresAt: now + c.cfg.LeaseDuration}
	if isSame {
		return
	}
	if node != NoNode && node != c.cfg.Self {
		c.log(LogHolderChanged, r, node, token, ReasonGranted)
	}
	c.emit(HolderChanged{r.name, node, token})
}

// confirmHolder records another node as the holder by its own word: a majority granted it the lease.
func (c *Core) confirmHolder(now Time, r *resource, node int, token uint64) {
	if r.isSuperseded(node, token) || r.own.isAcquired && token <= r.own.token {
		return
	}
	r.highestAcquired = token
	c.setHolder(now, r, node, token)
}

// decide answers a request and records what it grants.
func (c *Core) decide(now Time, r *resource, from int, token uint64, isHolder bool) Reason {
	reason := c.judge(now, r, from, token, isHolder)
	if reason == ReasonGranted {
		// A holder is granted its token again although another node was granted a greater one meanwhile and did not
		// acquire the lease: it must not lose the vote for good. The greater token stays granted once.
		r.highestGranted = max(r.highestGranted, token)
		r.grant = grant{node: from, token: token, expiresAt: now + c.cfg.LeaseDuration, isHolder: isHolder}
	}
	return reason
}

// judge returns ReasonGranted, or why this node denies a request.
func (c *Core) judge(now Time, r *resource, from int, token uint64, isHolder bool) Reason {
	if c.isAbstaining(now) {
		return ReasonAbstaining
	}
	isSame := r.grant.node == from && r.grant.token == token
	if now < r.grant.expiresAt {
		if isSame {
			return ReasonGranted
		}
		if reason := r.grant.conflict(from, token); reason != ReasonGranted {
			return reason
		}
	}
	isNew := !isSame && !isHolder
	if r.isSuperseded(from, token) || isNew && token <= r.highestGranted {
		return ReasonTokenSuperseded
	}
	return ReasonGranted
}

// conflict returns why a grant that has not expired forbids one under another token, or ReasonGranted.
func (g *grant) conflict(from int, token uint64) Reason {
	switch {
	case g.node == NoNode || g.node == from && token >= g.token:
		return ReasonGranted
	case g.node == from:
		// An earlier renewal that arrives late: the release of that token must not release the current grant.
		return ReasonTokenSuperseded
	case g.isHolder:
		return ReasonTaken
	}
	return ReasonContested // a node that requests under another token has given the earlier one back
}
