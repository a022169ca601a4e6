package model

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var oneFaultOfEachKind = []Fault{
	{Kind: Deploy, At: time.Second, For: 4 * time.Second, Batch: 0.3, DrainFor: 500 * time.Millisecond, SameSlot: 0.5, Select: Selector{Share: 0.8}},
	{Kind: Freeze, At: 2 * time.Second, For: time.Second, Select: Selector{Count: 1}},
	{Kind: Partition, At: 2500 * time.Millisecond, For: time.Second, Select: Selector{Count: 1}},
	{Kind: Flap, At: 3 * time.Second, For: 3 * time.Second, Period: time.Second, Select: Selector{Count: 1}},
	{Kind: CorruptResponse, At: time.Second, For: 5 * time.Second, Share: 0.1},
	{Kind: PacketLoss, At: time.Second, For: 5 * time.Second, Share: 0.1},
	{Kind: DiscoveryLag, At: time.Second, For: 5 * time.Second, Lag: time.Second},
	{Kind: OriginSlow, At: 4 * time.Second, For: time.Second, Factor: 3},
	{Kind: OriginStall, At: 6 * time.Second, For: time.Second},
	{Kind: DiscoveryDown, At: 5 * time.Second, For: time.Second},
	{Kind: DiscoveryEmpty, At: 7 * time.Second, For: time.Second},
	{Kind: Shrink, At: 7 * time.Second, For: time.Second, Select: Selector{Count: 2}},
}

// Two runs with the same seed must produce the same event log, and a run with another seed a different one. An iteration
// over a map in the model would make runs differ. Parts with different names must draw different random numbers.
func TestSameSeedGivesSameEventLog(t *testing.T) {
	hash := func(seed uint64) uint64 {
		driver := newDriver(t, testSpec(seed, 8, oneFaultOfEachKind...))
		driver.generateLoad(9*time.Second, 5*time.Millisecond)
		return driver.Hash()
	}
	if first, repeated, other := hash(1), hash(1), hash(2); first != repeated || first == other {
		t.Errorf("hashes %x and %x of one seed, %x of another; want the first two alike and the third different", first, repeated, other)
	}
	if x, y := RandomStream(1, "x").Uint64(), RandomStream(1, "y").Uint64(); x == y {
		t.Errorf("two parts draw the same number %x, want different ones", x)
	}
}

// After a read missed, the value from the origin is stored at the cache server, and the next read is a hit. A write
// invalidates the copy, so that no cache server returns the old record.
func TestMissFillsCacheAndWriteInvalidatesIt(t *testing.T) {
	driver := newDriver(t, testSpec(1, 1))
	send := func(slot int, id, class string, write bool) Response {
		t.Helper()
		before := len(driver.responses)
		driver.send(slot, id, class, write)
		driver.runUntil(driver.now + time.Second)
		if len(driver.responses) == before {
			t.Fatalf("request %s got no response", id)
		}
		return driver.responses[len(driver.responses)-1]
	}
	if got := send(1, "40", "read", false); got.Outcome != Hit || got.Server != OriginID || got.Copy.Version != 0 {
		t.Errorf("first read: %+v, want a value of version 0 from the origin", got)
	}
	if got := send(1, "80", "read", false); got.Outcome != Hit || got.Server != "box-0" {
		t.Errorf("second read: %+v, want a hit at box-0", got)
	}
	if got := send(0, "120", "write", true); got.Outcome != Written || got.Copy.Version != 1 {
		t.Errorf("write: %+v, want a receipt for version 1", got)
	}
	if got := send(1, "160", "read", false); got.Server != OriginID || got.Copy.Version != 1 {
		t.Errorf("read after the write: %+v, want version 1 from the origin", got)
	}
	if len(driver.executed) != 4 {
		t.Errorf("%d requests were executed, want 4: %+v", len(driver.executed), driver.executed)
	}
}

