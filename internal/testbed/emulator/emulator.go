// Package emulator runs a scenario with sockets on loopback: cache servers that speak RESP2, the origin and the discovery
// service over HTTP/1.1, and their faults. Package model decides what these do. This package transfers bytes, keeps the
// clock, and reports what it sees to package invariants. Everything listens on 127.0.0.1. Each node has its own addresses
// for every server and for discovery, and is configured with these alone. So the emulator knows which node a connection
// belongs to.
//
// One goroutine, the loop, owns the model and the checker of the invariants. The goroutines of connections pass work to
// the loop through a bounded queue, and wait while the queue is full.
package emulator

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shelfproxy/internal/logs"
	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
)

// Options configure the run of a plan.
type Options struct {
	Log *slog.Logger
	// BasePort, if not 0, is the first of the fixed ports: node i is configured to listen at BasePort+i, and its
	// discovery service is at BasePort+100+i. With 0 the operating system chooses all ports.
	BasePort int
	// Peers returns the address at which a node listens for gossip, those of its peers, and the address that reaches all
	// of them. If Peers is nil, nodes are configured not to gossip.
	Peers func(node int) (listen string, peers []string, all string)
	// Trace receives each line of the model's event log, if set; it must not retain the slice.
	Trace func(entry []byte)
}

const (
	// discoveryPortOffset is the distance from a node's fixed port to the port of its discovery service.
	discoveryPortOffset = 100
	// loopQueueLength is the number of events that may wait for the loop.
	loopQueueLength = 4096
	// originSlot is the slot of the origin. Cache servers have the other slots.
	originSlot = 0
)

// counters count connections, requests and other things that the emulator has seen.
type counters struct{ connections, requests, healthChecks, malformed, corrupted, discoveryCalls, listBytes atomic.Int64 }

// Emulator runs one plan. Its exported methods are safe for concurrent use once Start has returned.
type Emulator struct {
	plan     *scenario.Plan
	options  Options
	log      *slog.Logger
	classes  map[string]scenario.Class
	start    time.Time
	counters counters

	queue   chan func(now time.Duration) // work for the loop; never closed
	stop    chan struct{}                // closed by Close
	ended   chan struct{}                // closed at the end of the loop, or by Start if it fails
	closing sync.Once

	lastConn, lastSeq, lastCall atomic.Uint64 // last ids that were assigned

	// Only the loop accesses these fields.
	system             *model.System
	checker            *invariants.Checker
	conns              map[model.ConnID]*connection
	calls              map[uint64]*discoveryCall
	loopDelay          *hdrhistogram.Histogram // delays of scheduled events, in microseconds
	reportedViolations int                     // number of violations that were logged

	discovery []*discoveryServer // one for each node, indexed by node number

	mu        sync.Mutex // guards acceptors, which the loop adds and the discovery servers read
	acceptors map[acceptorKey]*acceptor
}

// acceptorKey identifies the acceptor of a slot for a node.
type acceptorKey struct{ slot, node int }

// New returns an emulator and binds the addresses of its discovery services. Start begins the run. The error wraps a
// *PortTakenError if a fixed port is in use.
func New(plan *scenario.Plan, options Options) (*Emulator, error) {
	emulator := &Emulator{
		plan:      plan,
		options:   options,
		log:       logs.Component(options.Log, "emulator"),
		classes:   map[string]scenario.Class{},
		queue:     make(chan func(time.Duration), loopQueueLength),
		stop:      make(chan struct{}),
		ended:     make(chan struct{}),
		system:    model.New(plan.Spec),
		checker:   newChecker(plan),
		conns:     map[model.ConnID]*connection{},
		calls:     map[uint64]*discoveryCall{},
		acceptors: map[acceptorKey]*acceptor{},
		loopDelay: hdrhistogram.New(1, time.Minute.Microseconds(), 2),
	}
	for _, class := range plan.Classes {
		emulator.classes[class.Name] = class
	}
	emulator.system.Trace = options.Trace
	for node := range plan.Spec.Nodes {
		port := 0
		if options.BasePort > 0 {
			port = options.BasePort + discoveryPortOffset + node
		}
		server, err := emulator.newDiscoveryServer(node, port)
		if err != nil {
			emulator.closeAll()
			return nil, fmt.Errorf("discovery of node %d: %w", node, err)
		}
		emulator.discovery = append(emulator.discovery, server)
	}
	return emulator, nil
}

func newChecker(plan *scenario.Plan) *invariants.Checker {
	var classes []invariants.Class
	for _, class := range plan.Classes {
		classes = append(classes, invariants.Class{Name: class.Name, Effect: invariants.Effects[class.Effect],
			Window: class.DedupWindow.D()})
	}
	return invariants.New(classes, invariants.Tolerances{DrainWithin: plan.Invariants.DrainWithin.D(),
		NotifyWithin: plan.Invariants.NotifyWithin.D(), Grace: plan.Invariants.Grace.D()})
}

// Start begins the run. The time of the run counts from this call.
func (e *Emulator) Start() error {
	e.start = time.Now()
	if err := e.carryOut(0, e.system.Start()); err != nil {
		e.closeAll()
		close(e.ended)
		return err
	}
	for _, server := range e.discovery {
		go server.serve()
	}
	go e.runLoop()
	return nil
}

// Now returns the time since the start of the run.
func (e *Emulator) Now() time.Duration { return time.Since(e.start) }

// Close ends the run and resets all connections. A second call does nothing.
func (e *Emulator) Close() {
	e.closing.Do(func() {
		close(e.stop)
		if !e.start.IsZero() {
			<-e.ended
		}
		e.closeAll()
	})
}

func (e *Emulator) closeAll() {
	for _, server := range e.discovery {
		server.close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, acceptor := range e.acceptors {
		acceptor.close()
	}
}
