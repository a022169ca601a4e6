package policy

import (
	"slices"
	"testing"
	"time"
)

// TestFleetFindsAnOutlierWithGossip: each of 60 routers has 4 requests a second for 40 servers, so it meets one every
// ten seconds. Together they find it within a few, and give it back when it is well.
func TestFleetFindsAnOutlierWithGossip(t *testing.T) {
	for name, bad := range map[string]Reason{"errors": Errored, "slow": TimedOut} {
		share := map[bool]float64{}
		for _, peers := range []bool{false, true} {
			fleet := newFleet(t, 60, peers, 0.1, serverIDs(40)...)
			before, during, after := 0, 0, 0
			for n := range 3400 {
				well := n < 800 || n >= 1800
				asked := fleet.advanceAll(n, func(s string) Reason {
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
			if perRequest := float64(fleet.gossipBytes) / 256 / (60 * 4 * 34); perRequest > 0.5 {
				t.Errorf("%s: %.2f full messages a request", name, perRequest)
			}
		}
		if share[true] > 0.35 || share[true] > share[false]*0.7 {
			t.Errorf("%s: a bad server got %.2f of its requests with messages, %.2f without", name, share[true], share[false])
		}
	}
}

// TestFleetAgreesThatAServerIsUnresponsive: the routers that find out tell the others, which need not probe it one by
// one, and nobody's old word keeps it alive.
func TestFleetAgreesThatAServerIsUnresponsive(t *testing.T) {
	probes := map[bool]int{}
	for _, peers := range []bool{false, true} {
		fleet := newFleet(t, 60, peers, 0.1, serverIDs(20)...)
		down := func(n int) bool { return n >= 300 && n < 1100 }
		silent := func() (n int) {
			for _, driver := range fleet.drivers {
				if driver.router.serverByID["s15"].isUnresponsive {
					n++
				}
			}
			return n
		}
		for n := range 1500 {
			fleet.advanceAll(n, func(s string) Reason {
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
		probes[peers] = fleet.healthChecks
	}
	if probes[true] > probes[false]*3/4 {
		t.Errorf("%d probes with messages, %d without", probes[true], probes[false])
	}
}

// TestReceivedGossipIsNotPassedOn: or it would go round for ever.
func TestReceivedGossipIsNotPassedOn(t *testing.T) {
	settings := testSettings()
	settings.Nodes, settings.MayGossip = 3, true
	driver := newDriver(t, settings, "s1", "s2", "s3")
	teller := newDriver(t, settings, "s1", "s2", "s3")
	teller.router.serverByID["s1"].assessment.Update(1, 0)
	for range 5 {
		teller.router.gossipSender.AttemptEnded(&teller.router.serverByID["s1"].assessment, 0, true, 0)
	}
	teller.router.gossipSender.Unresponsive(teller.router.serverByID["s2"].assessment.Fingerprint)
	data := teller.router.gossipSender.NextDatagram(time.Hour, 0)
	driver.now += 5 * time.Second
	actions := slices.Concat(driver.handle(GossipReceived{1, data}), driver.handle(GossipReceived{2, data}))
	if !driver.router.serverByID["s2"].isUnresponsive || driver.router.serverByID["s1"].assessment.KeptFraction == 1 {
		t.Fatal("nothing was believed")
	}
	for range 8 {
		driver.now += time.Second
		actions = append(actions, driver.handle(TimerFired{Token: upkeepToken})...)
	}
	if told := actionsOf[Gossip](actions); len(told) != 0 {
		t.Errorf("told %v, which it only heard", told)
	}
	before := driver.router.serverByID["s1"].gauge.samples
	for _, bad := range [][]byte{nil, {}, {1}, []byte("hello, world"), append([]byte{1}, data[1:]...), append(data, 1)} {
		driver.handle(GossipReceived{1, bad})
	}
	if driver.router.serverByID["s1"].gauge.samples != before {
		t.Error("a malformed message counted")
	}
}
