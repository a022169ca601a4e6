package lease

// resource is what this node knows about one resource and the lease on it.
type resource struct {
	name string
	id   uint32 // hash of the name

	highestAcquired uint64 // greatest token under which a node is known to have held the lease; lower tokens are outdated
	highestGranted  uint64 // greatest token that is known to have been granted; a new request needs a greater one
	// released holds the last token that each node gave back, by the index of the node. A message from a node under this
	// token or a lower one was sent before the node gave the token back, and is outdated. The tokens are kept per node: one
	// node may give back the token of a failed request while another node holds the lease under a lower token.
	released map[int]uint64

	grant  grant
	holder holder
	own    ownLease
}

// grant is the last grant of a resource that this node gave.
type grant struct {
	node      int // index of the node that got the grant; NoNode if there is none, or it was given back
	token     uint64
	expiresAt Time
	isHolder  bool // the granted request was a renewal: its sender already held the lease
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
	sentAt      Time // when the request or renewal was last sent
	nextRequest Time // when to request the lease; 0 if no request is planned
	failures    int  // number of failed requests in a row that no node denied because of a holder; makes the next wait longer
	freeAt      Time // when all nodes that denied the last request can grant a new request, according to their answers
}

// round holds the answers to a request or to one renewal of a lease. Each renewal is a new round. A request that is sent again
// because datagrams may be lost stays in its round.
type round struct {
	number  uint32
	sentAt  Time
	granted map[int]bool // indices of the nodes that granted the request
	denied  map[int]bool // indices of the nodes that denied the request
	isValid bool         // false once the request or lease was given back: its answers no longer count
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

// round returns the entry of rounds for the round with the given number. Entries are reused: this one may still hold an earlier
// round.
func (o *ownLease) round(number uint32) *round { return &o.rounds[number%trackedRounds] }

// isTaken reports whether a node is known to hold the lease, or has a grant of the lease from this node that has not expired.
func (r *resource) isTaken(now Time) bool {
	return r.holder.node != NoNode && now < r.holder.expiresAt || r.grant.node != NoNode && now < r.grant.expiresAt
}

// isSuperseded reports whether a message of the node from under a token is outdated: the node has given that token back since,
// or a node has acquired the lease under a greater token.
func (r *resource) isSuperseded(from int, token uint64) bool {
	return token < r.highestAcquired || token <= r.released[from]
}

// expire gives back the lease if this node holds it and it has expired. If another node held the lease and it has expired,
// expire records that no node holds it.
func (c *Core) expire(now Time, r *resource) {
	if r.own.isAcquired && now >= r.own.expiresAt {
		c.giveBack(now, r, ReasonExpired)
	}
	hasOtherHolder := r.holder.node != NoNode && r.holder.node != c.cfg.Self
	if hasOtherHolder && now >= r.holder.expiresAt {
		c.setHolder(now, r, NoNode, r.holder.token)
	}
}

// setHolder records which node holds the lease, and reports the node to the shell if the holder or its token changed.
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

// decide decides on another node's or this node's request for the lease. It returns ReasonGranted after it recorded the grant,
// or else the reason for the denial.
func (c *Core) decide(now Time, r *resource, from int, token uint64, isHolder bool) Reason {
	reason := c.evaluateRequest(now, r, from, token, isHolder)
	if reason == ReasonGranted {
		// A holder is granted its token again even if another node has since been granted a greater token and did not acquire
		// the lease. Otherwise this node could never again grant the holder a renewal. highestGranted keeps the greater
		// token, which is not granted a second time.
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

// conflict checks whether this grant, which has not expired, forbids a grant to the node from under another token. It returns
// the reason for the denial, or ReasonGranted if nothing forbids the new grant.
func (g *grant) conflict(from int, token uint64) Reason {
	switch {
	case g.node == NoNode || g.node == from && token >= g.token:
		return ReasonGranted // the last grant was given back: a node does that before it requests under a greater token
	case g.node == from:
		// A renewal under an earlier token arrived late. It must not replace the current grant, because the release of the
		// earlier token would then release that grant.
		return ReasonTokenSuperseded
	case g.isHolder:
		return ReasonTaken
	}
	return ReasonContested // another node has this grant, but has not acquired the lease from a majority yet
}
