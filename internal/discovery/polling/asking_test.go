package polling

import (
	"testing"
	"time"
)

// most draws the longest wait there is, so that tests see its bound.
func most(wait time.Duration) time.Duration { return wait }

func TestWhenANodeCalls(t *testing.T) {
	const s = time.Second
	fail := func(n int) func(*Calls) Time {
		return func(c *Calls) Time {
			now := Time(0)
			for range n {
				c.Failed(now)
				now = c.at
			}
			return now
		}
	}
	for name, test := range map[string]struct {
		who    Who
		within time.Duration
		most   time.Duration
		play   func(*Calls) Time // when the next call is
		want   Time
	}{
		"at the start":                             {Nobody, 0, 0, func(c *Calls) Time { c.Start(0); return c.at }, 2 * s},
		"waits grow":                               {Nobody, 0, 0, fail(3), (2 + 4 + 8) * s},
		"to a bound":                               {Nobody, 0, 0, fail(6), (2 + 4 + 8 + 16 + 16 + 16) * s},
		"steadily, for all":                        {Self, 0, 0, fail(6), 6 * s},
		"the first by itself, then for a word":     {Another, 0, 0, fail(2), (2 + 16) * s},
		"no later than its list is good for":       {Another, 10 * s, 0, fail(3), (2 + 10 + 10) * s},
		"at once at a word":                        {Another, 0, 0, func(c *Calls) Time { fail(2)(c); c.Told(3 * s); return c.at }, 5 * s},
		"a word does not make it later":            {Nobody, 0, 0, func(c *Calls) Time { fail(1)(c); c.Told(s); return c.at }, 2 * s},
		"the holder is gone":                       {Another, 0, 0, func(c *Calls) Time { fail(2)(c); c.Held(3*s, Nobody); return c.at }, 5 * s},
		"a call that is never answered is again":   {Nobody, 0, 0, func(c *Calls) Time { fail(1)(c); c.Due(2 * s); return c.at }, 12 * s},
		"as the rule on what counts as told wants": {Nobody, 0, 3 * s, fail(4), (2 + 3 + 3 + 3) * s},
		"so too the first one":                     {Nobody, 0, s, fail(2), 2 * s},
		"and those that wait for a word":           {Another, 10 * s, 3 * s, fail(3), (2 + 3 + 3) * s},
		"and who calls for all":                    {Self, 0, s / 2, fail(2), s},
	} {
		c := &Calls{Spread: 2 * s, Within: test.within, Most: test.most, Jitter: most}
		c.Held(0, test.who)
		if got := test.play(c); got != test.want {
			t.Errorf("%s: calls at %v, want %v", name, got, test.want)
		}
	}
}

func TestTheWordIsGivenOnce(t *testing.T) {
	c := &Calls{Spread: time.Second, Jitter: most}
	c.Held(0, Self)
	if c.Listed(); c.Tell() {
		t.Error("a list where none was missed is news")
	}
	c.Failed(0)
	if c.Listed(); !c.Tell() || c.Tell() {
		t.Error("the word is not given once")
	}
	c.Failed(0)
	c.Held(0, Another)
	if c.Listed(); c.Tell() {
		t.Error("a node speaks for another")
	}
	c.Told(0)
	if c.Due(time.Hour) {
		t.Error("a word makes a node call that has the list")
	}
}