// A cache server that replaces another one at the same address has a new id and an empty cache. It does not answer
// requests that were in flight to the old server.
func TestReplacementAtSameAddressHasNewIDAndEmptyCache(t *testing.T) {
	driver := newDriver(t, testSpec(1, 1, Fault{Kind: Deploy, At: time.Second, For: time.Second, Batch: 1, DrainFor: time.Second, SameSlot: 1}))
	driver.send(1, "1", "read", false)
	driver.runUntil(1999 * time.Millisecond)
	if old := driver.listedByID()["box-0"]; old.State != Draining {
		t.Fatalf("entry before the replacement: %+v, want draining", old)
	}
	before := len(driver.responses)
	driver.send(1, "2", "read", false)
	driver.runUntil(2100 * time.Millisecond)
	if driver.resets != 1 || len(driver.responses) > before && driver.responses[before].Outcome != Rejected {
		t.Errorf("%d resets, responses %+v; want 1 reset and no response but a rejection", driver.resets, driver.responses[before:])
	}
	driver.runUntil(4 * time.Second)
	listed := driver.listedByID()
	replacement, ok := listed["box-1"]
	if _, old := listed["box-0"]; old || !ok || replacement.Slot != 1 || replacement.Started == 0 || replacement.State != Up {
		t.Errorf("list %+v, want box-1 alone, up in slot 1 with a start time", listed)
	}
	before = len(driver.responses)
	driver.send(1, "1", "read", false) // the old server had a copy of this key
	driver.runUntil(4100 * time.Millisecond)
	if len(driver.responses) == before || driver.responses[before].Outcome != Miss {
		t.Errorf("responses of the replacement: %+v, want a miss", driver.responses[before:])
	}
}

// When two faults of the same kind overlap on one server, the end of the shorter one must not end the longer one too.
// After both have ended, the server is as it was before.
func TestOverlappingFaultsEndWithTheLastOne(t *testing.T) {
	driver := newDriver(t, testSpec(1, 1, Fault{Kind: Freeze, At: time.Second, For: 3 * time.Second}, Fault{Kind: Freeze, At: 2 * time.Second, For: time.Second},
		Fault{Kind: Kill, At: 10 * time.Second, For: 4 * time.Second}, Fault{Kind: Kill, At: 11 * time.Second, For: time.Second}))
	driver.runUntil(3500 * time.Millisecond)
	driver.send(1, "1", "read", false)
	driver.runUntil(3900 * time.Millisecond)
	if len(driver.responses) != 0 {
		t.Errorf("a frozen server responded after the shorter of two freezes: %+v", driver.responses)
	}
	driver.runUntil(5 * time.Second)
	if len(driver.responses) == 0 {
		t.Error("no response after both freezes")
	}
	driver.runUntil(12500 * time.Millisecond)
	if driver.acceptors[1] != Refusing {
		t.Errorf("acceptor after the shorter of two kills: %v, want %v", driver.acceptors[1], Refusing)
	}
	driver.runUntil(20 * time.Second)
	if entry := driver.listedByID()["box-0"]; driver.acceptors[1] != Accepting || entry.State != Up || entry.Started != 14*time.Second {
		t.Errorf("after both kills: acceptor %v, entry %+v; want accepting and up, started at 14s", driver.acceptors[1], entry)
	}
}

// hasActiveFault reports whether a fault is still active on a server. A server that crashed stays killed for good, so its kill
// does not count as an active fault.
func (srv *server) hasActiveFault() bool {
	hasCrashed := srv.cache != nil && srv.cache.hasCrashed
	return srv.kills != 0 && !hasCrashed || srv.freezes != 0 || srv.stalls != 0 || srv.drains != 0 ||
		len(srv.slowdowns)+len(srv.corruption)+len(srv.packetLoss) != 0 || srv.partitions[0]+srv.partitions[1] != 0 ||
		srv.origin != nil && (srv.origin.stallFaults != 0 || srv.origin.slowdown < 0.99 || srv.origin.slowdown > 1.01)
}

