package model

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// server is a cache server or the origin. It holds what both have in common: the process, the acceptors and the active
// faults.
type server struct {
	id, zone   string
	cell, slot int
	kind       *CacheServerKind // nil for the origin
	cache      *cacheServer     // nil for the origin
	origin     *origin          // nil for a cache server
	started    Time             // start of the process as the endpoint list shows it; 0 means long ago

	// Active faults. They are kept as counts and lists, so that overlapping faults may end in any order.
	kills, freezes, stalls, drains int
	partitions                     []int     // number of active partitions, by node
	slowdowns                      []float64 // one factor of the server's speed for each active fault that changes the speed
	corruption, packetLoss         []float64 // one entry for each active fault: the probability that it corrupts, or loses, a message

	retiring bool // draining, and to be removed afterwards
	removed  bool // permanently removed
	dead     bool // the process is not running

	acceptors []AcceptorState // state of the acceptor of each node
	open      []ConnID        // ids of the open connections, ascending
	received  []func()        // handlers of the messages that arrived while the process was frozen
	listedAt  Time            // when the endpoint list shows the latest change of this server
	wakeup    uint64          // number of the latest scheduled wake-up; earlier wake-ups are skipped
}

// ServerState describes a server for tables and charts.
type ServerState struct {
	ID, Kind, Zone     string
	Slot               int
	State              State
	Dead, Unresponsive bool
	SlowStart          float64 // fraction of its full speed that the server has; 1 after slow start
	Running            int     // number of requests in execution
	Waiting            int     // number of queued requests
	Conns              int     // number of open connections
	Copies             int     // number of cached values
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

// addServer adds a server to the system. All of its acceptors refuse connections until reconcile opens them.
func (sys *System) addServer(srv *server) *server {
	srv.partitions = make([]int, len(sys.spec.Nodes))
	srv.acceptors = slices.Repeat([]AcceptorState{Refusing}, len(sys.spec.Nodes))
	sys.slots = max(sys.slots, srv.slot+1)
	sys.servers = append(sys.servers, srv)
	sys.bySlot[srv.slot] = srv
	sys.logEvent("server", srv.id, srv.zone, strconv.Itoa(srv.slot))
	sys.reconcile(srv)
	return srv
}

// addCacheServer adds a cache server at a slot. If warmingUp is true, its process starts now. Otherwise the process counts
// as started long ago.
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

// processStarted records the start of a process. A start at time 0 is recorded as 1 ns, because 0 stands for long ago.
func (sys *System) processStarted(srv *server) {
	srv.started = max(sys.now, 1)
	sys.emit(ServerStarted{srv.id, srv.started})
}

// listEntry returns the entry that the endpoint list should have for a server now.
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

// publish puts the current state of a server into the endpoint list, after the lag of the discovery service. The changes
// of one server are listed in their order.
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

// reconcile brings a server's process, speed and acceptors in line with the active faults. Connections are reset after
// the acceptors have changed, because a node that sees a reset must not find the acceptor still open.
func (sys *System) reconcile(srv *server) {
	if srv.cache != nil {
		srv.cache.advance(sys.now)
	}
	died := sys.reconcileProcess(srv)
	if srv.cache != nil {
		srv.cache.faultFactor = srv.speedFactor()
	}
	healed := sys.reconcileAcceptors(srv)
	if died {
		sys.resetConnections(srv, func(*connection) bool { return true })
	}
	for _, node := range healed {
		sys.resetConnections(srv, func(conn *connection) bool { return conn.node == node })
	}
	if srv.freezes == 0 {
		received := srv.received
		srv.received = nil
		for _, handle := range received {
			handle()
		}
	}
	sys.serve(srv)
}

// reconcileProcess ends or starts the process of a server as the active faults require. It reports whether the process
// died.
func (sys *System) reconcileProcess(srv *server) (died bool) {
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

// speedFactor returns the product of the active slowdowns, or 0 while the server does no work.
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

// reconcileAcceptors updates the acceptors of a server. It returns the nodes whose partition from the server has ended.
// Their connections to the server have to be reset.
func (sys *System) reconcileAcceptors(srv *server) (healed []int) {
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

// retire drains a cache server and ends its process after a delay. Afterwards it calls the given function.
func (sys *System) retire(srv *server, after time.Duration, then func()) {
	if srv.removed || srv.retiring {
		return
	}
	srv.retiring = true
	sys.publish(srv)
	sys.scheduleAfter(after, func() {
		srv.removed = true
		sys.reconcile(srv)
		if srv.dead { // reconcile published nothing if the process was dead before
			sys.publish(srv)
		}
		then()
		sys.servers = slices.DeleteFunc(sys.servers, func(other *server) bool { return other == srv })
	})
}

// replace adds a new cache server in place of a removed one, at the same slot or at a new one.
func (sys *System) replace(old *server, atSameSlot bool) {
	slot := sys.slots
	if atSameSlot {
		slot = old.slot
	}
	spec := CacheServerSpec{Kind: old.kind, Zone: old.zone, Cell: old.cell, Speed: old.cache.speed}
	sys.publish(sys.addCacheServer(spec, slot, true))
}
