package policy

import (
	"slices"
	"testing"
	"time"
)

// TestFleetFindsAnOutlierWithGossip checks that gossip lets a fleet of 60 routers find an outlier: a server that is
// slow or returns errors. Each router has 4 requests a second for 40 servers, so it sends to any one server only every
// ten seconds. Together the routers must find the outlier within 6 s, and give it its keys back when it has recovered.
func TestFleetFindsAnOutlierWithGossip(t *testing.T) {
	const (
		outlierID       = "s20"
		badFrom         = 800
		foundBy         = 1400 // step by which the outlier must be found: 6 s (600 steps) after badFrom, as a router has to send to the outlier twice
		goodFrom        = 1800
		recoveredBy     = 2600
		steps           = 3400
		requests        = 60 * 4 * 34
		maxDatagramSize = 256
	)
	for name, bad := range map[string]Reason{"errors": Errored, "slow": TimedOut} {
		// attemptShare is indexed by whether the routers may gossip. Its values are the attempts at the outlier in 4 s
		// while it is bad, divided by half of the attempts at it in the first 8 s, before it became bad.
		attemptShare := map[bool]float64{}
		for _, mayGossip := range []bool{false, true} {
			fleet := newFleet(t, 60, mayGossip, 0.1, serverIDs(40)...)
			before, during, after := 0, 0, 0
			for step := range steps {
				isBad := step >= badFrom && step < goodFrom
				attempts := fleet.serveStep(step, func(server string) Reason {
					if server == outlierID && isBad {
						return bad
					}
					return Succeeded
				})
				switch {
				case step < badFrom: // the first 8 s; the outlier gets six attempts a second, too few to count over a shorter time
					before += attempts[outlierID]
				case step >= foundBy && isBad:
					during += attempts[outlierID]
				case step >= recoveredBy:
					after += attempts[outlierID]
				}
			}
			attemptShare[mayGossip] = float64(during) * 2 / float64(before)
			if mayGossip && float64(after) < 0.4*float64(before) {
				t.Errorf(
					"%s: got %d attempts in 8 s before, %d in 4 s while bad, %d in 8 s after, want 0.4 of the first at least",
					name, before, during, after)
			}
			if perRequest := float64(fleet.gossipBytes) / maxDatagramSize / requests; perRequest > 0.5 {
				t.Errorf("%s: got gossip of %.2f full datagrams for each request, want at most 0.5", name, perRequest)
			}
		}
		if attemptShare[true] > 0.35 || attemptShare[true] > attemptShare[false]*0.7 {
			t.Errorf(
				"%s: outlier got %.2f of its requests with gossip, %.2f without, want at most 0.35 and 0.7 of the latter",
				name, attemptShare[true], attemptShare[false])
		}
	}
}

// TestFleetAgreesThatAServerIsUnresponsive checks that the routers that find a server unresponsive tell the others by
// gossip, so that not every router has to check the server itself. A router may still report by gossip that the server
// responds, from an older observation. Such a report must not keep the server in use.
func TestFleetAgreesThatAServerIsUnresponsive(t *testing.T) {
	const (
		downID    = "s15"
		downFrom  = 300
		downUntil = 1100
	)
	healthChecks := map[bool]int{} // health checks by the whole fleet, with gossip (true) or without
	for _, mayGossip := range []bool{false, true} {
		fleet := newFleet(t, 60, mayGossip, 0.1, serverIDs(20)...)
		for step := range 1500 {
			fleet.serveStep(step, func(server string) Reason {
				if server == downID && step >= downFrom && step < downUntil {
					return NoConnection
				}
				return Succeeded
			})
			if mayGossip && (step == 600 || step == 1050) {
				if got := fleet.countUnresponsive(downID); got < 55 {
					t.Errorf("step %d: %d of 60 routers know that the server is down, want at least 55", step, got)
				}
			}
		}
		if got := fleet.countUnresponsive(downID); mayGossip && got > 5 {
			t.Errorf("4 s after the server is back: %d of 60 routers still leave it out, want at most 5", got)
		}
		healthChecks[mayGossip] = fleet.healthChecks
	}
	if healthChecks[true] > healthChecks[false]*3/4 {
		t.Errorf("got %d health checks with gossip, %d without, want at most three quarters of the latter",
			healthChecks[true], healthChecks[false])
	}
}

// TestReceivedGossipIsNotPassedOn checks that a router does not send on what it learned by gossip from other routers:
// otherwise an observation would circulate for ever. A malformed datagram must have no effect.
func TestReceivedGossipIsNotPassedOn(t *testing.T) {
	settings := testSettings()
	settings.Nodes, settings.MayGossip = 3, true
	receiver := newDriver(t, settings, "s1", "s2", "s3")
	sender := newDriver(t, settings, "s1", "s2", "s3").router
	suspect := &sender.serverByID["s1"].assessment
	suspect.Update(1, 0)
	for range 5 {
		sender.gossipSender.AttemptEnded(suspect, 0, true, 0)
	}
	sender.gossipSender.Unresponsive(sender.serverByID["s2"].assessment.Fingerprint)
	datagram := sender.gossipSender.NextDatagram(time.Hour, 0)

	receiver.now += 5 * time.Second
	actions := slices.Concat(
		receiver.handle(GossipReceived{From: 1, Data: datagram}),
		receiver.handle(GossipReceived{From: 2, Data: datagram}))
	srv := receiver.router.serverByID["s1"]
	if !receiver.router.serverByID["s2"].isUnresponsive || srv.assessment.KeptFraction == 1 {
		t.Fatal("the observations of two other nodes had no effect")
	}
	for range 8 {
		receiver.now += time.Second
		actions = append(actions, receiver.runUpkeep()...)
	}
	if sent := actionsOf[Gossip](actions); len(sent) != 0 {
		t.Errorf("got gossip %v sent, want none of what was only received", sent)
	}

	before := srv.gauge.samples
	for _, malformed := range [][]byte{
		nil, {}, {1}, []byte("hello, world"), append([]byte{1}, datagram[1:]...), append(datagram, 1),
	} {
		receiver.handle(GossipReceived{From: 1, Data: malformed})
	}
	if got := srv.gauge.samples; got != before {
		t.Errorf("after malformed datagrams: got %v samples, want %v", got, before)
	}
}
