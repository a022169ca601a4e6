package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"shelfproxy/internal/discovery/polling"
	"shelfproxy/internal/fleet/gossip"
)

// fleet is many routers that see the same servers, each a small part of the requests. Messages arrive at the next
// step, or are lost.
type fleet struct {
	benches []*bench
	waiting []GossipReceived
	lost    float64
	rng     *rand.Rand
	told    int // bytes, by receiver
	probes  int
}

func newFleet(t *testing.T, routers int, peers bool, lost float64, servers ...string) *fleet {
	f := &fleet{lost: lost, rng: rand.New(rand.NewPCG(1, 1))}
	set := testSettings()
	set.Nodes, set.MayGossip, set.DrainGrace = routers, peers, 2500*ms
	for i := range routers {
		b := newBench(t, set, servers...)
		b.r.rng = rand.New(rand.NewPCG(uint64(i), 7))
		f.benches = append(f.benches, b)
	}
	return f
}

// take keeps what routers tell and counts their probes, which end as said.
func (f *fleet) take(from int, actions []Action, down func(server string) bool) {
	for _, a := range actions {
		switch a := a.(type) {
		case Gossip:
			f.waiting = append(f.waiting, GossipReceived{From: from, Data: a.Data})
			f.told += len(a.Data) * (len(f.benches) - 1)
		case HealthCheck:
			f.probes++
			reason := Succeeded
			if down(a.Server) {
				reason = NoConnection
			}
			f.take(from, f.benches[from].do(HealthChecked{Server: a.Server, Reason: reason}), down)
		}
	}
}

// turn is 10 ms of one router: messages arrive, and four times a second it looks around.
func (f *fleet) turn(n, i int, heard []GossipReceived, down func(server string) bool) {
	b := f.benches[i]
	b.now += 10 * ms
	for _, h := range heard {
		if h.From != i && f.rng.Float64() >= f.lost {
			f.take(i, b.do(h), down)
		}
	}
	if (n+i)%25 == 0 {
		f.take(i, b.do(TimerFired{Token: housekeep}), down)
	}
}

// arrived is what was told since the last step.
func (f *fleet) arrived() []GossipReceived {
	heard := f.waiting
	f.waiting = nil
	return heard
}

func well(string) bool { return false }

// hotOr is a key of many, or with a chance of one in ten the hot one.
func (f *fleet) hotOr(hot bool) string {
	if hot && f.rng.IntN(10) == 0 {
		return "hot"
	}
	return fmt.Sprint("key", f.rng.IntN(5000))
}

// step is 10 ms: each message arrives, and in a quarter of a second each router looks around and serves one request.
func (f *fleet) step(n int, answer func(server string) Reason) (asked map[string]int) {
	asked = map[string]int{}
	down := func(s string) bool { return answer(s) == NoConnection }
	heard := f.arrived()
	for i, b := range f.benches {
		f.turn(n, i, heard, down)
		if (n+i)%25 != 0 {
			continue
		}
		id, actions := b.ask("high", fmt.Sprint("key", f.rng.IntN(5000)), nil)
		f.take(i, actions, down)
		for range 3 {
			sends := find[Send](actions)
			if len(sends) == 0 {
				break
			}
			asked[sends[0].Server]++
			reason, took := answer(sends[0].Server), 10*ms
			if reason == TimedOut { // in this test: slow
				reason, took = Succeeded, 2*time.Second
			}
			actions = b.end(id, reason, took)
			f.take(i, actions, down)
		}
	}
	return asked
}

func names(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprint("s", 10+i))
	}
	return ids
}

