package rollout

import (
	"testing"
	"time"
)

// TestStartingNodeIsJudgedBesideTheOthers checks that a node that starts becomes unhealthy only if its rates of failed or slow
// responses are much higher than those of the ready nodes.
func TestStartingNodeIsJudgedBesideTheOthers(t *testing.T) {
	for _, test := range []struct {
		name          string
		counts        ResponseCounts
		others        []health
		wantUnhealthy bool
	}{
		{"does well", ResponseCounts{100, 5, 10}, nil, false},
		{"fails", ResponseCounts{100, 30, 0}, nil, true},
		{"is slow", ResponseCounts{100, 0, 70}, nil, true},
		{"has too few samples", ResponseCounts{5, 5, 0}, nil, false},
		{"fails like all others", ResponseCounts{100, 60, 0}, []health{{true, 150, 0}, {true, 140, 0}, {true, 160, 0}}, false},
		{"is slow like all others", ResponseCounts{100, 0, 90}, []health{{true, 0, 200}, {true, 0, 200}}, false},
		{"fails more than all others", ResponseCounts{100, 90, 0}, []health{{true, 60, 0}, {true, 60, 0}, {true, 60, 0}}, true},
		{"fails while one other reports wrongly", ResponseCounts{100, 90, 0}, []health{{true, 5, 0}, {true, 255, 255}, {true, 5, 0}}, true},
		{"fails while the others report nothing", ResponseCounts{100, 90, 0}, []health{{}, {}, {}}, true},
		{"fails a little more than others", ResponseCounts{100, 21, 0}, []health{{true, 10, 0}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			core := newTestCore(t, testConfig(0, 5, 1))
			core.Step(0, ServingStarted{})
			for i, other := range test.others {
				core.Step(0, MessageReceived{i + 1, heartbeat{Incarnation: 1, Sequence: 1, State: Ready, Health: other}.encode()})
			}
			core.Step(time.Millisecond, test.counts)
			if got := core.state == Unhealthy; got != test.wantUnhealthy || got != core.halt.IsHalted {
				t.Errorf("unhealthy %v, halted %v, want %v of both", got, core.halt.IsHalted, test.wantUnhealthy)
			}
		})
	}
}
