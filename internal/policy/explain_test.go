package policy

import (
	"fmt"
	"testing"
)

// TestExplain: the first server named for a key is the one that its request goes to, those that it does not go to are named with their
// reasons, and looking changes nothing.
func TestExplain(t *testing.T) {
	b := newBench(t, testSettings(), names(5)...)
	owner := b.r.Explain(b.now, "k").Servers[0].Server
	before := fmt.Sprint(b.r.pool.n, b.r.all, b.r.keys.Len(), len(b.r.requests))
	why := b.r.Explain(b.now, "k")
	if len(why.Servers) != 5 || why.Servers[0].Server != owner || fmt.Sprint(b.r.pool.n, b.r.all, b.r.keys.Len(), len(b.r.requests)) != before {
		t.Fatalf("two looks: %+v, first %s", why, owner)
	}
	if _, actions := b.ask("high", "k", nil); b.sentTo(actions) != owner {
		t.Errorf("k goes to %v, explained as %s", actions, owner)
	}
	b.r.byID[owner].silent = true
	why = b.r.Explain(b.now, "k")
	last := why.Servers[len(why.Servers)-1]
	if why.Servers[0].Server == owner || last.Server != owner || fmt.Sprint(last.Not) != "[silent]" {
		t.Errorf("a silent owner: %+v", why)
	}
}