// TestFleetFindsABadServer: each of 60 routers has 4 requests a second for 40 servers, so it meets one every ten
// seconds. Together they find it within a few, and give it back when it is well.
func TestFleetFindsABadServer(t *testing.T) {
	for name, bad := range map[string]Reason{"errors": Errored, "slow": TimedOut} {
		share := map[bool]float64{}
		for _, peers := range []bool{false, true} {
			f := newFleet(t, 60, peers, 0.1, names(40)...)
			before, during, after := 0, 0, 0
			for n := range 3400 {
				well := n < 800 || n >= 1800
				asked := f.step(n, func(s string) Reason {
					if s == "s20" && !well {
						return bad
					}
					return Succeeded
				})
				switch {
				case n < 800: // eight seconds, as a server has six requests in one
					before += asked["s20"]
				case n >= 1400 && n < 1800: // some seconds after it went bad: one router has to meet it twice
					during += asked["s20"]
				case n >= 2600:
					after += asked["s20"]
				}
			}
			share[peers] = float64(during) * 2 / float64(before)
			if peers && float64(after) < 0.4*float64(before) {
				t.Errorf("%s: asked %d times in 8 s before, %d in 4 s while bad, %d in 8 s after", name, before, during, after)
			}
			if perRequest := float64(f.told) / 256 / (60 * 4 * 34); perRequest > 0.5 {
				t.Errorf("%s: %.2f full messages a request", name, perRequest)
			}
		}
		if share[true] > 0.35 || share[true] > share[false]*0.7 {
			t.Errorf("%s: a bad server got %.2f of its requests with messages, %.2f without", name, share[true], share[false])
		}
	}
}

// TestFleetAgreesThatAServerIsDown: the routers that find out tell the others, which need not probe it one by one, and
// nobody's old word keeps it alive.
func TestFleetAgreesThatAServerIsDown(t *testing.T) {
	probes := map[bool]int{}
	for _, peers := range []bool{false, true} {
		f := newFleet(t, 60, peers, 0.1, names(20)...)
		down := func(n int) bool { return n >= 300 && n < 1100 }
		silent := func() (n int) {
			for _, b := range f.benches {
				if b.r.byID["s15"].silent {
					n++
				}
			}
			return n
		}
		for n := range 1500 {
			f.step(n, func(s string) Reason {
				if s == "s15" && down(n) {
					return NoConnection
				}
				return Succeeded
			})
			if peers && n == 600 && silent() < 55 {
				t.Errorf("after 3 s %d of 60 routers know that it is down", silent())
			}
			if peers && n == 1050 && silent() < 55 {
				t.Errorf("%d of 60 routers hold on to it", silent())
			}
		}
		if peers && silent() > 5 {
			t.Errorf("4 s after it came back %d of 60 routers leave it out", silent())
		}
		probes[peers] = f.probes
	}
	if probes[true] > probes[false]*3/4 {
		t.Errorf("%d probes with messages, %d without", probes[true], probes[false])
	}
}

// TestHearsayIsNotPassedOn: or it would go round for ever.
func TestHearsayIsNotPassedOn(t *testing.T) {
	set := testSettings()
	set.Nodes, set.MayGossip = 3, true
	b := newBench(t, set, "s1", "s2", "s3")
	teller := newBench(t, set, "s1", "s2", "s3")
	teller.r.byID["s1"].opinion.Update(1, 0)
	for range 5 {
		teller.r.talk.AttemptEnded(&teller.r.byID["s1"].opinion, 0, true, 0)
	}
	teller.r.talk.Unresponsive(teller.r.byID["s2"].opinion.Fingerprint)
	data := teller.r.talk.NextDatagram(time.Hour, 0)
	b.now += 5 * time.Second
	actions := slices.Concat(b.do(GossipReceived{1, data}), b.do(GossipReceived{2, data}))
	if !b.r.byID["s2"].silent || b.r.byID["s1"].opinion.KeptFraction == 1 {
		t.Fatal("nothing was believed")
	}
	for range 8 {
		b.now += time.Second
		actions = append(actions, b.do(TimerFired{Token: housekeep})...)
	}
	if told := find[Gossip](actions); len(told) != 0 {
		t.Errorf("told %v, which it only heard", told)
	}
	before := b.r.byID["s1"].gauge.n
	for _, bad := range [][]byte{nil, {}, {1}, []byte("hello, world"), append([]byte{1}, data[1:]...), append(data, 1)} {
		b.do(GossipReceived{1, bad})
	}
	if b.r.byID["s1"].gauge.n != before {
		t.Error("a malformed message counted")
	}
}