// Guards against a fault that still has an effect after its end, for example because it overlapped other faults. Once all faults
// have ended, the system must answer requests again.
func TestEndedFaultsHaveNoEffect(t *testing.T) {
	kinds := []FaultKind{Drain, Kill, Freeze, Partition, Slow, Stall, Flap, CorruptResponse, PacketLoss, DiscoveryLag, DiscoveryDown, DiscoveryEmpty, OriginSlow, OriginStall}
	rapid.Check(t, func(r *rapid.T) {
		var faults []Fault
		for range rapid.IntRange(1, 8).Draw(r, "faults") {
			faults = append(faults, Fault{Kind: rapid.SampledFrom(kinds).Draw(r, "kind"),
				At:     time.Duration(rapid.IntRange(0, 2000).Draw(r, "at")) * time.Millisecond,
				For:    time.Duration(rapid.IntRange(1, 3000).Draw(r, "for")) * time.Millisecond,
				Factor: 0.5, Share: 0.3, Lag: time.Second, Period: 500 * time.Millisecond,
				Select: Selector{Count: rapid.IntRange(0, 2).Draw(r, "count")}})
		}
		driver := newDriver(t, testSpec(rapid.Uint64().Draw(r, "seed"), 3, faults...))
		driver.generateLoad(3*time.Second, 20*time.Millisecond)
		driver.runUntil(30 * time.Second)
		for _, srv := range driver.servers {
			if srv.hasActiveFault() {
				r.Fatalf("%s after all faults: %+v, want none active", srv.id, srv)
			}
		}
		if driver.discovery.extraLag != 0 || driver.discovery.outages != 0 || driver.discovery.emptyFaults != 0 {
			r.Fatalf("discovery service after all faults: %+v, want none active", driver.discovery)
		}
		before := len(driver.responses)
		if driver.send(1, "7", "read", false) {
			if driver.runUntil(40 * time.Second); len(driver.responses) == before {
				r.Fatal("no response after all faults")
			}
		}
	})
}

// A server in slow start crashes if it gets more than three times its capacity. A server after slow start only queues the
// requests.
func TestOverloadCrashesServerInSlowStartOnly(t *testing.T) {
	for _, warmingUp := range []bool{false, true} {
		spec := testSpec(1, 1)
		kind := *standardKind
		kind.MissWork, kind.Slots, kind.Queue = 1, 1000, 1000
		spec.CacheServers[0].Kind = &kind
		if warmingUp {
			spec.Faults = []Fault{{Kind: Kill, At: time.Millisecond, For: time.Millisecond}}
		}
		driver := newDriver(t, spec)
		driver.runUntil(10 * time.Millisecond)
		for i := range 500 {
			driver.runUntil(driver.now + 4*time.Millisecond) // 250 requests/s of 15 ms need 3.75 cores; slow start begins with 2*0.2 = 0.4
			driver.send(1, fmt.Sprint(i), "read", false)
		}
		if len(driver.overloaded) > 0 != warmingUp {
			t.Errorf("slow start %v: crashed %v", warmingUp, driver.overloaded)
		}
	}
}

// Calls to the discovery service are answered one after another. A watch gets the changes until an outage ends it.
func TestWatchGetsChangesUntilDiscoveryFails(t *testing.T) {
	driver := newDriver(t, testSpec(1, 2, Fault{Kind: Drain, At: 3 * time.Second, For: time.Second, Select: Selector{IDs: []string{"box-1"}}},
		Fault{Kind: DiscoveryDown, At: 8 * time.Second, For: time.Second}))
	version := driver.List().Version
	driver.carryOut(driver.Step(0, DiscoveryCall{Call: 1, Watch: true, After: version}))
	driver.carryOut(driver.Step(0, DiscoveryCall{Call: 2}))
	driver.runUntil(time.Second)
	if len(driver.replies) != 2 || driver.replies[0].Call != 1 || len(driver.replies[0].List.Entries) != 0 || !driver.replies[1].List.IsFull || len(driver.replies[1].List.Entries) != 3 || !driver.replies[1].Ends {
		t.Fatalf("replies %+v, want no changes for call 1, then the full list of 3 for call 2", driver.replies)
	}
	driver.runUntil(7 * time.Second)
	var changes []string
	for _, reply := range driver.replies[2:] {
		if reply.List != nil {
			changes = append(changes, fmt.Sprint(reply.List.Entries[0].ID, " ", reply.List.Entries[0].State, " ", reply.List.Version-version))
		}
	}
	if got, want := fmt.Sprint(changes), "[box-1 draining 1 box-1 up 2]"; got != want {
		t.Errorf("changes that the watch got: %s, want %s", got, want)
	}
	driver.runUntil(8500 * time.Millisecond)
	if last := driver.replies[len(driver.replies)-1]; !last.Ends || !last.Failed {
		t.Errorf("reply as the outage began: %+v, want failed", last)
	}
	driver.carryOut(driver.Step(8600*time.Millisecond, DiscoveryCall{Call: 3}))
	if last := driver.replies[len(driver.replies)-1]; last.Call != 3 || !last.Failed {
		t.Errorf("reply during the outage: %+v, want failed for call 3", last)
	}
}

