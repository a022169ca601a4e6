// Package clients sends a load to nodes. It sends each request when the schedule says that the request is due, whether or not
// earlier requests were answered. Latency is measured from the due time, so that a stall of the server is not hidden. The
// package decodes answers as a client does and reports them to an Observer.
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
	// Process returns a function for the node's current process. The returned function isStopping reports whether this process
	// was told to end, after which it may close connections between requests. If Process is nil, no process is ever told to end.
	Process func() (isStopping func() bool)
	// InUse reports whether the front end connects clients to the node. If InUse is nil, the node is always in use.
	InUse func() bool
}

// Observer is notified of the requests, answers and ends of connections that clients see. Its methods are called from several
// goroutines and must return quickly.
type Observer interface {
	// RequestSent is called just before a request is written to a node. The node must answer within timeout after this call.
	RequestSent(id, class string, node int, timeout time.Duration)
	// RequestAnswered is called after the last byte of a final answer was read.
	RequestAnswered(id string, kind invariants.Final, value []byte)
	// ConnectionEnded is called after the node closed the connection instead of answering. If maybeUnread is true, the node
	// may never have read the request.
	ConnectionEnded(id string, maybeUnread bool)
}

// Options says how a load is sent.
type Options struct {
	Nodes    []Node
	Observer Observer // nil if nothing has to be observed
	// If ClosedLoop is above 0, this number of clients sends the requests in a closed loop instead of an open loop: each client
	// sends its next request when its last request was answered. The results show that a closed loop hides stalls of the nodes.
	ClosedLoop int
	// Source, if set, provides the requests instead of the plan's schedule. It returns false after the last request. The class
	// and node numbers in these requests refer to the plan. Calls do not overlap.
	Source func() (workload.Arrival, bool)
	// Record, if set, is called with every request that Source or the schedule returned. Calls do not overlap.
	Record func(workload.Arrival)
	// KeepsConnections has clients go on using open connections to a node that is no longer in use, until the node closes them.
	KeepsConnections bool
	// MaxInFlight is the maximum number of requests in flight in an open loop. A request that exceeds it is not sent and makes
	// the run invalid. 0 means DefaultMaxInFlight.
	MaxInFlight int
}

// DefaultMaxInFlight is the default of Options.MaxInFlight.
const DefaultMaxInFlight = 50000

// Class holds the results of a class of requests.
type Class struct {
	Name            string
	Scheduled       int64 // requests that were due
	Served          int64
	WithinObjective int64 // served requests that met the latency objective
	Rejected        int64
	Failed          int64
	Unanswered      int64 // requests that were sent and never answered
	Unsent          int64 // requests that exceeded MaxInFlight, or that were given up after maxAttempts attempts
	// Latency is the latency of served requests, in microseconds from their due times.
	Latency *hdrhistogram.Histogram
	// Service is the service time of served requests, in microseconds from the time at which they were sent. It leaves out
	// the delay between due time and sending.
	Service *hdrhistogram.Histogram
}

// Clients sends one load. Its methods are safe for concurrent use.
type Clients struct {
	plan    *scenario.Plan
	options Options
	start   time.Time
	pool    *connectionPool
	running sync.WaitGroup // goroutines that send requests or run closed-loop clients

	generator generator

	mu      sync.Mutex
	classes []Class
	crossed int64 // number of attempts that nodes may have left unread; Crossed says how this comes about
}

// Crossed returns how many attempts nodes may have left unread, because they closed the connection at about the time at which the
// client wrote the attempt. It counts only connections that had been idle for longIdle at most, to nodes that were not told to
// end.
func (c *Clients) Crossed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crossed
}

// New returns Clients that are ready to send the load of a plan.
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

// Run sends the load until the load or the context ends. It returns when every request was answered or given up. Run may be
// called only once.
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

// Classes returns the results of each class so far.
func (c *Clients) Classes() (classes []Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, class := range c.classes {
		class.Latency, class.Service = copyHistogram(class.Latency), copyHistogram(class.Service)
		classes = append(classes, class)
	}
	return classes
}

// Generator returns the load generator's measurements of itself so far.
func (c *Clients) Generator() Generator { return c.generator.report() }

// count applies a change to the results of a request's class.
func (c *Clients) count(r request, change func(*Class)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.classes[r.Class])
}
