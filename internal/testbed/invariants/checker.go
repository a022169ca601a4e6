package invariants

import (
	"fmt"
	"time"
)

const (
	// rememberAfterDeadline is how long the checker keeps a request after its deadline.
	rememberAfterDeadline = 5 * time.Second
	// rememberWithoutDeadline is how long the checker keeps a request for which RequestSent was not called, so that its
	// deadline is unknown.
	rememberWithoutDeadline = 10 * time.Second
	// rememberDraining is the longest time that the checker keeps the state of a removed or draining server.
	rememberDraining = 10 * time.Minute
	// maxHistory is the largest number of entries in the history of a request.
	maxHistory = 40
	// maxHistories is the number of violations that are stored with the history of their request. Later violations have
	// none.
	maxHistories = 50
)

// Checker checks the invariants. It is not safe for concurrent use.
type Checker struct {
	classes    map[string]Class
	tolerances Tolerances
	violations []Violation
	counts     Counts

	requests     map[string]*request // requests by id
	requestOrder []*request          // requests in the order in which the checker first saw them

	nodes            map[int]*nodeView
	draining         map[string]drainState // by server: its state in the list of the discovery service, if the state is not up
	isDiscoveryDown  bool
	discoveryUpSince time.Duration
	starts           map[string]serverStart           // by server: the latest start of the server
	knownStarts      map[int]map[string]time.Duration // by node and server: the start time of the server in the node's endpoint list
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

// Counts returns the numbers of events that were checked so far.
func (c *Checker) Counts() Counts {
	counts := c.counts
	for _, req := range c.requests {
		if req.isOpen() {
			counts.Open++
		}
	}
	return counts
}

// Advance reports requests that were not answered by their deadline, and forgets old requests. The caller has to call
// Advance regularly.
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

// report adds a violation to the list of violations. req is nil if the violation belongs to no request.
func (c *Checker) report(invariant Invariant, now time.Duration, req *request, format string, args ...any) {
	violation := Violation{Invariant: invariant, At: now, Text: fmt.Sprintf(format, args...)}
	if req != nil && len(c.violations) < maxHistories {
		violation.History = append(violation.History, req.history...)
	}
	c.violations = append(c.violations, violation)
}
