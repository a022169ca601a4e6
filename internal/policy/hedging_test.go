package policy

import "testing"

// A read that one cache server holds and holds is fetched from the origin while that is quiet; a write never moves.
// TestHangingReadIsHedgedWhileTheOriginIsQuiet: not to an origin that is busy, and not where all cache servers are
// slow: it would be sent away from one crowd, whose work on it is lost, and the read that a fleet moves on comes to
// another.
func TestHangingReadIsHedgedWhileTheOriginIsQuiet(t *testing.T) {
	for _, test := range []struct{ busy, crowd bool }{{false, false}, {true, false}, {false, true}} {
		busy := test.busy || test.crowd
		driver := newTrainedDriver(t)
		driver.readOtherKeys(40)
		id, _ := driver.request("low", "k", nil)
		put, _ := driver.request("unsafe", "w", asWrite)
		driver.now += 450 * ms // the target is half the aim of 500 ms, the maximum twice that
		if got := actionsOf[Cancel](driver.handle(TimerFired{Token: upkeepToken})); len(got) > 0 {
			t.Errorf("cancelled %v too early", got)
		}
		driver.now += 100 * ms
		for i := range 200 {
			driver.router.origin.gauge.observe(driver.now, 10*ms, test.busy && i%3 == 0)
			driver.router.cacheGauge.record(driver.now, 10*ms, test.crowd && i%3 == 0)
		}
		got := actionsOf[Cancel](driver.handle(TimerFired{Token: upkeepToken}))
		if len(got) > 1 || len(got) > 0 == busy || len(got) > 0 && got[0].ID != id {
			t.Fatalf("origin or servers busy %v: cancelled %v; read %d, write %d", busy, got, id, put)
		}
		if len(got) > 0 {
			if to := driver.sentTo(driver.endAttempt(id, Cancelled, 550*ms)); to != "o" {
				t.Errorf("moved on to %s, want the origin", to)
			}
		}
	}
}
