package lease

import (
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// handleMessage handles a datagram. It ignores a datagram that is not from another node of the fleet, that is sent under
// another list of peers, or that is about an unknown resource.
func (c *Core) handleMessage(now Time, event MessageReceived) {
	if !agreement.IsPeer(event.From, c.cfg.Self, c.cfg.Nodes) {
		return
	}
	received, err := decode(event.Data)
	if err != nil || received.common().Token > c.maxToken(now) {
		c.emit(LogEvent{Kind: LogMessageCorrupt, Node: event.From})
		return
	}
	r := c.findID(received.common().ResourceID)
	if r == nil || received.common().PeerListID != c.cfg.PeerListID {
		return
	}
	switch received := received.(type) {
	case leaseRequest:
		c.handleRequest(now, r, event.From, received)
	case leaseAnswer:
		c.handleAnswer(now, r, event.From, received)
	case leaseRelease:
		c.handleRelease(now, r, event.From, received.Token)
	case announcement:
		c.handleAnnouncement(now, r, event.From, received.Token)
	}
}

// findID returns the resource whose name has the given hash, or nil.
func (c *Core) findID(id uint32) *resource {
	for _, r := range c.resources {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (c *Core) handleRequest(now Time, r *resource, from int, request leaseRequest) {
	if request.IsHolder {
		c.confirmHolder(now, r, from, request.Token)
	}
	if r.own.token != 0 && !r.own.isAcquired && request.Token > r.own.token {
		c.giveBack(now, r, ReasonContested) // of two nodes that request at once, the one with the lower token gives up
	}
	reason := c.decide(now, r, from, request.Token, request.IsHolder)
	if reason != ReasonGranted {
		c.log(LogLeaseDenied, r, from, request.Token, reason)
	}
	answer := leaseAnswer{
		header:       c.header(r, request.Token),
		Round:        request.Round,
		Reason:       reason,
		HighestToken: max(r.highestAcquired, r.highestGranted),
	}
	if reason == ReasonTaken {
		answer.TakenForMS = uint32((r.grant.expiresAt - now) / time.Millisecond)
	}
	c.emit(Send{from, answer.encode()})
}

func (c *Core) handleAnswer(now Time, r *resource, from int, answer leaseAnswer) {
	if answer.Token != r.own.token {
		return
	}
	r.highestGranted = max(r.highestGranted, min(answer.HighestToken, c.maxToken(now)))
	c.countVote(now, r, from, answer.Round, answer.Reason, time.Duration(answer.TakenForMS)*time.Millisecond)
}

func (c *Core) handleRelease(now Time, r *resource, from int, token uint64) {
	r.released[from] = max(r.released[from], token)
	if r.grant.node == from && r.grant.token == token {
		r.grant.node = NoNode
	}
	if r.holder.node == from && r.holder.token == token {
		c.setHolder(now, r, NoNode, token)
	}
}

func (c *Core) handleAnnouncement(now Time, r *resource, from int, token uint64) {
	if r.isSuperseded(from, token) {
		c.log(LogTokenStale, r, from, token, ReasonTokenSuperseded)
		return
	}
	c.confirmHolder(now, r, from, token)
	c.emit(Announced{r.name, from, token})
}
