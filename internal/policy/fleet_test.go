package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// stepTime is the time between two steps of a simulated fleet.
const stepTime = 10 * ms

// simulatedFleet is many routers that see the same servers, each a small part of the requests. Datagrams arrive at the
// next step, or are lost.
type simulatedFleet struct {
	drivers      []*routerDriver
	undelivered  []GossipReceived
	lossRate     float64
	rng          *rand.Rand
	gossipBytes  int // received, by all routers together
	healthChecks int
}

// newFleet returns routers that each have the same list. Without gossip they know only what they see themselves.
func newFleet(t *testing.T, routers int, mayGossip bool, lossRate float64, servers ...string) *simulatedFleet {
	t.Helper()
	fleet := &simulatedFleet{lossRate: lossRate, rng: rand.New(rand.NewPCG(1, 1))}
	settings := testSettings()
	settings.Nodes, settings.MayGossip, settings.DrainGrace = routers, mayGossip, 2500*ms
	for i := range routers {
		driver := newDriver(t, settings, servers...)
		driver.router.rng = rand.New(rand.NewPCG(uint64(i), 7))
		fleet.drivers = append(fleet.drivers, driver)
	}
	return fleet
}

// carryOut keeps the datagrams that a router sends and answers its health checks, of which those of a server that is down
// fail.
func (fleet *simulatedFleet) carryOut(from int, actions []Action, isDown func(server string) bool) {
	for _, action := range actions {
		switch action := action.(type) {
		case Gossip:
			fleet.undelivered = append(fleet.undelivered, GossipReceived{From: from, Data: action.Data})
			fleet.gossipBytes += len(action.Data) * (len(fleet.drivers) - 1)
		case HealthCheck:
			fleet.healthChecks++
			reason := Succeeded
			if isDown(action.Server) {
				reason = NoConnection
			}
			result := HealthChecked{Server: action.Server, Reason: reason}
			fleet.carryOut(from, fleet.drivers[from].handle(result), isDown)
		}
	}
}

// tick is one step of one router: datagrams arrive, and four times a second it does its periodic work.
func (fleet *simulatedFleet) tick(step, index int, received []GossipReceived, isDown func(server string) bool) {
	driver := fleet.drivers[index]
	driver.now += stepTime
	for _, datagram := range received {
		if datagram.From != index && fleet.rng.Float64() >= fleet.lossRate {
			fleet.carryOut(index, driver.handle(datagram), isDown)
		}
	}
	if isUpkeepStep(step, index) {
		fleet.carryOut(index, driver.runUpkeep(), isDown)
	}
}

// isUpkeepStep reports whether a router does its periodic work in this step. The routers take turns.
func isUpkeepStep(step, index int) bool { return (step+index)%int(upkeepInterval/stepTime) == 0 }

// deliverable returns the datagrams sent since the last step.
func (fleet *simulatedFleet) deliverable() []GossipReceived {
	received := fleet.undelivered
	fleet.undelivered = nil
	return received
}

// neverDown is the fleet's servers when all are well.
func neverDown(string) bool { return false }

// drawKey returns one of many keys or, if there is a hot key, that one with a chance of one in ten.
func (fleet *simulatedFleet) drawKey(hasHotKey bool) string {
	if hasHotKey && fleet.rng.IntN(10) == 0 {
		return "hot"
	}
	return fmt.Sprint("key", fleet.rng.IntN(5000))
}

// serveStep is one step of all routers, each of which serves one request in each of its periods of upkeep. The function
// says how an attempt at a server ends, where TimedOut stands for a slow answer. It returns the attempts by server.
func (fleet *simulatedFleet) serveStep(step int, answer func(server string) Reason) (attempts map[string]int) {
	attempts = map[string]int{}
	isDown := func(server string) bool { return answer(server) == NoConnection }
	received := fleet.deliverable()
	for i, driver := range fleet.drivers {
		fleet.tick(step, i, received, isDown)
		if !isUpkeepStep(step, i) {
			continue
		}
		id, actions := driver.request("high", fmt.Sprint("key", fleet.rng.IntN(5000)), nil)
		fleet.carryOut(i, actions, isDown)
		for range 3 {
			sends := actionsOf[Send](actions)
			if len(sends) == 0 {
				break
			}
			attempts[sends[0].Server]++
			reason, took := answer(sends[0].Server), 10*ms
			if reason == TimedOut {
				reason, took = Succeeded, 2*time.Second
			}
			actions = driver.endAttempt(id, reason, took)
			fleet.carryOut(i, actions, isDown)
		}
	}
	return attempts
}

// countUnresponsive returns how many routers believe that the server does not respond.
func (fleet *simulatedFleet) countUnresponsive(server string) (count int) {
	for _, driver := range fleet.drivers {
		if driver.router.serverByID[server].isUnresponsive {
			count++
		}
	}
	return count
}

// serverIDs returns the ids s10, s11 and so on.
func serverIDs(count int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprint("s", 10+i))
	}
	return ids
}

// pollResponse is how a poll of a discoveryService ends.
type pollResponse struct {
	at          Time
	isSucceeded bool
}

// discoveryService answers polls one after the other: each takes a while, and one that waits for too long fails.
type discoveryService struct {
	perPoll   time.Duration
	idleAt    Time // when it has answered all polls so far
	downUntil Time // polls before fail at once
	responses map[int]pollResponse
}

// poll takes a poll of a router; its response stands in responses.
func (service *discoveryService) poll(now Time, router int) {
	if now < service.downUntil {
		service.responses[router] = pollResponse{at: now + ms}
		return
	}
	answeredAt := max(service.idleAt, now) + service.perPoll
	if answeredAt-now > pollCallTimeout {
		service.idleAt = answeredAt - service.perPoll
		service.responses[router] = pollResponse{at: now + pollCallTimeout}
		return
	}
	service.idleAt = answeredAt
	service.responses[router] = pollResponse{at: answeredAt, isSucceeded: true}
}
