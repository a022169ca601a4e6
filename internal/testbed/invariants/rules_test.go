package invariants

import (
	"strings"
	"testing"
	"time"
)

const s = time.Second

// Each case tells a checker what a rig saw, and names the rule that it must find broken, if any.
func TestRules(t *testing.T) {
	taken := func(c *Checker, class string) { c.RequestSent(0, "r", class, 0, 3*s) }
	sent := func(c *Checker, at time.Duration, server, class string, seq uint64) {
		c.AttemptArrived(at, at, 0, server, "r", class, seq)
	}
	served := func(c *Checker, at time.Duration) {
		c.ResponseSent(at, "b", "r", 1, MayHaveRun, true, "hit")
		c.RequestAnswered(at, "r", Served, "r")
	}
	for name, test := range map[string]struct {
		see  func(c *Checker)
		want Invariant
	}{
		"served":         {func(c *Checker) { taken(c, "read"); sent(c, s, "b", "read", 1); served(c, 2*s) }, ""},
		"never answered": {func(c *Checker) { taken(c, "read"); c.Advance(4 * s) }, MissingAnswer},
		"answered late":  {func(c *Checker) { taken(c, "read"); sent(c, s, "b", "read", 1); served(c, 3200*time.Millisecond) }, MissingAnswer},
		"in the grace":   {func(c *Checker) { taken(c, "read"); sent(c, s, "b", "read", 1); served(c, 3040*time.Millisecond) }, ""},
		"answered twice": {func(c *Checker) {
			taken(c, "read")
			c.RequestAnswered(s, "r", Failed, "")
			c.RequestAnswered(s, "r", Failed, "")
		}, MissingAnswer},
		"another's value": {func(c *Checker) {
			taken(c, "read")
			sent(c, s, "b", "read", 1)
			c.ResponseSent(s, "b", "r", 1, MayHaveRun, true, "hit")
			c.RequestAnswered(2*s, "r", Served, "q")
		}, MissingAnswer},
		"a value nobody made": {func(c *Checker) { taken(c, "read"); c.RequestAnswered(s, "r", Served, "r") }, MissingAnswer},
		"cut off by the node": {func(c *Checker) { taken(c, "read"); c.ConnectionEnded(s, "r", false) }, MissingAnswer},
		"close crossing it":   {func(c *Checker) { taken(c, "read"); c.ConnectionEnded(s, "r", true); c.Advance(9 * s) }, ""},
		"client left":         {func(c *Checker) { taken(c, "read"); c.ClientDisconnected(s, "r"); c.Advance(9 * s) }, ""},
		"cert sent twice": {func(c *Checker) {
			sent(c, s, "origin", "cert", 1)
			sent(c, 2*s, "origin", "cert", 2)
		}, DuplicateExecution},
		"cert after it was turned away": {func(c *Checker) {
			sent(c, s, "origin", "cert", 1)
			c.ResponseSent(s, "origin", "r", 1, NeverRan, false, "turned_away")
			sent(c, 2*s, "origin", "cert", 2)
		}, ""},
		"cert refused after it was sent": {func(c *Checker) {
			taken(c, "cert")
			sent(c, s, "origin", "cert", 1)
			c.RequestAnswered(2*s, "r", Rejected, "")
		}, RejectedAfterExecution},
		"read refused after it was sent": {func(c *Checker) {
			taken(c, "read")
			sent(c, s, "b", "read", 1)
			c.RequestAnswered(2*s, "r", Rejected, "")
		}, ""},
		"cert ran twice": {func(c *Checker) {
			c.RequestExecuted(s, "origin", "r", "cert")
			c.RequestExecuted(2*s, "origin", "r", "cert")
		}, DuplicateExecution},
		"sign inside its window": {func(c *Checker) {
			sent(c, s, "origin", "sign", 1)
			sent(c, 4*s, "origin", "sign", 2)
		}, ""},
		"sign past its window": {func(c *Checker) {
			sent(c, s, "origin", "sign", 1)
			sent(c, 5200*time.Millisecond, "origin", "sign", 2)
		}, DuplicateExecution},
		"work right after a drain": {func(c *Checker) {
			c.NodeNotified(0, 0, false, map[string]string{"b": "draining"})
			sent(c, 2500*time.Millisecond, "b", "read", 1)
		}, ""},
		"work long after a drain": {func(c *Checker) {
			c.NodeNotified(0, 0, false, map[string]string{"b": "draining"})
			c.NodeNotified(2*s, 0, false, map[string]string{"b": "draining"}) // told again, it is not told later
			sent(c, 2700*time.Millisecond, "b", "read", 1)
		}, SentToDraining},
		"another node was told": {func(c *Checker) {
			c.NodeNotified(0, 1, false, map[string]string{"b": "draining"})
			sent(c, 9*s, "b", "read", 1)
		}, ""},
		"up again": {func(c *Checker) {
			c.NodeNotified(0, 0, false, map[string]string{"b": "draining"})
			c.NodeNotified(2*s, 0, false, map[string]string{"b": "up"})
			sent(c, 9*s, "b", "read", 1)
		}, ""},
		"gone from a whole list": {func(c *Checker) {
			c.NodeNotified(0, 0, true, map[string]string{"a": "up", "b": "up"})
			c.NodeNotified(0, 0, true, map[string]string{"a": "up"})
			sent(c, 9*s, "b", "read", 1)
		}, SentToDraining},
		"never asked":        {func(c *Checker) { c.ServerListed(0, "b", "draining"); sent(c, 8600*time.Millisecond, "b", "read", 1) }, SentToDraining},
		"in its time to ask": {func(c *Checker) { c.ServerListed(0, "b", "draining"); sent(c, 8500*time.Millisecond, "b", "read", 1) }, ""},
		"discovery was down": {func(c *Checker) {
			c.ServerListed(0, "b", "draining")
			c.DiscoveryReachable(s, false)
			c.DiscoveryReachable(5*s, true)
			sent(c, 13*s, "b", "read", 1)
		}, ""},
		"pushed over": {func(c *Checker) { sent(c, 0, "b", "read", 1); c.ServerOverloaded(s, "b") }, ColdServerOverloaded},
		"pushed over by nodes that were told": {func(c *Checker) {
			c.ServerStarted("b", 1)
			c.NodeKnowsStart(0, "b", 1)
			sent(c, 0, "b", "read", 1)
			c.ServerOverloaded(s, "b")
		}, ColdServerOverloaded},
		"pushed over by nodes that were told of others": {func(c *Checker) {
			c.ServerStarted("b", 1)
			c.NodeKnowsStart(0, "a", 1)
			sent(c, 0, "b", "read", 1)
			c.ServerOverloaded(s, "b")
		}, ""},
		"pushed over by nodes that know the process before": {func(c *Checker) {
			c.NodeKnowsStart(0, "b", 0)
			sent(c, 0, "b", "read", 1)
			c.ServerStarted("b", 1)
			sent(c, 0, "b", "read", 2)
			c.ServerOverloaded(s, "b")
		}, ""},
		"pushed over by a node that was told, and started anew": {func(c *Checker) {
			c.ServerStarted("b", 1)
			c.NodeRestarted(0)
			c.NodeKnowsStart(0, "b", 1) // by its configuration
			sent(c, 0, "b", "read", 1)
			c.ServerOverloaded(s, "b")
		}, ColdServerOverloaded},
	} {
		c := New([]Class{{"read", Idempotent, 0}, {"sign", Deduplicated, 4 * s}, {"cert", AtMostOnce, 0}}, Tolerances{2500 * time.Millisecond, 6 * s, 50 * time.Millisecond})
		test.see(c)
		broken := c.Violations()
		switch {
		case test.want == "" && len(broken) > 0:
			t.Errorf("%s: %v", name, broken)
		case test.want != "" && (len(broken) != 1 || broken[0].Invariant != test.want):
			t.Errorf("%s: %v, want one of the rule %s", name, broken, test.want)
		}
	}
}

// A broken rule comes with what happened to the request, and nothing is remembered for good.
func TestHistoryAndForgetting(t *testing.T) {
	c := New([]Class{{"cert", AtMostOnce, 0}}, Tolerances{Grace: 50 * time.Millisecond})
	c.RequestSent(0, "r", "cert", 3, 2*s)
	c.AttemptArrived(s, s, 3, "origin", "r", "cert", 1)
	c.AttemptArrived(s, s, 3, "origin", "r", "cert", 2)
	line := c.Violations()[0].String()
	for _, part := range []string{"rule repeat broken at 1.000 s", "0.000 taken by node 3, due by 2.000", "1.000 attempt at origin; 1.000 attempt at origin"} {
		if !strings.Contains(line, part) {
			t.Errorf("%q lacks %q", line, part)
		}
	}
	c.RequestAnswered(s, "r", Failed, "")
	for i := range 100 {
		c.Advance(time.Duration(i) * s)
	}
	if len(c.requests)+len(c.order) != 0 {
		t.Errorf("%d requests are remembered", len(c.requests))
	}
}
