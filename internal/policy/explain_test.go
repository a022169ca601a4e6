package policy

import (
	"fmt"
	"testing"
)

// TestExplainNamesTheServersOfAKey checks the list of servers that an explanation of a key's routing contains. The
// server to which the key's requests go comes first. Servers that get no requests come last, with the reasons. An
// explanation must not change the state of the router.
func TestExplainNamesTheServersOfAKey(t *testing.T) {
	driver := newDriver(t, testSettings(), serverIDs(5)...)
	state := func() string {
		router := driver.router
		return fmt.Sprint(router.cacheGauge.samples, router.requestTotal, router.keyCounts.Len(), len(router.requests))
	}
	ownerID := driver.router.Explain(driver.now, "k").Servers[0].Server
	before := state()
	explanation := driver.router.Explain(driver.now, "k")
	if len(explanation.Servers) != 5 || explanation.Servers[0].Server != ownerID {
		t.Fatalf("second explanation: got %+v, want 5 servers, %s first", explanation, ownerID)
	}
	if got := state(); got != before {
		t.Fatalf("state after an explanation: got %s, want %s", got, before)
	}
	if _, actions := driver.request("high", "k", nil); driver.sentTo(actions) != ownerID {
		t.Errorf("request: got %v, want a send to %s as explained", actions, ownerID)
	}
	driver.router.serverByID[ownerID].isUnresponsive = true
	explanation = driver.router.Explain(driver.now, "k")
	last := explanation.Servers[len(explanation.Servers)-1]
	if explanation.Servers[0].Server == ownerID || last.Server != ownerID || fmt.Sprint(last.ExclusionReasons) != "[silent]" {
		t.Errorf("unresponsive owner: got %+v, want %s last, with the reason silent", explanation, ownerID)
	}
}
