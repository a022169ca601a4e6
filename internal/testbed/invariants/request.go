package invariants

import (
	"fmt"
	"time"
)

// request holds what the checker knows of a client's request from the events reported so far.
type request struct {
	id, class  string
	isAccepted bool // a node accepted the request from a client of the testbed
	isOver     bool // the request was answered, or the node need not answer it any more
	node       int  // the node that accepted the request
	deadline   time.Duration
	attempts   []*attempt
	executions int
	madeBy     map[string]bool // servers that made a value for the request
	history    []string
	forgetAt   time.Duration
}

// isOpen reports whether the node still has to answer the request.
func (r *request) isOpen() bool { return r.isAccepted && !r.isOver }

// addHistory adds an entry to the history of a request.
func (r *request) addHistory(now time.Duration, format string, args ...any) {
	if len(r.history) < maxHistory {
		r.history = append(r.history, fmt.Sprintf("%.3f ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// requestByID returns the request with an id. It adds the request if no event of it was reported before.
func (c *Checker) requestByID(now time.Duration, id, class string) *request {
	req := c.requests[id]
	if req == nil {
		req = &request{id: id, class: class, madeBy: map[string]bool{}, forgetAt: now + rememberWithoutDeadline}
		c.requests[id] = req
		c.requestOrder = append(c.requestOrder, req)
	}
	return req
}

// RequestSent tells the checker that a client wrote the last byte of a request to a node, on a connection that the
// node's machine had accepted. The deadline is a time since the start of the run.
func (c *Checker) RequestSent(now time.Duration, id, class string, node int, deadline time.Duration) {
	req := c.requestByID(now, id, class)
	req.isAccepted, req.node, req.deadline, req.forgetAt = true, node, deadline, deadline+rememberAfterDeadline
	req.addHistory(now, "accepted by node %d, deadline %.3f", node, deadline.Seconds())
	c.counts.Requests++
}

// RequestAnswered tells the checker that a client read the last byte of an answer. If the answer is a value, madeFor is
// the request id in the value; otherwise madeFor is ignored.
func (c *Checker) RequestAnswered(now time.Duration, id string, final Final, madeFor string) {
	req := c.requests[id]
	if req == nil || !req.isAccepted {
		c.report(MissingAnswer, now, req, "an answer for %s, which no client sent", id)
		return
	}
	req.addHistory(now, "%s", final)
	if req.isOver {
		c.report(MissingAnswer, now, req, "a second final answer for %s", id)
		return
	}
	req.isOver = true
	c.counts.Answered++
	if now > req.deadline+c.tolerances.Grace {
		c.report(MissingAnswer, now, req, "%s was answered %s past its deadline", id, (now - req.deadline).Round(time.Millisecond))
	}
	switch final {
	case Served:
		c.checkValue(now, req, madeFor)
	case Rejected:
		c.checkRejection(now, req)
	case Failed: // an error does not promise that the request had no effect
	}
}

// checkValue checks that a client got a value that a server made for this request, not the value of another request.
// Each value contains the id of its request: madeFor.
func (c *Checker) checkValue(now time.Duration, req *request, madeFor string) {
	switch {
	case madeFor != req.id:
		c.report(MissingAnswer, now, req, "%s was served what was made for %q", req.id, madeFor)
	case len(req.madeBy) == 0:
		c.report(MissingAnswer, now, req, "%s was served a value that no server made for it", req.id)
	}
}

// checkRejection checks that no attempt of a rejected at-most-once request was possibly executed. Requests of other
// classes may be rejected after any attempt.
func (c *Checker) checkRejection(now time.Duration, req *request) {
	executed := req.possiblyExecuted()
	if executed != nil && c.classes[req.class].Effect == AtMostOnce {
		c.report(RejectedAfterExecution, now, req, "%s of class %s was rejected after an attempt at %s that may have been executed",
			req.id, req.class, executed.server)
	}
}

// ConnectionEnded tells the checker that a node closed a connection before it answered a request on it. If unread is
// true, the node possibly had not read the request, and the close violates no invariant.
func (c *Checker) ConnectionEnded(now time.Duration, id string, unread bool) {
	req := c.requests[id]
	if req == nil || req.isOver {
		return
	}
	req.isOver = true
	req.addHistory(now, "connection ended")
	if !unread {
		c.report(MissingAnswer, now, req, "node %d ended the connection of %s without an answer", req.node, id)
	}
}

// ClientDisconnected tells the checker that a node need not answer a request any more: the client disconnected, or the
// testbed itself ended the node.
func (c *Checker) ClientDisconnected(now time.Duration, id string) {
	if req := c.requests[id]; req != nil && !req.isOver {
		req.isOver = true
		req.addHistory(now, "client disconnected")
	}
}
