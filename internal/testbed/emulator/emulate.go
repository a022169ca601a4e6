// Package emulate plays a scenario on loopback sockets: cache boxes that speak RESP2, the origin and discovery over
// HTTP/1.1, and what goes wrong with them. What they do is decided by package model; this one moves bytes, keeps the
// clock, and tells package rules what it sees. Everything listens on 127.0.0.1. Each node has addresses of its own for
// every server and for discovery, so the emulator knows who speaks; a node is only ever told its own.
//
// One goroutine, the loop, owns the model and the rules. Connections reach it through a bounded queue and wait while
// it is full.
package emulator

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
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
	// BasePort, if not 0, is where the fixed ports begin: node i is told to listen at BasePort+i, and its discovery is
	// at BasePort+100+i. With 0 all ports are free ones.
	BasePort int
	// Peers says where a node is to listen for messages of the others, where these are, and what reaches all of them. Without
	// it nodes may not send each other messages.
	Peers func(node int) (listen string, peers []string, all string)
	// Trace gets the model's event log, if set.
	Trace func(line []byte)
}

// Stats are what the emulator counted.
type Stats struct{ Connections, Requests, Probes, Malformed, Spoilt, Calls atomic.Int64 }

// Emulator plays one plan.
type Emulator struct {
	plan    *scenario.Plan
	opt     Options
	log     *slog.Logger
	classes map[string]scenario.Class
	start   time.Time
	stats   Stats

	queue   chan func(now time.Duration)
	stop    chan struct{}
	ended   chan struct{}
	closing sync.Once

	nextConn, nextSeq, nextCall atomic.Uint64

	// The loop's.
	portal  *model.System
	check   *invariants.Checker
	conns   map[model.ConnID]*conn
	calls   map[uint64]*call
	origins map[int]bool // slots at which the origin is
	late    *hdrhistogram.Histogram
	said    int // violations that were logged

	mu    sync.Mutex // the doors; they are made by the loop and read by discovery
	doors map[doorKey]*door
	http  []*discovery
}

type doorKey struct{ slot, node int }

// queueLength bounds what waits for the loop.
const queueLength = 4096

// New makes an emulator and binds its addresses; Start opens them.
func New(plan *scenario.Plan, opt Options) (*Emulator, error) {
	e := &Emulator{plan: plan, opt: opt, log: logs.Component(opt.Log, "emulator"), classes: map[string]scenario.Class{},
		queue: make(chan func(time.Duration), queueLength), stop: make(chan struct{}), ended: make(chan struct{}),
		conns: map[model.ConnID]*conn{}, calls: map[uint64]*call{}, origins: map[int]bool{}, doors: map[doorKey]*door{},
		late: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)}
	var classes []invariants.Class
	for _, c := range plan.Classes {
		e.classes[c.Name] = c
		classes = append(classes, invariants.Class{Name: c.Name, Effect: invariants.Effects[c.Effect], Window: c.DedupWindow.D()})
	}
	e.check = invariants.New(classes, invariants.Tolerances{DrainWithin: plan.Invariants.DrainWithin.D(), NotifyWithin: plan.Invariants.NotifyWithin.D(),
		Grace: plan.Invariants.Grace.D()})
	e.portal = model.New(plan.Spec)
	e.portal.Trace = opt.Trace
	for i := range plan.Spec.Nodes {
		port := 0
		if opt.BasePort > 0 {
			port = opt.BasePort + 100 + i
		}
		d, err := e.newDiscovery(i, port)
		if err != nil {
			e.closeAll()
			return nil, fmt.Errorf("discovery of node %d: %w", i, err)
		}
		e.http = append(e.http, d)
	}
	return e, nil
}

// Start begins the run. Its time counts from here.
func (e *Emulator) Start() error {
	e.start = time.Now()
	if err := e.carry(0, e.portal.Start()); err != nil {
		e.closeAll()
		close(e.ended)
		return err
	}
	for _, d := range e.http {
		go d.serve()
	}
	go e.run()
	return nil
}

// Now is the time of the run.
func (e *Emulator) Now() time.Duration { return time.Since(e.start) }

// Close ends the run; every connection is reset.
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
	for _, d := range e.http {
		d.close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range e.doors {
		d.close()
	}
}

// post hands work to the loop and waits while the queue is full; it is false at the end.
func (e *Emulator) post(f func(now time.Duration)) bool {
	select {
	case e.queue <- f:
		return true
	case <-e.stop:
		return false
	}
}

