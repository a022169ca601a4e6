package policy

import (
	"fmt"
	"testing"
)

func TestHotKeyIsSpreadOverServers(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3", "s4")
	to := map[string]int{}
	for i := range 400 {
		key := "hot"
		if i%2 == 0 {
			key = fmt.Sprint("k", i)
		}
		_, actions := driver.request("high", key, nil)
		if key == "hot" {
			to[driver.sentTo(actions)]++
		}
	}
	if len(to) < 3 {
		t.Errorf("half of all requests went to %v", to)
	}
}

// TestFleetSpreadsHotKeySoonerWithGossip: each of 100 routers has 10 requests a second for 50 servers, and from one
// moment on a tenth of them are for one key. A router alone sees it once a second; together they spread it within
// one.
func TestFleetSpreadsHotKeySoonerWithGossip(t *testing.T) {
	share := map[bool]float64{}
	for _, peers := range []bool{false, true} {
		fleet := newFleet(t, 100, peers, 0.1, serverIDs(50)...)
		owner, at, all := fleet.drivers[0].ownerOf("hot"), 0, 0
		for n := range 1150 {
			heard := fleet.deliverable()
			for i, driver := range fleet.drivers {
				fleet.advanceOne(n, i, heard, neverDown)
				if (n+i)%10 != 0 {
					continue
				}
				key := fleet.drawKey(n > 1000)
				id, actions := driver.request("high", key, nil)
				fleet.carryOut(i, actions, neverDown)
				if key == "hot" && n >= 1050 {
					if all++; driver.sentTo(actions) == owner {
						at++
					}
				}
				fleet.carryOut(i, driver.endAttempt(id, Succeeded, 10*ms), neverDown)
			}
		}
		share[peers] = float64(at) / float64(all)
		t.Logf("peers %v: the owner gets %.2f of the requests for the hot key", peers, share[peers])
	}
	if share[true] > 0.6*share[false] {
		t.Errorf("the owner of a hot key keeps %.2f of its requests, %.2f where nothing is told", share[true], share[false])
	}
}

// TestHotKeysOfSmallServersAreSpreadSooner: what is a server's fair share goes by its size.
func TestHotKeysOfSmallServersAreSpreadSooner(t *testing.T) {
	settings := testSettings()
	settings.WeightByCapacity = true
	driver := newDriver(t, settings)
	list := EndpointUpdate{Scope: FullUpdate, Servers: []Server{{ID: "o", Kind: "origin"}}}
	for i, id := range serverIDs(20) {
		list.Servers = append(list.Servers, Server{ID: id, Kind: "cache", Capacity: []float64{1, 9}[i%2]})
	}
	driver.handle(list)
	driver.readOtherKeys(400)
	to := map[float64]map[string]bool{1: {}, 9: {}} // by the owner's size
	for i := range 40 {
		key := fmt.Sprint("warm", i)
		s, _ := driver.router.nextServer(slotOf(key), 0, &request{})
		for range 6 { // 0.15 to 0.25 of a mean server's share at the end; a small one's is 0.2, a large one's 1.8
			id, actions := driver.request("high", key, nil)
			if to[s.Capacity][key] = to[s.Capacity][key] || driver.sentTo(actions) != s.ID; true {
				driver.endAttempt(id, Succeeded, ms)
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
