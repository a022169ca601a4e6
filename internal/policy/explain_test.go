package policy

import (
	"fmt"
	"testing"
)

// TestExplainNamesTheServersOfAKey: the first server named for a key is the one that its request goes to, those that
// it does not go to are named with their reasons, and looking changes nothing.
func TestExplainNamesTheServersOfAKey(t *testing.T) {
	driver := newDriver(t, testSettings(), serverIDs(5)...)
	owner := driver.router.Explain(driver.now, "k").Servers[0].Server
	before := fmt.Sprint(driver.router.cacheGauge.samples, driver.router.requestTotal, driver.router.keyCounts.Len(), len(driver.router.requests))
	why := driver.router.Explain(driver.now, "k")
	if len(why.Servers) != 5 || why.Servers[0].Server != owner || fmt.Sprint(driver.router.cacheGauge.samples, driver.router.requestTotal, driver.router.keyCounts.Len(), len(driver.router.requests)) != before {
		t.Fatalf("two looks: %+v, first %s", why, owner)
	}
	if _, actions := driver.request("high", "k", nil); driver.sentTo(actions) != owner {
		t.Errorf("k goes to %v, explained as %s", actions, owner)
	}
	driver.router.serverByID[owner].isUnresponsive = true
	why = driver.router.Explain(driver.now, "k")
	last := why.Servers[len(why.Servers)-1]
	if why.Servers[0].Server == owner || last.Server != owner || fmt.Sprint(last.Not) != "[silent]" {
		t.Errorf("a silent owner: %+v", why)
	}
}
