package polling

import (
	"testing"
	"time"
)

// most draws the longest wait there is, so that tests see its bound.
func most(wait time.Duration) time.Duration { return wait }

func TestWhenANodeCalls(t *testing.T) {
	const s = time.Second
	fail := func(n int) func(*Schedule) Time {
		return func(c *Schedule) Time {
			now := Time(0)
			for range n {
				c.Failed(now)
				now = c.at
			}
			return now
		}
	}
	for name, test := range map[string]struct {
		who    Responsibility
		within time.Duration
		most   time.Duration
		play   func(*Schedule) Time // when the next call is
		want   Time
	}{
		"at the start":                             {Unassigned, 0, 0, func(c *Schedule) Time { c.Start(0); return c.at }, 2 * s},
		"waits grow":                               {Unassigned, 0, 0, fail(3), (2 + 4 + 8) * s},
		"to a bound":                               {Unassigned, 0, 0, fail(6), (2 + 4 + 8 + 16 + 16 + 16) * s},
		"steadily, for all":                        {AssignedHere, 0, 0, fail(6), 6 * s},
		"the first by itself, then for a word":     {AssignedElsewhere, 0, 0, fail(2), (2 + 16) * s},
		"no later than its list is good for":       {AssignedElsewhere, 10 * s, 0, fail(3), (2 + 10 + 10) * s},
		"at once at a word":                        {AssignedElsewhere, 0, 0, func(c *Schedule) Time { fail(2)(c); c.RecoveryAnnounced(3 * s); return c.at }, 5 * s},
		"a word does not make it later":            {Unassigned, 0, 0, func(c *Schedule) Time { fail(1)(c); c.RecoveryAnnounced(s); return c.at }, 2 * s},
		"the holder is gone":                       {AssignedElsewhere, 0, 0, func(c *Schedule) Time { fail(2)(c); c.Assign(3*s, Unassigned); return c.at }, 5 * s},
		"a call that is never answered is again":   {Unassigned, 0, 0, func(c *Schedule) Time { fail(1)(c); c.Due(2 * s); return c.at }, 12 * s},
		"as the rule on what counts as told wants": {Unassigned, 0, 3 * s, fail(4), (2 + 3 + 3 + 3) * s},
		"so too the first one":                     {Unassigned, 0, s, fail(2), 2 * s},
		"and those that wait for a word":           {AssignedElsewhere, 10 * s, 3 * s, fail(3), (2 + 3 + 3) * s},
		"and who calls for all":                    {AssignedHere, 0, s / 2, fail(2), s},
	} {
		c := &Schedule{SpreadOver: 2 * s, StaleAfter: test.within, MaxBackoff: test.most, Jitter: most}
		c.Assign(0, test.who)
		if got := test.play(c); got != test.want {
			t.Errorf("%s: calls at %v, want %v", name, got, test.want)
		}
	}
}

func TestTheWordIsGivenOnce(t *testing.T) {
	c := &Schedule{SpreadOver: time.Second, Jitter: most}
	c.Assign(0, AssignedHere)
	if c.Succeeded(); c.TakeAnnouncement() {
		t.Error("a list where none was missed is news")
	}
	c.Failed(0)
	if c.Succeeded(); !c.TakeAnnouncement() || c.TakeAnnouncement() {
		t.Error("the word is not given once")
	}
	c.Failed(0)
	c.Assign(0, AssignedElsewhere)
	if c.Succeeded(); c.TakeAnnouncement() {
		t.Error("a node speaks for another")
	}
	c.RecoveryAnnounced(0)
	if c.Due(time.Hour) {
		t.Error("a word makes a node call that has the list")
	}
}
