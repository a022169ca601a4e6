package policy

import (
	"fmt"
	"math/rand/v2"
	"shelfproxy/internal/fleet/gossip"
	"strconv"
	"testing"
	"time"
)

func TestRestartedServerStaysWithinItsBudget(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	cold := func(n int) (sent int) {
		for i := range n {
			id, actions := driver.request("high", fmt.Sprint("c", driver.nextID, i), nil)
			if driver.sentTo(actions) == "s3" {
				sent++
			}
			driver.now += 5 * ms
			driver.endAttempt(id, Succeeded, 5*ms)
		}
		return sent
	}
	warm := cold(600)
	driver.now += upkeepInterval
	driver.handle(TimerFired{upkeepToken})
	driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "s3", Kind: "cache", StartedAt: driver.now, Capacity: 1}}})
	if fresh := cold(600); fresh == 0 || fresh > warm*6/10 {
		t.Errorf("a server that just started was sent %d, when warm %d", fresh, warm)
	}
	driver.now += 21 * time.Second
	if back := cold(600); back < warm*8/10 {
		t.Errorf("a warm server was sent %d, want about %d", back, warm)
	}
	// One hot key must not push it over either: all reads of a key it owns come at once.
	driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "s3", Kind: "cache", StartedAt: driver.now, Capacity: 1}}})
	owned := ""
	for i := 0; owned == "" && i < 1000; i++ {
		if key := fmt.Sprint("o", i); driver.ownerOf(key) == "s3" {
			owned = key
		}
	}
	sent := 0
	for range 200 {
		if _, actions := driver.request("high", owned, nil); driver.sentTo(actions) == "s3" {
			sent++
		}
	}
	// An average server is asked for about 100 in the window of popularity.
	if limit := 3 * 0.2 * 110; float64(sent) > limit {
		t.Errorf("a surge sent %d to a cold server, want at most %.0f", sent, limit)
	}
}

func TestManyRoutersTogetherSpareARestartedServer(t *testing.T) {
	settings := testSettings()
	settings.Nodes = 400
	names := []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10"}
	driver := newDriver(t, settings, names...)
	driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "s1", Kind: "cache", StartedAt: driver.now, Capacity: 1}}})
	hot := "" // a key that s1 owns even when cold
	for i := 0; hot == ""; i++ {
		if key := fmt.Sprint("h", i); driver.ownerOf(key) == "s1" {
			hot = key
		}
	}
	sent, offered := 0, 0
	for seed := range uint64(settings.Nodes) {
		driver := newDriver(t, settings, names...)
		driver.router.rng = rand.New(rand.NewPCG(seed, 1))
		for i := range 40 { // a popular key of s1 brings a third of all requests
			driver.now += 500 * ms
			key := fmt.Sprint("x", i)
			if i%3 == 0 {
				key = hot
			}
			id, actions := driver.request("high", key, nil)
			driver.handle(Outcome{ID: id, Reason: Succeeded, Took: ms, Ended: true})
			if i == 20 {
				driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "s1", Kind: "cache", StartedAt: driver.now, Capacity: 1}}})
			}
			if i > 20 && i <= 26 {
				offered++
				if driver.sentTo(actions) == "s1" {
					sent++
				}
			}
		}
	}
	// An average server gets a tenth; the cold one can do at least a fifth of what it could when warm, and the
	// rule allows three times that.
	if limit := offered / 10 * 2 * 3 / 10; sent == 0 || sent > limit {
		t.Errorf("a cold server with a hot key was sent %d of %d, want some and at most %d", sent, offered, limit)
	}
}

func TestPartsOfHotKeysCountAgainstTheSlowStartBudget(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
	var hot []string // keys that s1 does not own but is next for, when cold
	driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "s1", Kind: "cache", StartedAt: driver.now, Capacity: 1}}})
	for i := 0; len(hot) < 3; i++ {
		slot := slotOf(fmt.Sprint("h", i))
		_, at := driver.router.nextServer(slot, 0, &request{})
		if s, _ := driver.router.nextServer(slot, at, &request{}); s.ID == "s1" {
			hot = append(hot, fmt.Sprint("h", i))
		}
	}
	sent := 0
	for i := range 600 {
		driver.now += 5 * ms
		id, actions := driver.request("high", hot[i%3], nil)
		if driver.sentTo(actions) == "s1" {
			sent++
		}
		driver.endAttempt(id, Succeeded, 5*ms)
	}
	// Spread evenly s1 would get an eighth, 75; it can do at least a fifth of that, and the rule allows thrice.
	if sent > 45 {
		t.Errorf("parts of three hot keys brought %d of 600 requests to a cold server, want at most 45", sent)
	}
}

