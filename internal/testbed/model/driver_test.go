package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var standardKind = &CacheServerKind{Name: "standard", Cores: 2, Speed: 1, Slots: 16, Queue: 8, SlowStartFloor: 0.2,
	SlowStartDuration: 10 * time.Second, Memory: 1 << 20, MaxConnections: 50, ConnectionWork: time.Millisecond,
	HealthCheckWork: time.Millisecond, MissWork: 0.1, ErrorRate: 0.01, Cancel: CancelQueued, OverloadFactor: 3,
	OverloadWindow: 1500 * time.Millisecond}

// testSpec describes a system of two nodes, an origin in slot 0 and cache servers in the slots from 1 on.
func testSpec(seed uint64, cacheServers int, faults ...Fault) Spec {
	spec := Spec{Seed: seed, Nodes: []NodeSpec{{"n0", "a"}, {"n1", "b"}}, OriginZone: "a",
		Origin: OriginSpec{Median: 20 * time.Millisecond, Sigma: 0.3, Parallel: 20, Queue: 50, Window: 4 * time.Second, ValueSize: 100,
			OverloadMultiple: 4, OverloadWindow: time.Second, OverloadStall: 3 * time.Second},
		Discovery: DiscoverySpec{MinLag: 500 * time.Millisecond, MaxLag: 900 * time.Millisecond, Call: time.Millisecond,
			PerEntry: 100 * time.Microsecond, Timeout: 2 * time.Second, Heartbeat: 2 * time.Second},
		Link: LinkSpec{SameLeast: 100 * time.Microsecond, SameMost: 300 * time.Microsecond, CrossLeast: time.Millisecond,
			CrossMost: 2 * time.Millisecond, Retransmit: 200 * time.Millisecond},
		Classes: []ClassSpec{{"read", 10 * time.Millisecond, 20 * time.Millisecond}, {"write", 20 * time.Millisecond, 30 * time.Millisecond}},
		Faults:  faults}
	for i := range cacheServers {
		spec.CacheServers = append(spec.CacheServers, CacheServerSpec{Kind: standardKind, Zone: string(rune('a' + i%2)), Speed: 1})
	}
	return spec
}

// driver acts as node 0, in virtual time and without sockets. It sends reads to cache servers and, after a miss, to the
// origin.
type driver struct {
	*System
	tb         testing.TB
	now        time.Duration
	random     *rand.Rand
	acceptors  map[int]AcceptorState // state of each acceptor, by slot
	conns      map[int]ConnID        // open connection to each server, by slot
	slotByConn map[ConnID]int
	lastID     uint64 // last id that was given to a connection or an attempt

	responses  []Response
	resets     int
	replies    []DiscoveryReply
	executed   []RequestExecuted
	overloaded []string // ids of the crashed servers
}

func newDriver(tb testing.TB, spec Spec) *driver {
	tb.Helper()
	d := &driver{System: New(spec), tb: tb, random: RandomStream(spec.Seed, "driver"), acceptors: map[int]AcceptorState{},
		conns: map[int]ConnID{}, slotByConn: map[ConnID]int{}}
	d.carryOut(d.Start())
	return d
}

func (d *driver) carryOut(effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Acceptor:
			if effect.Node == 0 {
				d.acceptors[effect.Slot] = effect.State
			}
		case Reset:
			d.resets++
			delete(d.conns, d.slotByConn[effect.Conn])
		case Response:
			d.responses = append(d.responses, effect)
			if effect.Outcome == Miss {
				d.send(0, effect.Request, "read", false)
			}
		case DiscoveryReply:
			d.replies = append(d.replies, effect)
		case RequestExecuted:
			d.executed = append(d.executed, effect)
		case ServerOverloaded:
			d.overloaded = append(d.overloaded, effect.Server)
		}
	}
}

// runUntil advances the time to end. Each scheduled event runs at its own time.
func (d *driver) runUntil(end time.Duration) {
	for d.NextEvent() <= end {
		d.carryOut(d.Advance(d.NextEvent()))
	}
	d.now = end
	d.carryOut(d.Advance(end))
}

// send sends a request to a slot. It sends nothing and returns false if the acceptor of the slot accepts no connections.
// The id is a number, which determines the key.
func (d *driver) send(slot int, id, class string, write bool) bool {
	if state, ok := d.acceptors[slot]; !ok || state != Accepting {
		return false
	}
	var number int
	if _, err := fmt.Sscanf(id, "%d", &number); err != nil {
		d.tb.Fatalf("request id %q is not a number: %v", id, err)
	}
	conn, ok := d.conns[slot]
	if !ok {
		d.lastID++
		conn = ConnID(d.lastID)
		d.conns[slot], d.slotByConn[conn] = conn, slot
		d.carryOut(d.Step(d.now, Connect{Conn: conn, Node: 0, Slot: slot}))
	}
	d.lastID++
	d.carryOut(d.Step(d.now, RequestArrived{Request{Conn: conn, Seq: d.lastID, ID: id, Key: fmt.Sprint("k", number%40), Class: class,
		Write: write, Size: 10, Deadline: d.now + 2*time.Second}}))
	return true
}

// generateLoad sends reads and writes at a fixed interval until end, and then lets ten more seconds pass.
func (d *driver) generateLoad(end, interval time.Duration) {
	for i := 0; d.now < end; i++ {
		d.runUntil(d.now + interval)
		if i%20 == 0 {
			d.send(0, fmt.Sprint(i), "write", true)
			continue
		}
		var slots []int
		for slot, state := range d.acceptors {
			if slot != 0 && state == Accepting {
				slots = append(slots, slot)
			}
		}
		slices.Sort(slots)
		if len(slots) > 0 {
			d.send(slots[d.random.IntN(len(slots))], fmt.Sprint(i), "read", false)
		}
	}
	d.runUntil(end + 10*time.Second)
}

// listedByID returns the entries of the endpoint list by the id of the server.
func (d *driver) listedByID() map[string]Entry {
	entries := map[string]Entry{}
	for _, entry := range d.List().Entries {
		entries[entry.ID] = entry
	}
	return entries
}
