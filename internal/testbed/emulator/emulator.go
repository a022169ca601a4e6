// Package emulator plays a scenario with sockets on loopback: cache servers that speak RESP2, the origin and the
// discovery service over HTTP/1.1, and their faults. Package model decides what they do; this package moves bytes, keeps
// the clock, and reports to package invariants what it sees. Everything listens on 127.0.0.1. Each node has addresses of
// its own for every server and for discovery, and is configured with these alone, so the emulator knows which node a
// connection belongs to.
//
// One goroutine, the loop, owns the model and the checker of the invariants. Connections reach it through a bounded
// queue and wait while it is full.
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

// Options say how a plan is played.
type Options struct {
	Log *slog.Logger
	// BasePort, if not 0, is the first of the fixed ports: node i is configured to listen at BasePort+i, and its
	// discovery service is at BasePort+100+i. With 0 the system chooses all ports.
	BasePort int
	// Peers returns where a node listens for gossip, where its peers do, and the address that reaches all of them.
	// Without it nodes are configured not to gossip.
	Peers func(node int) (listen string, peers []string, all string)
	// Trace receives each line of the model's event log, if set; it must not keep the slice.
	Trace func(entry []byte)
}

const (
	// discoveryPortOffset is the distance from a node's fixed port to that of its discovery service.
	discoveryPortOffset = 100
	// loopQueueLength is the number of events that may wait for the loop.
	loopQueueLength = 4096
	// originSlot is the slot of the origin; cache servers have the others.
	originSlot = 0
)

// counters count what the emulator saw.
type counters struct{ connections, requests, healthChecks, malformed, corrupted, discoveryCalls, listBytes atomic.Int64 }

// Emulator plays one plan. Its exported methods are safe for concurrent use once Start has returned.
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

	lastConn, lastSeq, lastCall atomic.Uint64 // ids

	// These belong to the loop.
	system             *model.System
	checker            *invariants.Checker
	conns              map[model.ConnID]*connection
	calls              map[uint64]*discoveryCall
	loopDelay          *hdrhistogram.Histogram // microseconds by which scheduled events ran late
	reportedViolations int                     // violations that were logged

	discovery []*discoveryServer // by node

	mu        sync.Mutex // guards acceptors: the loop adds them, and discovery reads them
	acceptors map[acceptorKey]*acceptor
}

// acceptorKey names the acceptor of a slot for a node.
type acceptorKey struct{ slot, node int }

// New makes an emulator and binds the addresses of its discovery services. Start begins to play. The error wraps a
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

// Start begins the run; its time counts from here.
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

// Now returns the time of the run.
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
