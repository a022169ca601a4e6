package model

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// server is a cache server or the origin, as the rest of the system sees it: its process, its acceptors and the
// faults that are active on it.
type server struct {
	id, zone   string
	cell, slot int
	kind       *CacheServerKind // nil for the origin
	cache      *cacheServer     // nil for the origin
	origin     *origin          // nil for a cache server
	started    Time             // start of the process as the endpoint list gives it; 0 is long ago

	// Active faults. Counts and lists, so that overlapping faults may end in any order.
	kills, freezes, stalls, drains int
	partitions                     []int     // by node
	slowdowns                      []float64 // factors of the speed
	corruption, packetLoss         []float64 // probabilities

	retiring bool // draining, and removed afterwards
	removed  bool // removed for good
	dead     bool // the process does not run

	acceptors []AcceptorState // by node
	open      []ConnID        // open connections, ascending
	received  []func()        // messages that arrived while the process was frozen
	listedAt  Time            // when the endpoint list has the latest change
	wakeup    uint64          // number of the latest scheduled wake-up; earlier ones are void
}

// ServerState describes a server for tables and charts.
type ServerState struct {
	ID, Kind, Zone     string
	Slot               int
	State              State
	Dead, Unresponsive bool
	SlowStart          float64 // part of its speed that a server has; 1 after slow start
	Running            int     // requests in execution
	Waiting            int     // queued requests
	Conns              int     // open connections
	Copies             int     // cached values
	Cores              int
}

// Servers returns the state of all servers, in the order in which they were added.
func (sys *System) Servers() []ServerState {
	var states []ServerState
	for _, srv := range sys.servers {
		states = append(states, sys.serverState(srv))
	}
	return states
}

func (sys *System) serverState(srv *server) ServerState {
	entry := sys.listEntry(srv)
	state := ServerState{ID: srv.id, Kind: entry.Kind, Zone: srv.zone, Slot: srv.slot, State: entry.State, Dead: srv.dead,
		SlowStart: 1, Conns: len(srv.open)}
	if cache := srv.cache; cache != nil {
		state.Unresponsive = srv.freezes > 0 || slices.ContainsFunc(srv.partitions, func(active int) bool { return active > 0 })
		state.Running, state.Waiting, state.Cores = len(cache.running), len(cache.waiting), cache.kind.Cores
		state.SlowStart, state.Copies = cache.slowStart(sys.now), len(cache.memory.byKey)
	} else {
		state.Unresponsive = srv.origin.stalled(sys.now)
		state.Running, state.Waiting, state.Cores = srv.origin.running, len(srv.origin.waiting), srv.origin.spec.Parallel
	}
	return state
}

// addServer adds a server to the system. All of its acceptors refuse connections until settle opens them.
func (sys *System) addServer(srv *server) *server {
	srv.partitions = make([]int, len(sys.spec.Nodes))
	srv.acceptors = slices.Repeat([]AcceptorState{Refusing}, len(sys.spec.Nodes))
	sys.slots = max(sys.slots, srv.slot+1)
	sys.servers = append(sys.servers, srv)
	sys.bySlot[srv.slot] = srv
	sys.logEvent("server", srv.id, srv.zone, strconv.Itoa(srv.slot))
	sys.settle(srv)
	return srv
}

// addCacheServer adds a cache server at a slot. One that is warmingUp starts now, the others started long ago.
func (sys *System) addCacheServer(spec CacheServerSpec, slot int, warmingUp bool) *server {
	id := fmt.Sprintf("box-%d", sys.nextID)
	sys.nextID++
	srv := &server{id: id, zone: spec.Zone, cell: spec.Cell, slot: slot, kind: spec.Kind,
		cache: newCacheServer(spec.Kind, spec.Speed, sys.now, warmingUp, RandomStream(sys.spec.Seed, "box/"+id))}
	if warmingUp {
		sys.processStarted(srv)
	}
	return sys.addServer(srv)
}

// processStarted records the start of a process. A start at time 0 counts as 1, as 0 stands for long ago.
func (sys *System) processStarted(srv *server) {
	srv.started = max(sys.now, 1)
	sys.emit(ServerStarted{srv.id, srv.started})
}

// listEntry returns what the endpoint list should say of a server now.
func (sys *System) listEntry(srv *server) Entry {
	entry := Entry{ID: srv.id, Zone: srv.zone, Cell: srv.cell, Slot: srv.slot, Started: srv.started,
		Origin: srv.origin != nil, Kind: OriginID}
	if srv.kind != nil {
		entry.Kind = srv.kind.Name
	}
	switch {
	case srv.removed || srv.dead:
		entry.State = Removed
	case srv.isDraining():
		entry.State = Draining
	}
	return entry
}

