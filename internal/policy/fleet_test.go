package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simulatedFleet is many routers that see the same servers, each a small part of the requests. Messages arrive at the
// next step, or are lost.
type simulatedFleet struct {
	drivers      []*routerDriver
	undelivered  []GossipReceived
	lossRate     float64
	rng          *rand.Rand
	gossipBytes  int // bytes, by receiver
	healthChecks int
}

func newFleet(t *testing.T, routers int, peers bool, lost float64, servers ...string) *simulatedFleet {
	fleet := &simulatedFleet{lossRate: lost, rng: rand.New(rand.NewPCG(1, 1))}
	settings := testSettings()
	settings.Nodes, settings.MayGossip, settings.DrainGrace = routers, peers, 2500*ms
	for i := range routers {
		driver := newDriver(t, settings, servers...)
		driver.router.rng = rand.New(rand.NewPCG(uint64(i), 7))
		fleet.drivers = append(fleet.drivers, driver)
	}
	return fleet
}

// carryOut keeps what routers tell and counts their probes, which end as said.
func (fleet *simulatedFleet) carryOut(from int, actions []Action, down func(server string) bool) {
	for _, a := range actions {
		switch a := a.(type) {
		case Gossip:
			fleet.undelivered = append(fleet.undelivered, GossipReceived{From: from, Data: a.Data})
			fleet.gossipBytes += len(a.Data) * (len(fleet.drivers) - 1)
		case HealthCheck:
			fleet.healthChecks++
			reason := Succeeded
			if down(a.Server) {
				reason = NoConnection
			}
			fleet.carryOut(from, fleet.drivers[from].handle(HealthChecked{Server: a.Server, Reason: reason}), down)
		}
	}
}

// advanceOne is 10 ms of one router: messages arrive, and four times a second it looks around.
func (fleet *simulatedFleet) advanceOne(n, i int, heard []GossipReceived, down func(server string) bool) {
	driver := fleet.drivers[i]
	driver.now += 10 * ms
	for _, h := range heard {
		if h.From != i && fleet.rng.Float64() >= fleet.lossRate {
			fleet.carryOut(i, driver.handle(h), down)
		}
	}
	if (n+i)%25 == 0 {
		fleet.carryOut(i, driver.handle(TimerFired{Token: upkeepToken}), down)
	}
}

// deliverable is what was told since the last step.
func (fleet *simulatedFleet) deliverable() []GossipReceived {
	heard := fleet.undelivered
	fleet.undelivered = nil
	return heard
}

func neverDown(string) bool { return false }

// drawKey is a key of many, or with a chance of one in ten the hot one.
func (fleet *simulatedFleet) drawKey(hot bool) string {
	if hot && fleet.rng.IntN(10) == 0 {
		return "hot"
	}
	return fmt.Sprint("key", fleet.rng.IntN(5000))
}

// advanceAll is 10 ms: each message arrives, and in a quarter of a second each router looks around and serves one
// request.
func (fleet *simulatedFleet) advanceAll(n int, answer func(server string) Reason) (asked map[string]int) {
	asked = map[string]int{}
	down := func(s string) bool { return answer(s) == NoConnection }
	heard := fleet.deliverable()
	for i, driver := range fleet.drivers {
		fleet.advanceOne(n, i, heard, down)
		if (n+i)%25 != 0 {
			continue
		}
		id, actions := driver.request("high", fmt.Sprint("key", fleet.rng.IntN(5000)), nil)
		fleet.carryOut(i, actions, down)
		for range 3 {
			sends := actionsOf[Send](actions)
			if len(sends) == 0 {
				break
			}
			asked[sends[0].Server]++
			reason, took := answer(sends[0].Server), 10*ms
			if reason == TimedOut { // in this test: slow
				reason, took = Succeeded, 2*time.Second
			}
			actions = driver.endAttempt(id, reason, took)
			fleet.carryOut(i, actions, down)
		}
	}
	return asked
}

func serverIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprint("s", 10+i))
	}
	return ids
}

// discoveryService is one that answers calls for the list in turn: each takes a while, and one that waits for too
// long fails.
type discoveryService struct {
	perCall   time.Duration
	idleAt    Time // when it is done with what it has
	downUntil Time // until when calls fail at once
	answers   map[int]struct {
		at Time
		ok bool
	}
}

func (s *discoveryService) call(now Time, router int) {
	a := struct {
		at Time
		ok bool
	}{now + ms, false}
	if now >= s.downUntil {
		if s.idleAt = max(s.idleAt, now) + s.perCall; s.idleAt-now <= pollCallTimeout {
			a.at, a.ok = s.idleAt, true
		} else {
			s.idleAt -= s.perCall
			a.at = now + pollCallTimeout
		}
	}
	s.answers[router] = a
}
