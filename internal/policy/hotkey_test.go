package policy

import (
	"fmt"
	"testing"
)

// TestHotKeyIsSpreadOverServers checks that a key which gets half of all requests is served by several servers, not by
// its owner alone.
func TestHotKeyIsSpreadOverServers(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3", "s4")
	sends := map[string]int{} // number of attempts for the hot key, by the id of the server
	for i := range 400 {
		key := "hot"
		if i%2 == 0 {
			key = fmt.Sprint("k", i)
		}
		_, actions := driver.request("high", key, nil)
		if key == "hot" {
			sends[driver.sentTo(actions)]++
		}
	}
	if len(sends) < 3 {
		t.Errorf("attempts for the hot key, by server: got %v, want at least 3 servers", sends)
	}
}

// TestFleetSpreadsHotKeySoonerWithGossip checks that a fleet spreads a hot key over several servers sooner with gossip.
// Each of 100 routers has 10 requests a second for 50 servers. At one moment a key becomes hot: from then on, a tenth
// of all requests are for this key. A single router gets a request for the key once a second. Half a second after this
// moment, counting begins: with gossip, the owner must get at most 0.6 of the requests that it gets without.
func TestFleetSpreadsHotKeySoonerWithGossip(t *testing.T) {
	const hotFrom, countFrom, steps = 1000, 1050, 1150
	ownerShare := map[bool]float64{} // the owner's fraction of the hot key's requests, with gossip (true) or without
	for _, mayGossip := range []bool{false, true} {
		fleet := newFleet(t, 100, mayGossip, 0.1, serverIDs(50)...)
		ownerID, atOwner, total := fleet.drivers[0].ownerOf("hot"), 0, 0
		for step := range steps {
			received := fleet.takeUndelivered()
			for i, driver := range fleet.drivers {
				fleet.tick(step, i, received, neverDown)
				if (step+i)%10 != 0 {
					continue
				}
				key := fleet.drawKey(step > hotFrom)
				id, actions := driver.request("high", key, nil)
				fleet.carryOut(i, actions, neverDown)
				if key == "hot" && step >= countFrom {
					total++
					if driver.sentTo(actions) == ownerID {
						atOwner++
					}
				}
				fleet.carryOut(i, driver.endAttempt(id, Succeeded, 10*ms), neverDown)
			}
		}
		ownerShare[mayGossip] = float64(atOwner) / float64(total)
		t.Logf("gossip %v: the owner gets %.2f of the requests for the hot key", mayGossip, ownerShare[mayGossip])
	}
	if ownerShare[true] > 0.6*ownerShare[false] {
		t.Errorf("the owner gets %.2f of the hot key's requests, %.2f without gossip, want at most 0.6 of the latter",
			ownerShare[true], ownerShare[false])
	}
}

// TestHotKeysOfSmallServersAreSpreadSooner checks that the requests for a key are spread over several servers once they
// are too many for the capacity of the key's owner. A server of low capacity can take fewer requests, so its keys are
// spread at a lower popularity.
func TestHotKeysOfSmallServersAreSpreadSooner(t *testing.T) {
	const small, large = 1.0, 9.0
	settings := testSettings()
	settings.WeightByCapacity = true
	driver := newDriver(t, settings)
	list := EndpointUpdate{Scope: FullUpdate, Servers: []Server{{ID: originID, Kind: "origin"}}}
	for i, id := range serverIDs(20) {
		list.Servers = append(list.Servers, Server{ID: id, Kind: "cache", Capacity: []float64{small, large}[i%2]})
	}
	driver.handle(list)
	driver.readOtherKeys(400)
	// isSpread holds, by the owner's capacity and by key, whether requests for a key went to other servers too.
	isSpread := map[float64]map[string]bool{small: {}, large: {}}
	for i := range 40 {
		key := fmt.Sprint("warm", i)
		order := driver.router.orderOf(slotOf(key), &request{})
		owner := order.next()
		spread := isSpread[owner.Capacity]
		// After six reads the key has had 0.15 to 0.25 of an average server's requests. A small server has 0.2 of the
		// average server's capacity (1 of 5), and a large one 1.8 (9 of 5).
		for range 6 {
			id, actions := driver.request("high", key, nil)
			spread[key] = spread[key] || driver.sentTo(actions) != owner.ID
			driver.endAttempt(id, Succeeded, ms)
		}
	}
	spreadFraction := func(keys map[string]bool) (fraction float64) {
		for _, hasMoved := range keys {
			if hasMoved {
				fraction += 1 / float64(len(keys))
			}
		}
		return fraction
	}
	ofSmall, ofLarge := spreadFraction(isSpread[small]), spreadFraction(isSpread[large])
	if ofSmall < 0.5 || ofLarge > 0.1 {
		t.Errorf("got %.2f of the small servers' keys spread, %.2f of the large ones', want at least 0.5, at most 0.1",
			ofSmall, ofLarge)
	}
}
