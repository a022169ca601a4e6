package invariants

import "time"

// attempt is one attempt of a request. It has arrived at a server.
type attempt struct {
	seq    uint64
	server string
	at     time.Duration // time at which the first byte arrived
	proof  Proof
}

// possiblyExecuted returns the first attempt that may have been executed. It returns nil if there is no such attempt.
func (r *request) possiblyExecuted() *attempt {
	for _, attempt := range r.attempts {
		if attempt.proof == PossiblyExecuted {
			return attempt
		}
	}
	return nil
}

// AttemptArrived tells the checker that the last byte of an attempt arrived at a server. firstByte is the time at which
// the first byte arrived.
func (c *Checker) AttemptArrived(now, firstByte time.Duration, node int, server, id, class string, seq uint64) {
	c.counts.Attempts++
	req := c.requestByID(now, id, class)
	req.addHistory(now, "attempt at %s", server)
	c.countAttempt(node, server)
	if req.class != class {
		c.report(DuplicateExecution, now, req, "%s came to %s as class %s", id, server, class)
	}
	c.checkDraining(now, firstByte, req, node, server)
	c.checkRetry(now, firstByte, req, server)
	req.attempts = append(req.attempts, &attempt{seq: seq, server: server, at: firstByte})
}

// checkDraining checks that a node did not send an attempt to a draining or removed server more than
// Tolerances.DrainWithin after the node was notified of that state.
func (c *Checker) checkDraining(now, firstByte time.Duration, req *request, node int, server string) {
	drain, draining := c.drainingFor(node, server)
	if draining && firstByte > drain.since+c.tolerances.DrainWithin+c.tolerances.Grace {
		c.report(SentToDraining, now, req, "%s was sent to %s %s after node %d was notified that it is %s", req.id, server,
			(firstByte - drain.since).Round(time.Millisecond), node, drain.state)
	}
}

// checkRetry checks that the class of a request allows one more attempt after the earlier attempts.
func (c *Checker) checkRetry(now, firstByte time.Duration, req *request, server string) {
	earlier := req.possiblyExecuted()
	if earlier == nil {
		return
	}
	class := c.classes[req.class]
	switch {
	case class.Effect == AtMostOnce:
		c.report(DuplicateExecution, now, req, "%s of class %s was sent to %s after an attempt at %s that may have been executed",
			req.id, req.class, server, earlier.server)
	case class.Effect == Deduplicated && firstByte > earlier.at+class.Window+c.tolerances.Grace:
		c.report(DuplicateExecution, now, req, "%s of class %s was sent to %s %s after an attempt that may have been executed, past its window",
			req.id, req.class, server, (firstByte - earlier.at).Round(time.Millisecond))
	}
}

// ResponseSent tells the checker that a server wrote its response to an attempt. hasValue is true if the response holds
// a value that the server made for this request. outcome is the text that the request's history shows.
func (c *Checker) ResponseSent(now time.Duration, server, id string, seq uint64, proof Proof, hasValue bool, outcome string) {
	req := c.requests[id]
	if req == nil {
		return
	}
	req.addHistory(now, "%s answers %s", server, outcome)
	if hasValue {
		req.madeBy[server] = true
	}
	for _, attempt := range req.attempts {
		if attempt.seq == seq {
			attempt.proof = proof
		}
	}
}

// RequestExecuted tells the checker that a server began to execute a request.
func (c *Checker) RequestExecuted(now time.Duration, server, id, class string) {
	req := c.requestByID(now, id, class)
	req.executions++
	req.addHistory(now, "executed at %s", server)
	if req.executions > 1 && c.classes[req.class].Effect == AtMostOnce {
		c.report(DuplicateExecution, now, req, "%s of class %s was executed %d times", id, req.class, req.executions)
	}
}
