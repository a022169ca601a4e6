// Package clients sends a load to nodes. Requests follow a schedule that is drawn ahead, whether or not earlier ones have
// been answered, and latency counts from the time at which each was due, so that a server that stalls cannot hide it. The
// package looks at answers as a client would and reports them to an Observer.
package clients

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/internal/testbed/workload"
)

// Node is a node as clients see it. Its functions may be called at any time, from several goroutines.
type Node struct {
	Address string
	// Process returns a function that reports whether the process that runs now was told to end, so that it may close
	// connections between requests. Nil says that no process is ever told to end.
	Process func() (isStopping func() bool)
	// InUse reports whether the front hands out connections to the node. Nil says that it always does.
	InUse func() bool
}

// Observer is notified of what clients see. Its methods are called from several goroutines and must return quickly.
type Observer interface {
	// RequestSent: the last byte of a request is about to be written to a node; its client waits for timeout from now on.
	RequestSent(id, class string, node int, timeout time.Duration)
	// RequestAnswered: the last byte of a final answer was read.
	RequestAnswered(id string, kind invariants.Final, value []byte)
	// ConnectionEnded: the node closed the connection instead of answering. If maybeUnread, it may never have read the
	// request.
	ConnectionEnded(id string, maybeUnread bool)
}

// Options say how a load is sent.
type Options struct {
	Nodes    []Node
	Observer Observer // may be nil
	// ClosedLoop, if above 0, is a number of clients that send the same requests in a closed loop instead: each sends its
	// next request when it has the answer to the last. It shows what such a loop hides.
	ClosedLoop int
	// Source, if set, returns the next request in place of the plan's schedule, until it returns false. Classes and nodes are
	// those of the plan. Calls do not overlap.
	Source func() (workload.Arrival, bool)
	// Record, if set, is called with every request that Source or the schedule returned. Calls do not overlap.
	Record func(workload.Arrival)
	// MaxInFlight bounds the requests in flight; one more is not sent and makes the run invalid. 0 is DefaultMaxInFlight.
	MaxInFlight int
}

// DefaultMaxInFlight is the bound of the requests in flight where the options give none.
const DefaultMaxInFlight = 50000

// Class is the result of a class of requests.
type Class struct {
	Name            string
	Scheduled       int64 // requests that were due
	Served          int64
	WithinObjective int64 // of those served, within the latency objective
	Rejected        int64
	Failed          int64
	Unanswered      int64 // sent and never answered
	Unsent          int64 // for which no node could be reached, or that were beyond MaxInFlight
	// Latency is of the requests that were served, in microseconds from when they were due.
	Latency *hdrhistogram.Histogram
	// Service is of the same requests, in microseconds from when they were sent, which leaves out their delay before that.
	Service *hdrhistogram.Histogram
}

// Clients sends one load. Its methods are safe for concurrent use.
type Clients struct {
	plan    *scenario.Plan
	options Options
	start   time.Time
	pool    *connectionPool
	running sync.WaitGroup // goroutines of requests or of closed-loop clients

	generator generator

	mu      sync.Mutex
	classes []Class
	crossed int64 // requests that may have crossed the end of a connection that was idle for less than racingIdle
}

// Crossed returns how many requests may have crossed the end of a connection that was hardly idle.
func (c *Clients) Crossed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crossed
}

// New prepares the load of a plan.
func New(plan *scenario.Plan, options Options) *Clients {
	if options.MaxInFlight == 0 {
		options.MaxInFlight = DefaultMaxInFlight
	}
	c := &Clients{plan: plan, options: options, pool: newConnectionPool(options.Nodes), generator: newGenerator(plan.Length)}
	for _, class := range plan.Classes {
		c.classes = append(c.classes, Class{Name: class.Name, Latency: newHistogram(), Service: newHistogram()})
	}
	return c
}

// Run sends the load until it ends or the context does, and returns when every request has its answer or was given up. It
// may be called once.
func (c *Clients) Run(ctx context.Context) {
	c.start = time.Now()
	c.generator.begin()
	next := c.requests()
	if c.options.ClosedLoop > 0 {
		c.runClosedLoop(ctx, next)
	} else {
		c.runOpenLoop(ctx, next)
	}
	c.running.Wait()
	c.generator.end()
	c.pool.closeIdle()
}

// Classes returns the results so far.
func (c *Clients) Classes() (classes []Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, class := range c.classes {
		class.Latency, class.Service = copyHistogram(class.Latency), copyHistogram(class.Service)
		classes = append(classes, class)
	}
	return classes
}

// Generator returns the figures of the load generator itself so far.
func (c *Clients) Generator() Generator { return c.generator.report() }

// count changes the result of a request's class.
func (c *Clients) count(r request, change func(*Class)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.classes[r.Class])
}