func TestSlowStartBudgetFollowsAnswersNotDemand(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	for i := range 600 { // a storm: clients ask again and again, one request in ten is answered
		id, actions := driver.request("high", fmt.Sprint("k", i), nil)
		if i%10 == 0 && len(actionsOf[Send](actions)) == 1 {
			driver.endAttempt(id, Succeeded, 5*ms)
		}
		driver.handle(ClientDisconnected{id})
	}
	driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "s3", Kind: "cache", StartedAt: driver.now, Capacity: 1}}})
	cold, taken := driver.router.serverByID["s3"], 0
	cold.offered = 0
	for range 100 {
		cold.offered++
		if driver.router.admitsDuringSlowStart(cold, &request{Request: Request{Key: "k1"}}) {
			taken++
		}
	}
	// Each server answered 20. Three times a fifth of that is 12, and the first few pass before it is known as hot.
	if taken == 0 || taken > 45 {
		t.Errorf("%d of 100 requests may go to a cold server while an average one answers 20, want 1 to 45", taken)
	}
}

// TestFleetSparesTheRestartedOwnerOfAHotKey: a tenth of all requests are for one key when the server that owns it
// starts anew. Each of 300 routers would send its first one there, as it knows of no other; a third of them have only
// started themselves. Any 1.5 s bring it less than would push it over, were it to grow no warmer meanwhile.
func TestFleetSparesTheRestartedOwnerOfAHotKey(t *testing.T) {
	fleet := newFleet(t, 300, true, 0.1, serverIDs(50)...)
	owner := fleet.drivers[0].ownerOf("hot")
	const steps, start = 1400, 800
	sent, all := make([]int, steps), 0
	for n := range steps {
		if n == start {
			for i, driver := range fleet.drivers {
				if i%3 == 0 {
					now := driver.now
					*driver = *newDriver(t, driver.router.settings, serverIDs(50)...)
					driver.now = now
					driver.router.rng = rand.New(rand.NewPCG(uint64(i), 8))
				}
				driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: owner, Kind: "cache", Zone: "a", Capacity: 1, StartedAt: driver.now}}})
			}
		}
		heard := fleet.deliverable()
		for i, driver := range fleet.drivers {
			fleet.advanceOne(n, i, heard, neverDown)
			if (n+i)%20 != 0 { // 5 requests a second: two thirds of a second until a router meets the key twice
				continue
			}
			key := fleet.drawKey(true)
			id, actions := driver.request("high", key, nil)
			to := driver.sentTo(actions)
			if all++; to == owner {
				sent[n]++
			}
			fleet.carryOut(i, actions, neverDown)
			fleet.carryOut(i, driver.endAttempt(id, Succeeded, 10*ms), neverDown)
		}
	}
	settings := fleet.drivers[0].router.settings
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
	if limit := settings.OverloadFactor * settings.SlowStartFloor * fair; float64(most) > limit || total == 0 {
		t.Errorf("%d requests reached the cold server in 1.5 s, %.0f push it over; %d in all", most, limit, total)
	}
}

// TestSlowStartAdmitsByPopularityAtAllRouters: a router that was asked nothing of a cold server lets it have an
// ordinary key, and one in many of the requests for a key that the others tell of.
func TestSlowStartAdmitsByPopularityAtAllRouters(t *testing.T) {
	settings := testSettings()
	settings.Nodes = 300
	driver := newDriver(t, settings, serverIDs(50)...)
	driver.readOtherKeys(400)
	driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "s20", Kind: "cache", Zone: "a", Capacity: 1, StartedAt: driver.now}}})
	for i := range 400 { // half of what the others tell
		for _, key := range []string{"hot", fmt.Sprint("ordinary", i%200)} {
			driver.router.keyCounts.Add(driver.now, gossip.FingerprintOf(hash(key)), 50)
		}
	}
	cold := driver.router.serverByID["s20"]
	taken := func(key string) (n int) {
		for range 1000 {
			if cold.offered = 0; driver.router.admitsDuringSlowStart(cold, &request{Request: Request{Key: key}}) {
				n++
			}
		}
		return n
	}
	if ordinary, hot := taken("ordinary7"), taken("hot"); ordinary < 500 || hot == 0 || hot > 150 {
		t.Errorf("of 1000 lots a cold server has %d for an ordinary key and %d for a hot one", ordinary, hot)
	}
}