// TestListCallsOfAFleetAreSpread: routers that start together, or lose their watches together, do not call together,
// each has one call out at a time, and the list they hold serves meanwhile.
func TestListCallsOfAFleetAreSpread(t *testing.T) {
	set := testSettings()
	set.Nodes, set.MustPoll, set.DrainGrace = 80, true, 2500*ms
	var routers []*bench
	for i := range set.Nodes {
		b := newBench(t, set)
		b.r.rng = rand.New(rand.NewPCG(uint64(i), 3))
		b.r.ticking = false
		b.do(EndpointUpdate{Scope: CachedList, Servers: []Server{{ID: "s1", Kind: "cache", Zone: "a", Capacity: 1}}})
		routers = append(routers, b)
	}
	calls := func(steps int) (total, most int) {
		for range steps {
			n := 0
			for _, b := range routers {
				b.now += upkeepEvery
				n += len(find[Subscribe](b.do(TimerFired{housekeep})))
			}
			total, most = total+n, max(most, n)
		}
		return total, most
	}
	for round, within := range []time.Duration{4 * time.Second, 8 * time.Second} {
		total, most := calls(int(within/upkeepEvery) + 1)
		if total != 80 || most > 14 {
			t.Fatalf("round %d: %d calls in %v, %d of them within %v; want one each, spread", round, total, within, most, upkeepEvery)
		}
		for _, b := range routers {
			if _, actions := b.ask("high", "k", nil); b.sentTo(actions) != "s1" {
				t.Fatal("the list that is held should serve")
			}
			b.do(EndpointUpdate{Scope: PollFailed})
		}
	}
}

// TestCallsForTheListKeepTheRules: however many routers there are, what the list has to tell counts as told 6 s after it could be
// had, and the grace for drains runs from there. Within both, a watch that falls silent as a change is made is found out and the
// call after it answered; a call is made and answered after one that failed, had the list come back the moment that one began;
// and, after a start, a second call after a first that failed. Calls are no closer than one service can take: 5 ms each where a
// list names 200 servers, as was measured on the fleet's days, or a little less where the grace leaves no more.
func TestCallsForTheListKeepTheRules(t *testing.T) {
	for grace, pace := range map[time.Duration]time.Duration{2500 * ms: 5 * ms, 500 * ms: 4 * ms} {
		for _, routers := range []int{1, 4, 80, 300, 1000} {
			set := testSettings()
			set.Nodes, set.MustPoll = routers, true
			set.MaxPollInterval, set.DrainGrace = 10*time.Second, grace
			b := newBench(t, set)
			first, again := b.r.spread(), b.r.calls.FirstBackoff()
			most := listTold + grace
			if worst := polling.WatchTimeout + upkeepEvery + first + listCall; worst > most {
				t.Errorf("%d routers: the call after a silent watch is answered up to %v after a change", routers, worst)
			}
			for range 10 { // the waits grow
				b.r.calls.Failed(b.now)
			}
			b.r.calls.Jitter = func(wait time.Duration) time.Duration { return wait } // the longest there is
			failed := b.now
			b.do(EndpointUpdate{Scope: PollFailed})
			for len(find[Subscribe](b.do(TimerFired{housekeep}))) == 0 {
				b.now += upkeepEvery
			}
			if worst := polling.CallTimeout + b.now - failed + listCall; worst > most {
				t.Errorf("%d routers: the call after one that failed is answered up to %v after the list is back", routers, worst)
			}
			if worst := first + listCall + again + upkeepEvery; worst > most+upkeepEvery {
				t.Errorf("%d routers: a second call is made up to %v after a start", routers, worst)
			}
			if routers <= 300 && first < pace*time.Duration(routers) {
				t.Errorf("%d routers make their first calls within %v", routers, first)
			}
			if routers <= 4 && first > 200*ms {
				t.Errorf("%d routers wait up to %v", routers, first)
			}
		}
	}
}

// TestFleetFindsAHotKey: each of 100 routers has 10 requests a second for 50 servers, and from one moment on a tenth of
// them are for one key. A router alone sees it once a second; together they spread it within one.
func TestFleetFindsAHotKey(t *testing.T) {
	share := map[bool]float64{}
	for _, peers := range []bool{false, true} {
		f := newFleet(t, 100, peers, 0.1, names(50)...)
		owner, at, all := f.benches[0].owner("hot"), 0, 0
		for n := range 1150 {
			heard := f.arrived()
			for i, b := range f.benches {
				f.turn(n, i, heard, well)
				if (n+i)%10 != 0 {
					continue
				}
				key := f.hotOr(n > 1000)
				id, actions := b.ask("high", key, nil)
				f.take(i, actions, well)
				if key == "hot" && n >= 1050 {
					if all++; b.sentTo(actions) == owner {
						at++
					}
				}
				f.take(i, b.end(id, Succeeded, 10*ms), well)
			}
		}
		share[peers] = float64(at) / float64(all)
		t.Logf("peers %v: the owner gets %.2f of the requests for the hot key", peers, share[peers])
	}
	if share[true] > 0.6*share[false] {
		t.Errorf("the owner of a hot key keeps %.2f of its requests, %.2f where nothing is told", share[true], share[false])
	}
}