func (srv *server) isDraining() bool { return srv.retiring || srv.drains > 0 }

// publish brings the present state of a server to the discovery service, after the lag of the service. The changes of
// a server arrive in their order.
func (sys *System) publish(srv *server) {
	entry := sys.listEntry(srv)
	sys.logEvent("state", entry.ID, entry.State.String())
	lag := drawDuration(sys.discoveryLagRandom, sys.spec.Discovery.MinLag, sys.spec.Discovery.MaxLag) + sys.discovery.extraLag
	srv.listedAt = max(srv.listedAt, sys.discovery.publishedAt(sys.now+lag))
	sys.schedule(srv.listedAt, func() {
		sys.discovery.set(entry)
		sys.logEvent("listed", entry.ID, entry.State.String())
		sys.emit(ServerListed{entry.ID, entry.State})
		sys.notifyOfChange()
	})
}

// settle brings a server's process, speed and acceptors in line with the active faults. Connections are reset after
// the acceptors have changed: a node that sees a reset must not find the acceptor open.
func (sys *System) settle(srv *server) {
	if srv.cache != nil {
		srv.cache.advance(sys.now)
	}
	died := sys.settleProcess(srv)
	if srv.cache != nil {
		srv.cache.faultFactor = srv.speedFactor()
	}
	healed := sys.settleAcceptors(srv)
	if died {
		sys.resetConnections(srv, func(*connection) bool { return true })
	}
	for _, node := range healed {
		sys.resetConnections(srv, func(conn *connection) bool { return conn.node == node })
	}
	if srv.freezes == 0 {
		received := srv.received
		srv.received = nil
		for _, process := range received {
			process()
		}
	}
	sys.serve(srv)
}

// settleProcess ends or starts the process of a server and reports whether it died.
func (sys *System) settleProcess(srv *server) (died bool) {
	dead := srv.removed || srv.kills > 0
	if dead == srv.dead {
		return false
	}
	srv.dead = dead
	if dead {
		sys.logEvent("died", srv.id)
		srv.received = nil
	} else {
		sys.logEvent("started", srv.id)
		sys.processStarted(srv)
	}
	if srv.cache != nil {
		srv.cache.restart(sys.now, true)
	}
	sys.publish(srv)
	return dead
}

// speedFactor is the product of the slowdowns that are active, or 0 while the server does no work.
func (srv *server) speedFactor() float64 {
	if srv.freezes > 0 || srv.stalls > 0 {
		return 0
	}
	factor := 1.0
	for _, slowdown := range srv.slowdowns {
		factor *= slowdown
	}
	return factor
}

// settleAcceptors sets the acceptors of a server. It returns the nodes whose partition from the server has ended; what
// they had open meanwhile is reset.
func (sys *System) settleAcceptors(srv *server) (healed []int) {
	for node, before := range srv.acceptors {
		state := Accepting
		switch {
		case srv.dead:
			state = Refusing
		case srv.partitions[node] > 0:
			state = Unresponsive
		}
		if state == before {
			continue
		}
		srv.acceptors[node] = state
		if before == Unresponsive {
			healed = append(healed, node)
		}
		if sys.bySlot[srv.slot] == srv {
			sys.emit(Acceptor{Slot: srv.slot, Node: node, State: state})
		}
	}
	return healed
}

// retire drains a cache server, ends its process after a while, and then runs a function.
func (sys *System) retire(srv *server, after time.Duration, then func()) {
	if srv.removed || srv.retiring {
		return
	}
	srv.retiring = true
	sys.publish(srv)
	sys.scheduleAfter(after, func() {
		srv.removed = true
		sys.settle(srv)
		if srv.dead { // settle published nothing if the process was dead before
			sys.publish(srv)
		}
		then()
		sys.servers = slices.DeleteFunc(sys.servers, func(other *server) bool { return other == srv })
	})
}

// replace starts a cache server in the place of one that was removed, at the same slot or at a new one.
func (sys *System) replace(old *server, atSameSlot bool) {
	slot := sys.slots
	if atSameSlot {
		slot = old.slot
	}
	spec := CacheServerSpec{Kind: old.kind, Zone: old.zone, Cell: old.cell, Speed: old.cache.speed}
	sys.publish(sys.addCacheServer(spec, slot, true))
}
