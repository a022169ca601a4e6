package node

import (
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

const (
	clientTransitTime  = 2 * time.Millisecond // assumed transit time: a client's timeout starts when it sends a request, a little before the node reads it
	minRequestTimeout  = time.Millisecond
	policyGraceTimeout = 5 * time.Millisecond // wait for the policy's answer after the deadline of a request

	// bytesPerRequest is the memory that the node keeps for a request in addition to its value: the request, its attempts, timers
	// and map entries, and its part of the buffers that it was read from and is written to.
	bytesPerRequest = 2 << 10
)

// openRequest is a request that is owed a response, or has attempts in flight.
type openRequest struct {
	*request.Request
	id             uint64 // identifies the request to the policy
	class          int
	attempts       []*upstream.Attempt // attempts by number; an element is nil once the attempt has ended
	inFlight       int                 // number of attempts that have not ended
	mayHaveRun     bool                // an attempt that has ended may have been executed
	isAnswered     bool                // no response is owed: one was given, or the client has disconnected
	deadline       time.Time
	expiry         *timer // fires at the deadline; nil for a request that was rejected at once
	hasMemory      bool   // memory is reserved for the request; without it the request is rejected
	reservedMemory int    // bytes of request memory that are reserved, by the listener and by the core
}

// HandleRequest handles a request that has arrived. It ignores a request whose client has already disconnected.
func (c *Core) HandleRequest(r *request.Request) {
	if r.IsCancelled() { // the client disconnected while the request was queued
		c.options.RequestMemory.Release(r.CommandMemory)
		return
	}
	c.handleRequest(r)
	c.settle()
}

func (c *Core) handleRequest(r *request.Request) {
	if c.ids[string(r.ID)] || c.executedIDs.has(c.environment.Now(), string(r.ID)) {
		c.options.Counters.Duplicate.Add(1)
		c.options.RequestMemory.Release(r.CommandMemory)
		r.Reply(request.Response{Kind: request.Invalid, Text: "request id is in use"})
		return
	}
	open := c.register(r)
	if c.openRequests > c.options.MaxOpenRequests || !open.hasMemory { // rejected unexecuted
		c.respond(open, request.Response{Kind: request.Rejected}, causeOfOverload(open))
		return
	}
	if c.isDraining && open.deadline.After(c.drainDeadline) {
		open.deadline = c.drainDeadline
	}
	open.expiry = c.timers.add(open.deadline, func() { c.expire(open) })
	c.requestLog.received(c.environment.Now(), open)
	c.notify(policy.Request{ID: open.id, Key: string(r.Key), Class: r.Class, Tenant: r.Tenant,
		Deadline: c.policyTime(open.deadline), Write: r.IsWrite})
}

// register counts a request, reserves memory for it, and keeps the request until forgetIfDone removes it.
func (c *Core) register(r *request.Request) *openRequest {
	class := c.classes[r.Class]
	c.options.Counters.RequestReceived(class)
	c.lastID++
	timeout := r.ClientTimeout
	if c.options.MaxClientTimeout > 0 {
		timeout = min(timeout, c.options.MaxClientTimeout)
	}
	open := &openRequest{Request: r, id: c.lastID, class: class,
		deadline: r.ReceivedAt.Add(max(timeout-clientTransitTime, minRequestTimeout))}
	c.requests[open.id], c.byRequest[r], c.ids[string(r.ID)] = open, open, true
	c.openRequests++
	c.reserveMemory(open)
	if !open.hasMemory {
		c.options.Counters.RejectedForMemory.Add(1)
	}
	return open
}

// reserveMemory reserves memory for a request, if there is enough. The value is counted here unless the listener has reserved memory
// for it.
func (c *Core) reserveMemory(open *openRequest) {
	open.reservedMemory = open.CommandMemory
	needed, use := bytesPerRequest, admission.ReadRequest
	if open.IsWrite {
		use = admission.WriteRequest
	}
	if open.CommandMemory == 0 {
		needed += len(open.Value)
	}
	if !open.IsValueDiscarded && c.options.RequestMemory.Reserve(needed, use) {
		open.hasMemory = true
		open.reservedMemory += needed
	}
}

// ClientDisconnected handles the disconnect of a client that is owed the response to a request.
func (c *Core) ClientDisconnected(r *request.Request) {
	c.disconnect(r)
	c.settle()
}

func (c *Core) disconnect(r *request.Request) {
	r.Cancel()
	open := c.byRequest[r]
	if open == nil || open.isAnswered {
		return
	}
	c.options.Counters.ClientsDisconnected.Add(1)
	c.withdrawUnwritten(open)
	c.release(open)
	c.notify(policy.ClientDisconnected{ID: open.id})
	c.forgetIfDone(open)
}

// causeOfOverload returns why a request is rejected when it arrives, without a decision of the policy.
func causeOfOverload(open *openRequest) string {
	if open.hasMemory {
		return causeMaxOpen
	}
	return causeNoMemory
}

// respond gives the final response to a request. It ignores a request that is already answered, and nil. cause says why the
// response is not a value; it is causeNone for a value.
func (c *Core) respond(open *openRequest, response request.Response, cause string) {
	if open == nil || open.isAnswered {
		c.options.ResponseMemory.Release(response.ReservedMemory)
		return
	}
	now := c.environment.Now()
	c.options.Counters.RequestAnswered(open.class, int(response.Kind))
	c.requestLog.ended(now, open, response.Kind, cause)
	if response.Kind == request.Served && now.Sub(open.ReceivedAt) > c.options.Policy.Classes[open.class].LatencyObjective {
		c.options.Counters.ServedLate.Add(1)
	}
	open.Reply(response)
	c.release(open)
	c.forgetIfDone(open)
}

// release records that no response is owed for a request any more. The id of one that must not run twice stays in use for a while if
// it may have run, or is in flight.
func (c *Core) release(open *openRequest) {
	open.isAnswered = true
	delete(c.ids, string(open.ID))
	if c.options.Policy.Classes[open.class].Effect == policy.AtMostOnce && (open.mayHaveRun || open.inFlight > 0) {
		now := c.environment.Now()
		c.executedIDs.add(now, string(open.ID), now.Add(max(c.options.MaxClientTimeout, open.ClientTimeout)))
	}
	c.openRequests--
	c.checkDrained()
}

// forgetIfDone removes a request that is answered and has no attempt in flight, and releases its memory. It ignores nil.
func (c *Core) forgetIfDone(open *openRequest) {
	if open != nil && open.isAnswered && open.inFlight == 0 {
		c.options.RequestMemory.Release(open.reservedMemory)
		open.reservedMemory = 0 // the request may be forgotten twice
		delete(c.requests, open.id)
		delete(c.byRequest, open.Request)
		c.timers.cancel(open.expiry)
	}
}

// expire ends the attempts for a request at its deadline. The policy is notified of each timeout and decides on the response.
func (c *Core) expire(open *openRequest) {
	for _, attempt := range open.attempts {
		if attempt != nil {
			c.abandon(open, attempt, upstream.TimedOut)
		}
	}
	c.settle()
	if open.isAnswered {
		return
	}
	// The policy's own timer may fire a moment later. After that the request is answered without the policy. A request that is
	// possibly executed must not be rejected, so the response is Failed, which promises nothing.
	c.timers.add(c.environment.Now().Add(policyGraceTimeout), func() {
		if !open.isAnswered {
			c.respond(open, request.Response{Kind: request.Failed}, causeNotDecided)
			c.notify(policy.ClientDisconnected{ID: open.id})
		}
	})
}