// TestSlowServersHotKeysAreSpreadSooner: what is a server's fair share goes by its size.
func TestSlowServersHotKeysAreSpreadSooner(t *testing.T) {
	set := testSettings()
	set.WeightByCapacity = true
	b := newBench(t, set)
	list := EndpointUpdate{Scope: FullUpdate, Servers: []Server{{ID: "o", Kind: "origin"}}}
	for i, id := range names(20) {
		list.Servers = append(list.Servers, Server{ID: id, Kind: "cache", Capacity: []float64{1, 9}[i%2]})
	}
	b.do(list)
	b.others(400)
	to := map[float64]map[string]bool{1: {}, 9: {}} // by the owner's size
	for i := range 40 {
		key := fmt.Sprint("warm", i)
		s, _ := b.r.next(mix(hash(key)%slots+1), 0, &request{})
		for range 6 { // 0.15 to 0.25 of a mean server's share at the end; a small one's is 0.2, a large one's 1.8
			id, actions := b.ask("high", key, nil)
			if to[s.Capacity][key] = to[s.Capacity][key] || b.sentTo(actions) != s.ID; true {
				b.end(id, Succeeded, ms)
			}
		}
	}
	count := func(m map[string]bool) (share float64) {
		for _, moved := range m {
			if moved {
				share += 1 / float64(len(m))
			}
		}
		return share
	}
	if small, large := count(to[1]), count(to[9]); small < 0.5 || large > 0.1 {
		t.Errorf("%.2f of the keys of small servers are spread and %.2f of large ones', want most and none", small, large)
	}
}

// TestFleetSparesTheColdOwnerOfAHotKey: a tenth of all requests are for one key when the server that owns it starts
// anew. Each of 300 routers would send its first one there, as it knows of no other; a third of them have only started
// themselves. Any 1.5 s bring it less than would push it over, were it to grow no warmer meanwhile.
func TestFleetSparesTheColdOwnerOfAHotKey(t *testing.T) {
	f := newFleet(t, 300, true, 0.1, names(50)...)
	owner := f.benches[0].owner("hot")
	const steps, start = 1400, 800
	sent, all := make([]int, steps), 0
	for n := range steps {
		if n == start {
			for i, b := range f.benches {
				if i%3 == 0 {
					now := b.now
					*b = *newBench(t, b.r.set, names(50)...)
					b.now = now
					b.r.rng = rand.New(rand.NewPCG(uint64(i), 8))
				}
				b.do(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: owner, Kind: "cache", Zone: "a", Capacity: 1, StartedAt: b.now}}})
			}
		}
		heard := f.arrived()
		for i, b := range f.benches {
			f.turn(n, i, heard, well)
			if (n+i)%20 != 0 { // 5 requests a second: two thirds of a second until a router meets the key twice
				continue
			}
			key := f.hotOr(true)
			id, actions := b.ask("high", key, nil)
			to := b.sentTo(actions)
			if all++; to == owner {
				sent[n]++
			}
			f.take(i, actions, well)
			f.take(i, b.end(id, Succeeded, 10*ms), well)
		}
	}
	set := f.benches[0].r.set
	fair := float64(all) / steps * 150 / 50 // of one server in 1.5 s
	most, total := 0, 0
	for n := start; n+150 <= steps; n++ {
		in := 0
		for _, k := range sent[n : n+150] {
			in += k
		}
		most = max(most, in)
	}
	for _, k := range sent[start:] {
		total += k
	}
	t.Logf("at most %d in 1.5 s, %d in 6 s; a warm server is asked %.0f in 1.5 s", most, total, fair)
	if limit := set.OverloadFactor * set.SlowStartFloor * fair; float64(most) > limit || total == 0 {
		t.Errorf("%d requests reached the cold server in 1.5 s, %.0f push it over; %d in all", most, limit, total)
	}
}