// Do runs f in the loop and waits for it.
func (e *Emulator) Do(f func(now time.Duration, portal *model.System, check *invariants.Checker)) bool {
	done := make(chan struct{})
	if !e.post(func(now time.Duration) { f(now, e.portal, e.check); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-e.ended:
		return false
	}
}

// Tell tells the rules something without waiting for it.
func (e *Emulator) Tell(f func(now time.Duration, check *invariants.Checker)) {
	e.post(func(now time.Duration) { f(now, e.check) })
}

// ruleTick is how often requests without an answer are looked for.
const ruleTick = 100 * time.Millisecond

func (e *Emulator) run() {
	defer close(e.ended)
	timer := time.NewTimer(0)
	lastTick := time.Duration(0)
	for {
		select {
		case f := <-e.queue:
			f(e.Now())
		case <-timer.C:
		case <-e.stop:
			for _, c := range e.conns {
				c.reset()
			}
			for _, c := range e.calls {
				close(c.lines)
			}
			return
		}
		now := e.Now()
		if wake := e.portal.NextEvent(); wake <= now {
			e.late.RecordValue(max(1, (now - wake).Microseconds()))
			if err := e.carry(now, e.portal.Advance(now)); err != nil {
				e.log.Error("a part of the portal could not be emulated", logs.Event, "emulate_failed", "error", err.Error())
			}
		}
		if now-lastTick >= ruleTick {
			lastTick = now
			e.check.Advance(now)
			for _, v := range e.check.Violations()[e.said:] {
				e.log.Error(v.String(), logs.Event, "rule_broken", "rule", string(v.Invariant))
				e.said++
			}
		}
		next := lastTick + ruleTick
		if wake := e.portal.NextEvent(); wake < next {
			next = wake
		}
		timer.Reset(max(0, next-e.Now()))
	}
}

// carry carries out effects of the model.
func (e *Emulator) carry(now time.Duration, effects []model.Effect) error {
	var failed error
	for _, ef := range effects {
		switch ef := ef.(type) {
		case model.Acceptor:
			d, err := e.door(ef.Slot, ef.Node)
			if err == nil {
				err = d.set(ef.State)
			}
			failed = errors.Join(failed, err)
		case model.Reset:
			if c := e.conns[ef.Conn]; c != nil {
				delete(e.conns, ef.Conn)
				c.reset()
			}
		case model.Response:
			if ef.Request != "" {
				proof := invariants.MayHaveRun
				if ef.Outcome == model.RejectedUnseen || ef.Outcome == model.Miss {
					proof = invariants.NeverRan
				}
				whole := ef.Corruption == model.NotCorrupt || ef.Corruption >= model.CorruptDuplicate
				value := whole && (ef.Outcome == model.Hit || ef.Outcome == model.Written)
				e.check.ResponseSent(now, ef.Server, ef.Request, ef.Seq, proof, value, ef.Outcome.String())
			}
			if c := e.conns[ef.Conn]; c != nil {
				c.answer(ef)
			}
		case model.DiscoveryReply:
			e.told(now, ef)
		case model.RequestExecuted:
			e.check.RequestExecuted(now, ef.Server, ef.Request, ef.Class)
		case model.ServerOverloaded:
			e.check.ServerOverloaded(now, ef.Server)
		case model.ServerStarted:
			e.check.ServerStarted(ef.Server, ef.At)
		case model.ServerListed:
			e.check.ServerListed(now, ef.Server, ef.State.String())
		case model.DiscoveryReachable:
			e.check.DiscoveryReachable(now, ef.Up)
		}
	}
	return failed
}

// door is the address of a slot for a node.
func (e *Emulator) door(slot, node int) (*door, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := doorKey{slot, node}
	if d := e.doors[key]; d != nil {
		return d, nil
	}
	origin := slot == 0
	d, err := newDoor(0, func(c net.Conn) { e.newConn(c, slot, node, origin) })
	if err == nil {
		e.doors[key] = d
	}
	return d, err
}

// addr is the address of a slot as a node is told it.
func (e *Emulator) addr(slot, node int) string {
	d, err := e.door(slot, node)
	if err != nil {
		return "127.0.0.1:1"
	}
	return d.addr
}

func (e *Emulator) malformed(c *conn, why string) {
	e.stats.Malformed.Add(1)
	e.log.Warn("a node sent what no client did", logs.Event, "malformed", "node", c.node, "why", why)
}

// Summary is what a run came to.
type Summary struct {
	Length                                                  time.Duration
	Connections, Requests, Probes, Malformed, Spoilt, Calls int64
	Events                                                  uint64 // hash of the model's event log
	Rules                                                   invariants.Counts
	Broken                                                  []invariants.Violation
	LateP50, LateP99, LateMax                               time.Duration // of the loop against what was due
}

// Summary is what the run came to so far.
func (e *Emulator) Summary() Summary {
	var s Summary
	e.Do(func(now time.Duration, p *model.System, check *invariants.Checker) {
		us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
		s = Summary{Length: now, Connections: e.stats.Connections.Load(), Requests: e.stats.Requests.Load(),
			Probes: e.stats.Probes.Load(), Malformed: e.stats.Malformed.Load(), Spoilt: e.stats.Spoilt.Load(),
			Calls: e.stats.Calls.Load(), Events: p.Hash(), Rules: check.Counts(),
			Broken: append([]invariants.Violation(nil), check.Violations()...), LateP50: us(e.late.ValueAtQuantile(50)),
			LateP99: us(e.late.ValueAtQuantile(99)), LateMax: us(e.late.Max())}
	})
	return s
}
