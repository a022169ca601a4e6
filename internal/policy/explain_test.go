package policy

import (
	"fmt"
	"testing"
)

// TestExplain: the first server named for a key is the one that its request goes to, those that it does not go to are named with their
// reasons, and looking changes nothing.
func TestExplain(t *testing.T) {
	b := newDriver(t, testSettings(), serverIDs(5)...)
	owner := b.router.Explain(b.now, "k").Servers[0].Server
	before := fmt.Sprint(b.router.cacheGauge.samples, b.router.requestTotal, b.router.keyCounts.Len(), len(b.router.requests))
	why := b.router.Explain(b.now, "k")
	if len(why.Servers) != 5 || why.Servers[0].Server != owner || fmt.Sprint(b.router.cacheGauge.samples, b.router.requestTotal, b.router.keyCounts.Len(), len(b.router.requests)) != before {
		t.Fatalf("two looks: %+v, first %s", why, owner)
	}
	if _, actions := b.request("high", "k", nil); b.sentTo(actions) != owner {
		t.Errorf("k goes to %v, explained as %s", actions, owner)
	}
	b.router.serverByID[owner].isUnresponsive = true
	why = b.router.Explain(b.now, "k")
	last := why.Servers[len(why.Servers)-1]
	if why.Servers[0].Server == owner || last.Server != owner || fmt.Sprint(last.Not) != "[silent]" {
		t.Errorf("a silent owner: %+v", why)
	}
}