// TestColdServersLotsGoByWhatAllKnow: a router that was asked nothing of a cold server lets it have an ordinary key, and
// one in many of the requests for a key that the others tell of.
func TestColdServersLotsGoByWhatAllKnow(t *testing.T) {
	set := testSettings()
	set.Nodes = 300
	b := newBench(t, set, names(50)...)
	b.others(400)
	b.do(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "s20", Kind: "cache", Zone: "a", Capacity: 1, StartedAt: b.now}}})
	for i := range 400 { // half of what the others tell
		for _, key := range []string{"hot", fmt.Sprint("ordinary", i%200)} {
			b.r.keys.Count(b.now, gossip.FingerprintOf(hash(key)), 50)
		}
	}
	cold := b.r.byID["s20"]
	taken := func(key string) (n int) {
		for range 1000 {
			if cold.asked = 0; b.r.mayTake(cold, &request{Request: Request{Key: key}}) {
				n++
			}
		}
		return n
	}
	if ordinary, hot := taken("ordinary7"), taken("hot"); ordinary < 500 || hot == 0 || hot > 150 {
		t.Errorf("of 1000 lots a cold server has %d for an ordinary key and %d for a hot one", ordinary, hot)
	}
}

// TestFleetSize: the routers that are there probe a silent server at the pace of the whole fleet, and spread calls for the list
// over the time that the whole fleet would; where they cannot be told, those of the settings count.
func TestFleetSize(t *testing.T) {
	set := testSettings()
	set.Nodes, set.MayGossip, set.DrainGrace = 60, true, 2500*ms
	b := newBench(t, set, names(4)...)
	probe, call := b.r.again(), b.r.calls.SpreadOver
	b.do(FleetSize{Nodes: 30})
	if b.r.again() != probe/2 || b.r.calls.SpreadOver >= call {
		t.Errorf("half are there: a probe after %v, calls over %v; %v and %v with all", b.r.again(), b.r.calls.SpreadOver, probe, call)
	}
	b.do(FleetSize{})
	if b.r.again() != probe || b.r.calls.SpreadOver != call {
		t.Errorf("not told: a probe after %v, calls over %v; want %v and %v", b.r.again(), b.r.calls.SpreadOver, probe, call)
	}
}

// TestOneProbesForAll: with the duty to probe at one router, a server that is silent for 20 s costs a fleet a fraction of
// the probes, and all have it back no later than without.
func TestOneProbesForAll(t *testing.T) {
	const routers = 60
	type result struct {
		probes int
		back   time.Duration // until nine in ten have it back
	}
	play := func(duty bool, lost float64) (r result) {
		f := newFleet(t, routers, true, lost, names(40)...)
		f.rng = rand.New(rand.NewPCG(9, 9))
		if duty {
			for i, b := range f.benches {
				who := AssignedElsewhere
				if i == 7 {
					who = AssignedHere
				}
				b.do(RoleAssigned{HealthChecker, who})
			}
		}
		const from, until = 200, 2200
		for n := range 6000 {
			if n == from+300 { // all know by then that it is silent
				f.probes = 0
			}
			f.step(n, func(s string) Reason {
				if s == "s20" && n >= from && n < until {
					return NoConnection
				}
				return Succeeded
			})
			if n == until-1 {
				r.probes = f.probes
			}
			back := 0
			for _, b := range f.benches {
				if !b.r.byID["s20"].silent {
					back++
				}
			}
			if n >= until && back >= routers*9/10 {
				r.back = time.Duration(n-until) * 10 * ms
				return r
			}
		}
		t.Fatalf("duty %v: it never came back", duty)
		return r
	}
	for _, lost := range []float64{0, 0.1} {
		alone, one := play(false, lost), play(true, lost)
		t.Logf("%.0f%% lost: %d probes in 17 s without the duty, back after %v; %d with it, back after %v", lost*100, alone.probes, alone.back, one.probes, one.back)
		if one.probes*3 > alone.probes || one.back > alone.back+500*ms {
			t.Errorf("%.0f%% lost: %+v with the duty, %+v without", lost*100, one, alone)
		}
	}
}

