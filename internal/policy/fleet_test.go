package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// stepTime is the time between two steps of a simulated fleet.
const stepTime = 10 * ms

// simulatedFleet is a group of routers that all see the same servers; each router gets a small part of the requests. A
// gossip datagram that one router sends arrives at the other routers in the next step, or is lost.
type simulatedFleet struct {
	drivers      []*routerDriver
	undelivered  []GossipReceived
	lossRate     float64
	rng          *rand.Rand
	gossipBytes  int // bytes of gossip sent, counted once for each receiver
	healthChecks int
}

// newFleet returns a fleet of routers that all have the same endpoint list. With mayGossip false, each router knows
// only what it observes itself.
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

// carryOut carries out those actions of a router that concern gossip or health checks. Gossip datagrams are kept for
// delivery. A health check fails if isDown says that the server is down.
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

// tick advances one router by one step (stepTime). The router receives the datagrams of other routers that are not
// lost. In the steps that isUpkeepStep selects, four times a second, it also does its periodic work.
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

// isUpkeepStep reports whether a router does its periodic work in this step. The routers do it in different steps.
func isUpkeepStep(step, index int) bool { return (step+index)%int(upkeepInterval/stepTime) == 0 }

// takeUndelivered removes and returns the gossip datagrams that were sent since the last step.
func (fleet *simulatedFleet) takeUndelivered() []GossipReceived {
	received := fleet.undelivered
	fleet.undelivered = nil
	return received
}

// neverDown is the isDown function of a fleet whose servers are all up.
func neverDown(string) bool { return false }

// drawKey returns a key that is picked at random from 5000 keys. If there is a hot key, drawKey returns the hot key
// instead with a probability of 0.1.
func (fleet *simulatedFleet) drawKey(hasHotKey bool) string {
	if hasHotKey && fleet.rng.IntN(10) == 0 {
		return "hot"
	}
	return fmt.Sprint("key", fleet.rng.IntN(5000))
}

// serveStep advances all routers by one step and returns the number of attempts at each server. Each router serves one
// request every upkeepInterval, so only some routers serve one in this step. The function answer returns how an attempt
// at a server ends; TimedOut stands for an answer that takes 2 s.
func (fleet *simulatedFleet) serveStep(step int, answer func(server string) Reason) (attempts map[string]int) {
	attempts = map[string]int{}
	isDown := func(server string) bool { return answer(server) == NoConnection }
	received := fleet.takeUndelivered()
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

// countUnresponsive returns how many routers regard the server as unresponsive.
func (fleet *simulatedFleet) countUnresponsive(server string) (count int) {
	for _, driver := range fleet.drivers {
		if driver.router.serverByID[server].isUnresponsive {
			count++
		}
	}
	return count
}

// serverIDs returns the given number of server ids: s10, s11 and so on.
func serverIDs(count int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprint("s", 10+i))
	}
	return ids
}

// pollResponse says when and how a poll of a discoveryService ends.
type pollResponse struct {
	at          Time
	isSucceeded bool
}

// discoveryService simulates a discovery service that answers polls one after the other. Each answer takes perPoll. A
// poll that would not be answered within pollCallTimeout fails.
type discoveryService struct {
	perPoll   time.Duration
	idleAt    Time // when the service will have answered all polls so far
	downUntil Time // polls before this time fail at once
	responses map[int]pollResponse
}

// poll handles a poll of a router: it stores in responses, at the index of the router, when and how the poll ends.
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