// However many requests share the cores of a server, the server does as much work per second as its cores can do.
func TestCoresAreDividedEvenlyAmongRequests(t *testing.T) {
	for requests, want := range map[int]time.Duration{1: 100 * time.Millisecond, 2: 100 * time.Millisecond, 8: 400 * time.Millisecond} {
		server := newCacheServer(standardKind, 1, 0, false, RandomStream(1, "t"))
		server.memory.put(Copy{Key: "k"})
		for i := range requests {
			server.receive(&Request{Key: "k", Seq: uint64(i), Work: 100 * time.Millisecond}, true)
		}
		server.startWaiting(0)
		at := server.nextFinish()
		server.advance(at)
		if finished := server.finish(at); len(finished) != requests || at < want || at > want+time.Microsecond {
			t.Errorf("%d requests: %d finished at %s, want all at %s", requests, len(finished), at, want)
		}
	}
}

func TestFullCacheEvictsByItsOrder(t *testing.T) {
	for fifo, evicted := range map[bool]string{true: "a", false: "b"} {
		cache := newCache(3*(10+1+copyOverhead), fifo)
		for _, key := range []string{"a", "b", "c"} {
			cache.put(Copy{Key: key, Size: 10})
		}
		cache.get("a")
		cache.put(Copy{Key: "d", Size: 10})
		for _, key := range []string{"a", "b", "c", "d"} {
			if _, got := cache.get(key); got != (key != evicted) {
				t.Errorf("FIFO %v: %s is cached: %v, want %v", fifo, key, got, key != evicted)
			}
		}
	}
}

// A request that is in execution when its server is listed as draining is finished and answered. A request that arrives
// afterwards is rejected.
func TestDrainingServerFinishesRequestsAndRejectsNewOnes(t *testing.T) {
	spec := testSpec(1, 1, Fault{Kind: Drain, At: time.Second, For: 5 * time.Second})
	kind := *standardKind
	kind.MissWork, kind.ErrorRate = 1, 0
	spec.CacheServers[0].Kind = &kind
	spec.Classes[0] = ClassSpec{"read", 800 * time.Millisecond, 800 * time.Millisecond}
	spec.Discovery.MinLag, spec.Discovery.MaxLag = 10*time.Millisecond, 10*time.Millisecond
	driver := newDriver(t, spec)
	driver.runUntil(900 * time.Millisecond)
	driver.send(1, "1", "read", false)
	driver.runUntil(1100 * time.Millisecond)
	if entry := driver.listedByID()["box-0"]; entry.State != Draining || len(driver.responses) != 0 {
		t.Fatalf("entry %+v with %d responses, want draining and none while the request is in execution", entry, len(driver.responses))
	}
	driver.send(1, "2", "read", false)
	driver.runUntil(4 * time.Second)
	got := driver.responses
	if len(got) < 2 || got[0].Request != "2" || got[0].Outcome != Rejected || got[1].Request != "1" || got[1].Outcome != Miss {
		t.Errorf("responses %+v, want a rejection of 2 and then a miss for 1", got)
	}
}