// TestOneCallsForAll: while the list does not answer for eight seconds, one router calls for all and tells the others when
// it answers again. They call as soon as without, and two thirds as often at most; with every word lost each still calls, as soon
// as the rule on what counts as told wants.
func TestOneCallsForAll(t *testing.T) {
	const routers = 80
	type result struct {
		failed int
		last   time.Duration // until all have the list again
	}
	play := func(duty bool, lost float64) (r result) {
		f := newFleet(t, routers, true, 0, "s1")
		down := 8 * time.Second
		var words []int // routers that said so, and when
		have := make([]bool, routers)
		for i, b := range f.benches {
			b.r.set.MustPoll = true
			b.do(EndpointUpdate{Scope: PollFailed}) // the watch of each breaks
			if who := AssignedElsewhere; duty {
				if i == 7 {
					who = AssignedHere
				}
				b.do(RoleAssigned{DiscoveryPoller, who})
			}
		}
		for n := 0; ; n++ {
			at := time.Duration(n) * 10 * ms
			heard := len(words)
			for i, b := range f.benches {
				b.now += 10 * ms
				var acts []Action
				if heard > 0 && f.rng.Float64() >= lost {
					acts = append(acts, b.do(RoleAnnouncement{DiscoveryPoller})...)
				}
				if (n+i)%25 == 0 {
					acts = append(acts, b.do(TimerFired{Token: housekeep})...)
				}
				for len(acts) > 0 {
					a := acts[0]
					acts = acts[1:]
					switch a.(type) {
					case Subscribe:
						if at < down {
							r.failed++
							acts = append(acts, b.do(EndpointUpdate{Scope: PollFailed})...)
						} else {
							have[i] = true
							acts = append(acts, b.do(EndpointUpdate{Scope: DeltaUpdate})...)
						}
					case Announce:
						words = append(words, i)
					}
				}
			}
			words = words[heard:]
			if !slices.Contains(have, false) {
				r.last = at - down
				return r
			}
			if at > time.Minute {
				t.Fatalf("duty %v: not all have the list", duty)
			}
		}
	}
	alone, one, deaf := play(false, 0), play(true, 0), play(true, 1)
	t.Logf("%d calls failed without the duty, all had the list %v after; %d with it, %v; with every word lost %d, %v", alone.failed, alone.last, one.failed, one.last, deaf.failed, deaf.last)
	if one.failed*3 > alone.failed*2 || one.last > 6*time.Second || deaf.last > 4500*ms {
		t.Errorf("%+v alone, %+v with the duty, %+v with every word lost", alone, one, deaf)
	}
}

// TestBadServersKeepTheirKeysPastTheBudget: with a quarter of the servers drained and more bad than the budget has left,
// the bad ones keep keys; and one that others say is silent stays until this router's own probe fails.
func TestBadServersKeepTheirKeysPastTheBudget(t *testing.T) {
	share := func(budget float64) (kept float64) {
		set := testSettings()
		set.MaxEjectedFraction, set.MayGossip, set.Nodes = budget, true, 3
		b := newBench(t, set, names(12)...)
		var out []Server
		for _, id := range names(3) {
			s := b.r.byID[id].Server
			s.State = Draining
			out = append(out, s)
		}
		b.do(EndpointUpdate{Scope: DeltaUpdate, Servers: out})
		for range 40 {
			b.now += 50 * ms
			for i, id := range names(12) {
				b.r.saw(b.r.byID[id], 10*ms, i >= 3 && i < 7)
			}
		}
		for _, id := range names(12)[3:7] {
			kept += b.r.byID[id].opinion.KeptFraction / 4
		}
		note := gossip.Buffer{}
		note.Unresponsive(b.r.byID["s20"].opinion.Fingerprint)
		word := note.Encode()
		b.now += time.Second
		b.do(GossipReceived{From: 1, Data: word})
		b.do(GossipReceived{From: 2, Data: word})
		if over := budget > 0; b.r.byID["s20"].silent == over {
			t.Errorf("budget %v: a server is taken out on the word of others: %v", budget, !over)
		}
		return kept
	}
	none, some, full := share(0), share(0.4), share(0.25)
	if none > 0.3 || some <= none || some > 0.8 || full < 0.99 {
		t.Errorf("four bad servers keep %v of their keys without a budget, %v with 0.4, %v with 0.25", none, some, full)
	}
}
