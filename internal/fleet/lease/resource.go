package lease

// resource is what this node knows about one resource and the lease on it.
type resource struct {
	name string
	id   uint32 // hash of the name

	highestAcquired uint64 // greatest token under which a node is known to have held the lease; lower tokens are superseded
	highestGranted  uint64 // greatest token that is known to have been granted; a new request needs a greater one
	// released holds the last token that each node gave back. Messages that arrive from the node under this token or a lower
	// one were sent before it gave the token back. The tokens are kept per node: the token of one node's failed request does
	// not supersede a lower token under which another node holds the lease.
	released map[int]uint64

	grant  grant
	holder holder
	own    ownLease
}

// grant is the last grant of a resource that this node gave.
type grant struct {
	node      int // NoNode after the grant was given back
	token     uint64
	expiresAt Time
	isHolder  bool // the request said that its sender already held the lease
}

// holder is the node that holds the lease, as far as this node knows.
type holder struct {
	node      int // index of the holder, or NoNode
	token     uint64
	expiresAt Time
}

// ownLease is the lease that this node holds or requests.
type ownLease struct {
	token       uint64 // token of the lease or the request; 0 if there is neither
	isAcquired  bool
	expiresAt   Time // end of the lease; only valid if isAcquired
	acquiredAt  Time // start of the lease; only valid if isAcquired
	rounds      [trackedRounds]round
	lastRound   uint32
	sentAt      Time // when the request was last sent
	nextRequest Time // when to request the lease; 0 if no request is planned
	failures    int  // consecutive requests after which no node is known to hold the lease
	freeAt      Time // when the nodes that denied the last request can grant a new one
}

// round is one round of a request: the request to all nodes, and their answers.
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

// round returns the entry for a round. The entry may still hold an earlier round.
func (o *ownLease) round(number uint32) *round { return &o.rounds[number%trackedRounds] }

// isTaken reports whether a node is known to hold the lease, or this node gave a grant that has not expired.
func (r *resource) isTaken(now Time) bool {
	return r.holder.node != NoNode && now < r.holder.expiresAt || r.grant.node != NoNode && now < r.grant.expiresAt
}

// isSuperseded reports whether a message from a node under a token is outdated: it was sent before that node gave the lease
// back, or before another node acquired the lease.
func (r *resource) isSuperseded(from int, token uint64) bool {
	return token < r.highestAcquired || token <= r.released[from]
}

// expire gives back this node's own lease, and forgets another holder of the lease, once their time is over.
func (c *Core) expire(now Time, r *resource) {
	if r.own.isAcquired && now >= r.own.expiresAt {
		c.giveBack(now, r, ReasonExpired)
	}
	hasOtherHolder := r.holder.node != NoNode && r.holder.node != c.cfg.Self
	if hasOtherHolder && now >= r.holder.expiresAt {
		c.setHolder(now, r, NoNode, r.holder.token)
	}
}

// setHolder records which node holds the lease, and reports a change.
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

// confirmHolder records another node as the holder, because that node says that a majority granted it the lease.
func (c *Core) confirmHolder(now Time, r *resource, node int, token uint64) {
	if r.isSuperseded(node, token) || r.own.isAcquired && token <= r.own.token {
		return
	}
	r.highestAcquired = token
	c.setHolder(now, r, node, token)
}

// decide answers a request, and records the grant if it grants the request.
func (c *Core) decide(now Time, r *resource, from int, token uint64, isHolder bool) Reason {
	reason := c.evaluateRequest(now, r, from, token, isHolder)
	if reason == ReasonGranted {
		// A holder is granted its token again even if another node has since been granted a greater token and did not acquire
		// the lease. Otherwise the holder would lose this vote for good. highestGranted keeps the greater token, which is not
		// granted a second time.
		r.highestGranted = max(r.highestGranted, token)
		r.grant = grant{node: from, token: token, expiresAt: now + c.cfg.LeaseDuration, isHolder: isHolder}
	}
	return reason
}

// evaluateRequest returns ReasonGranted, or the reason why this node denies a request.
func (c *Core) evaluateRequest(now Time, r *resource, from int, token uint64, isHolder bool) Reason {
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

// conflict returns the reason why a grant that has not expired forbids a grant under another token, or ReasonGranted if it does
// not.
func (g *grant) conflict(from int, token uint64) Reason {
	switch {
	case g.node == NoNode || g.node == from && token >= g.token:
		return ReasonGranted // a node that requests under a greater token has given its earlier token back
	case g.node == from:
		// A renewal under an earlier token arrived late. It must not replace the current grant, because the release of the
		// earlier token would then release that grant.
		return ReasonTokenSuperseded
	case g.isHolder:
		return ReasonTaken
	}
	return ReasonContested // another node's request is not decided yet
}
