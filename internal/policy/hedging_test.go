package policy

import "testing"

// TestHangingReadIsHedgedWhileTheOriginIsQuiet checks that a read that hangs at a cache server is hedged: cancelled at
// this server and sent to the origin. A write is never hedged. No read is hedged while the origin is busy or all cache
// servers are slow. A hedge wastes the work that an overloaded cache server has already done for the read, and the
// hedged reads of a whole fleet would overload the origin.
func TestHangingReadIsHedgedWhileTheOriginIsQuiet(t *testing.T) {
	for _, test := range []struct{ isOriginBusy, isCacheOverloaded bool }{{false, false}, {true, false}, {false, true}} {
		driver := newTrainedDriver(t)
		driver.readOtherKeys(40)
		readID, _ := driver.request("low", "k", nil)
		writeID, _ := driver.request("unsafe", "w", asWrite)
		driver.now += 450 * ms // over the target latency of 250 ms, but under the maximum latency of 500 ms
		if got := actionsOf[Cancel](driver.runUpkeep()); len(got) > 0 {
			t.Errorf("%+v: after 450 ms got %v cancelled, want nothing", test, got)
		}
		driver.now += 100 * ms
		for i := range 200 {
			driver.router.origin.gauge.observe(driver.now, 10*ms, test.isOriginBusy && i%3 == 0)
			driver.router.cacheGauge.record(driver.now, 10*ms, test.isCacheOverloaded && i%3 == 0)
		}
		got := actionsOf[Cancel](driver.runUpkeep())
		wantHedge := !test.isOriginBusy && !test.isCacheOverloaded
		isHedged := len(got) == 1 && got[0].ID == readID
		if isHedged != wantHedge || len(got) > 0 && !isHedged {
			t.Fatalf("%+v: got %v cancelled, want read %d cancelled: %v; %d is a write",
				test, got, readID, wantHedge, writeID)
		}
		if isHedged {
			if to := driver.sentTo(driver.endAttempt(readID, Cancelled, 550*ms)); to != originID {
				t.Errorf("hedged read: got a send to %s, want the origin", to)
			}
		}
	}
}
