package invariants

import (
	"fmt"
	"time"
)

const (
	// rememberAfterDeadline is how long a request is remembered after its deadline.
	rememberAfterDeadline = 5 * time.Second
	// rememberWithoutDeadline is how long a request is remembered that no client is known to have sent.
	rememberWithoutDeadline = 10 * time.Second
	// rememberDraining is the longest time that the state of a removed or draining server is remembered.
	rememberDraining = 10 * time.Minute
	// maxHistory is the largest number of entries in the history of a request.
	maxHistory = 40
	// maxHistories is the number of violations that keep the history of their request.
	maxHistories = 50
)

// Checker checks the invariants. It is not safe for concurrent use.
type Checker struct {
	classes    map[string]Class
	tolerances Tolerances
	violations []Violation
	counts     Counts

	requests     map[string]*request // requests by id
	requestOrder []*request          // the requests in the order in which they were first seen

	nodes            map[int]*nodeView
	draining         map[string]drainState // by server: states, other than up, that the discovery service has to send
	isDiscoveryDown  bool
	discoveryUpSince time.Duration
	starts           map[string]serverStart           // latest start of each server
	knownStarts      map[int]map[string]time.Duration // by node and server: start time that the node was notified of
}

// New returns a checker for requests of the given classes.
func New(classes []Class, tolerances Tolerances) *Checker {
	c := &Checker{
		classes:     map[string]Class{},
		tolerances:  tolerances,
		requests:    map[string]*request{},
		nodes:       map[int]*nodeView{},
		draining:    map[string]drainState{},
		starts:      map[string]serverStart{},
		knownStarts: map[int]map[string]time.Duration{},
	}
	for _, class := range classes {
		c.classes[class.Name] = class
	}
	return c
}

// Violations returns all violations so far.
func (c *Checker) Violations() []Violation { return c.violations }

// Counts returns what was checked so far.
func (c *Checker) Counts() Counts {
	counts := c.counts
	for _, req := range c.requests {
		if req.isOpen() {
			counts.Open++
		}
	}
	return counts
}

// Advance finds requests that were not answered by their deadline and forgets old ones. It has to be called regularly.
func (c *Checker) Advance(now time.Duration) {
	remembered := c.requestOrder[:0]
	for _, req := range c.requestOrder {
		if req.isOpen() && now > req.deadline+c.tolerances.Grace {
			req.isOver = true
			c.report(MissingAnswer, now, req, "%s was not answered by its deadline", req.id)
		}
		if now > req.forgetAt {
			delete(c.requests, req.id)
			continue
		}
		remembered = append(remembered, req)
	}
	clear(c.requestOrder[len(remembered):])
	c.requestOrder = remembered
	for server, drain := range c.draining {
		if now-drain.since > rememberDraining {
			delete(c.draining, server)
		}
	}
}

// report adds a violation; the request may be nil.
func (c *Checker) report(invariant Invariant, now time.Duration, req *request, format string, args ...any) {
	violation := Violation{Invariant: invariant, At: now, Text: fmt.Sprintf(format, args...)}
	if req != nil && len(c.violations) < maxHistories {
		violation.History = append(violation.History, req.history...)
	}
	c.violations = append(c.violations, violation)
}