// TestSlowStartBudgetDoesNotGrowWhenOthersLeave: what one server answers is judged by how many there were as it did.
// Half of them go: a cold one bears no more than it did a moment before.
func TestSlowStartBudgetDoesNotGrowWhenOthersLeave(t *testing.T) {
	settings := testSettings()
	driver := newDriver(t, settings, serverIDs(8)...)
	for i := range 400 {
		driver.now += 5 * ms
		id, _ := driver.request("high", "k"+strconv.Itoa(i), nil)
		driver.endAttempt(id, Succeeded, 10*ms)
	}
	driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "s1", Kind: "cache", Zone: "a", Capacity: 1, StartedAt: driver.now}}})
	taken := func() (n int) {
		cold := driver.router.serverByID["s1"]
		for range 4000 {
			cold.offered = 30 * driver.router.requestWeight
			if driver.router.admitsDuringSlowStart(cold, &request{Request: Request{Key: "k1"}}) {
				n++
			}
		}
		return n
	}
	before := taken()
	var gone []Server
	for _, id := range serverIDs(8)[4:] {
		gone = append(gone, Server{ID: id, Kind: "cache", Zone: "a", Capacity: 1, State: Removed})
	}
	driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: gone})
	if after := taken(); before == 0 || after > before*5/4 {
		t.Errorf("of 4000 lots it had %d, and %d once half of the others had left", before, after)
	}
}

// A server that was silent and answers again counts as cold, as it may have restarted. That it was only cut off shows
// by what it still holds; that it restarted by a connect that was refused meanwhile, a miss or the list.
func TestUnreachableServerIsDistinguishedFromRestartedOne(t *testing.T) {
	for name, test := range map[string]struct {
		meanwhile Reason // how an attempt ended while it was silent
		took      time.Duration
		answers   []Reason
		cold      bool
	}{
		"nothing shown yet":            {TimedOut, time.Second, nil, true},
		"it still holds its copies":    {TimedOut, time.Second, []Reason{Succeeded, Succeeded, Succeeded, Succeeded}, false},
		"it holds some and lacks some": {TimedOut, time.Second, []Reason{Succeeded, Miss, Succeeded, Succeeded, Succeeded, Succeeded}, true},
		"it refused a connect":         {NoConnection, 2 * ms, []Reason{Succeeded, Succeeded, Succeeded, Succeeded}, true},
		"a connect never came up":      {NoConnection, 250 * ms, []Reason{Succeeded, Succeeded, Succeeded, Succeeded}, false},
	} {
		t.Run(name, func(t *testing.T) {
			driver := newDriver(t, testSettings(), "s1")
			driver.readOtherKeys(20)
			srv := driver.router.serverByID["s1"]
			driver.request("high", "lost", func(q *Request) { q.Deadline += time.Minute })
			lost := driver.nextID - 1
			var actions []Action
			for driver.now += 2 * time.Second; len(actionsOf[HealthCheck](actions)) == 0; driver.now += upkeepInterval {
				actions = driver.handle(TimerFired{upkeepToken})
			}
			for range 2 {
				driver.now += 300 * ms
				driver.handle(HealthChecked{Server: "s1", Reason: TimedOut})
			}
			if !srv.isUnresponsive {
				t.Fatal("not silent")
			}
			driver.now += 2 * time.Second
			driver.handle(Outcome{ID: lost, Attempt: 0, Reason: test.meanwhile, Took: test.took})
			driver.now += time.Second
			driver.handle(HealthChecked{Server: "s1", Reason: Succeeded})
			if srv.isUnresponsive || driver.router.slowStartWeight(srv) > 0.3 {
				t.Fatal("it is not back, or not taken to be cold at first")
			}
			for i, reason := range test.answers {
				id, actions := driver.request("high", fmt.Sprint("k", i), nil)
				for driver.sentTo(actions) != "s1" { // for a cold server lots are drawn; the others go to the origin
					driver.endAttempt(id, Succeeded, 5*ms)
					id, actions = driver.request("high", fmt.Sprint("k", i, driver.nextID), nil)
				}
				driver.handle(Outcome{ID: id, Attempt: 0, Server: "s1", Reason: reason, Took: 5 * ms, Ended: reason == Succeeded})
			}
			if cold := driver.router.slowStartWeight(srv) < 1; cold != test.cold {
				t.Errorf("counts as cold: %v, want %v", cold, test.cold)
			}
		})
	}
}
