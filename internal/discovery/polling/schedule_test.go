package polling

import (
	"testing"
	"time"
)

// longestJitter is a Jitter that always returns the longest wait, so that tests see the upper bound of each wait.
func longestJitter(limit time.Duration) time.Duration { return limit }

// failTimes calls Failed count times, each time at the moment at which the next call of the schedule was due.
func failTimes(schedule *Schedule, count int) {
	now := Time(0)
	for range count {
		schedule.Failed(now)
		now = schedule.nextCall
	}
}

func TestNextCall(t *testing.T) {
	const s = time.Second
	failures := func(count int) func(*Schedule) {
		return func(schedule *Schedule) { failTimes(schedule, count) }
	}
	for name, test := range map[string]struct {
		responsible Responsibility
		staleAfter  time.Duration
		maxBackoff  time.Duration
		play        func(*Schedule)
		want        Time
	}{
		"at the start":                 {Unassigned, 0, 0, func(c *Schedule) { c.Start(0) }, 2 * s},
		"backoff doubles":              {Unassigned, 0, 0, failures(3), (2 + 4 + 8) * s},
		"backoff is bounded":           {Unassigned, 0, 0, failures(6), (2 + 4 + 8 + 16 + 16 + 16) * s},
		"constant interval, for all":   {AssignedHere, 0, 0, failures(6), 6 * s},
		"by itself once, then waits":   {AssignedElsewhere, 0, 0, failures(2), (2 + 16) * s},
		"waits until its list is old":  {AssignedElsewhere, 10 * s, 0, failures(3), (2 + 10 + 10) * s},
		"soon after an announcement":   {AssignedElsewhere, 0, 0, func(c *Schedule) { failTimes(c, 2); c.RecoveryAnnounced(3 * s) }, 5 * s},
		"announcement never delays":    {Unassigned, 0, 0, func(c *Schedule) { failTimes(c, 1); c.RecoveryAnnounced(s) }, 2 * s},
		"soon after the poller left":   {AssignedElsewhere, 0, 0, func(c *Schedule) { failTimes(c, 2); c.Assign(3*s, Unassigned) }, 5 * s},
		"call without an end":          {Unassigned, 0, 0, func(c *Schedule) { failTimes(c, 1); c.TakeDueCall(2 * s) }, 12 * s},
		"MaxBackoff bounds":            {Unassigned, 0, 3 * s, failures(4), (2 + 3 + 3 + 3) * s},
		"MaxBackoff bounds the first":  {Unassigned, 0, s, failures(2), 2 * s},
		"MaxBackoff bounds waiting":    {AssignedElsewhere, 10 * s, 3 * s, failures(3), (2 + 3 + 3) * s},
		"MaxBackoff bounds the poller": {AssignedHere, 0, s / 2, failures(2), s},
	} {
		schedule := &Schedule{SpreadOver: 2 * s, StaleAfter: test.staleAfter, MaxBackoff: test.maxBackoff, Jitter: longestJitter}
		schedule.Assign(0, test.responsible)
		test.play(schedule)
		if schedule.nextCall != test.want {
			t.Errorf("%s: next call at %v, want %v", name, schedule.nextCall, test.want)
		}
	}
}

func TestRecoveryIsAnnouncedOnce(t *testing.T) {
	schedule := &Schedule{SpreadOver: time.Second, Jitter: longestJitter}
	schedule.Assign(0, AssignedHere)
	if schedule.Succeeded(); schedule.TakeAnnouncement() {
		t.Error("got an announcement without a failure before, want none")
	}
	schedule.Failed(0)
	if schedule.Succeeded(); !schedule.TakeAnnouncement() {
		t.Error("got no announcement after a failure, want one")
	}
	if schedule.TakeAnnouncement() {
		t.Error("got the announcement again, want it once")
	}
	schedule.Failed(0)
	schedule.Assign(0, AssignedElsewhere)
	if schedule.Succeeded(); schedule.TakeAnnouncement() {
		t.Error("got an announcement from a node that does not poll for all, want none")
	}
	schedule.RecoveryAnnounced(0)
	if schedule.TakeDueCall(time.Hour) {
		t.Error("got a call due after an announcement to a node that has the list, want none")
	}
}
