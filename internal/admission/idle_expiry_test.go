package admission

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestIdleTimeoutFollowsTheStage(t *testing.T) {
	for name, test := range map[string]struct {
		behave func(table *ConnectionTable)
		want   Time // time of the expiry
	}{
		"nothing sent":    {func(*ConnectionTable) {}, 2500 * ms},
		"partial command": {func(table *ConnectionTable) { table.PartialCommand(time.Second, 1) }, 3500 * ms},
		"greeted":         {func(table *ConnectionTable) { exchange(table, 0, 1, CommandOther) }, time.Minute + 10*ms},
		"one request":     {func(table *ConnectionTable) { exchange(table, 0, 1, CommandRequest) }, time.Minute + 10*ms},
		"invalid":         {func(table *ConnectionTable) { exchange(table, 0, 1, CommandInvalid) }, 2010 * ms},
		"request after an invalid command": {func(table *ConnectionTable) {
			exchange(table, 0, 1, CommandInvalid)
			exchange(table, 20*ms, 1, CommandRequest)
		}, time.Minute + 30*ms},
		"partial command after a request": {func(table *ConnectionTable) {
			exchange(table, 0, 1, CommandRequest)
			table.PartialCommand(time.Second, 1)
			table.PartialCommand(3*time.Second, 1) // a further part of the same command
		}, 3500 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(100)
			table.Accepted(0, 1)
			test.behave(table)
			at, ok := table.NextExpiry(0)
			if d := at - test.want; !ok || d < -ms || d > ms {
				t.Errorf("got the next expiry %s, %v, want %s", at, ok, test.want)
			}
			if got := table.ExpireIdle(at-ms, 10); len(got) != 0 {
				t.Errorf("got %v expired 1 ms too early, want none", got)
			}
			if got := table.ExpireIdle(at, 10); !slices.Equal(got, []uint64{1}) {
				t.Errorf("got %v expired, want [1]", got)
			}
			if got := table.ExpireIdle(at+time.Hour, 10); len(got) != 0 {
				t.Errorf("got %v expired again, want none", got)
			}
		})
	}
}

// TestIdleTimeoutShrinksSmoothlyAsTheTableFills checks that each further connection shrinks the idle timeout by a small
// factor only, and that the timeout never grows.
func TestIdleTimeoutShrinksSmoothlyAsTheTableFills(t *testing.T) {
	table := newTable(200)
	last := math.Inf(1)
	for id := range uint64(200) {
		table.Accepted(0, id)
		now := 10 * time.Second // the table has stopped growing, so its growth does not count
		timeout := float64(table.idleTimeout(int(StageOneRequest), table.Crowding(now)))
		if timeout > last || timeout < last*0.85 && !math.IsInf(last, 1) {
			t.Errorf("with %d connections the timeout goes from %s to %s", id+1, time.Duration(last), time.Duration(timeout))
		}
		last = timeout
	}
	if d := time.Duration(last) - 50*ms; d < -ms || d > ms {
		t.Errorf("got the timeout %s in a full table, want 50ms", time.Duration(last))
	}
}

func TestTableThatFillsFastCountsAsMoreCrowded(t *testing.T) {
	fast, slow := newTable(200), newTable(200)
	for id := range uint64(30) {
		fast.Accepted(0, id)
		slow.Accepted(time.Duration(id)*100*ms, id)
	}
	if atOnce, gradually := fast.Crowding(0), slow.Crowding(2900*ms); atOnce <= gradually {
		t.Errorf("got the crowding %.2f of a table filled at once, want more than the %.2f of one filled slowly", atOnce, gradually)
	}
}
