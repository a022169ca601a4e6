package invariants

import (
	"strings"
	"testing"
	"time"
)

const s = time.Second

// reporter reports events to a checker. Its methods use the request "r", the server "b" and node 0.
type reporter struct{ *Checker }

func (r reporter) accepted(class string) { r.RequestSent(0, "r", class, 0, 3*s) }

func (r reporter) attempt(at time.Duration, server, class string, seq uint64) {
	r.AttemptArrived(at, at, 0, server, "r", class, seq)
}

// served reports that server "b" made a value for the request, and that the client got the value.
func (r reporter) served(at time.Duration) {
	r.ResponseSent(at, "b", "r", 1, PossiblyExecuted, true, "hit")
	r.RequestAnswered(at, "r", Served, "r")
}

// notified reports that node 0 was notified of the state of the server "b".
func (r reporter) notified(at time.Duration, state string) {
	r.NodeNotified(at, 0, false, map[string]string{"b": state})
}

// violationCase is a sequence of events that violates the invariant want exactly once. If want is empty, the events
// violate no invariant.
type violationCase struct {
	name string
	run  func(r reporter)
	want Invariant
}

func checkViolations(t *testing.T, cases []violationCase) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			checker := New([]Class{{"read", Idempotent, 0}, {"sign", Deduplicated, 4 * s}, {"cert", AtMostOnce, 0}},
				Tolerances{DrainWithin: 2500 * time.Millisecond, NotifyWithin: 6 * s, Grace: 50 * time.Millisecond})
			test.run(reporter{checker})
			violations := checker.Violations()
			switch {
			case test.want == "" && len(violations) > 0:
				t.Errorf("violations %v, want none", violations)
			case test.want != "" && (len(violations) != 1 || violations[0].Invariant != test.want):
				t.Errorf("violations %v, want one of the invariant %s", violations, test.want)
			}
		})
	}
}

func TestEachRequestGetsOneAnswerByItsDeadline(t *testing.T) {
	checkViolations(t, []violationCase{
		{"served", func(r reporter) { r.accepted("read"); r.attempt(s, "b", "read", 1); r.served(2 * s) }, ""},
		{"never answered", func(r reporter) { r.accepted("read"); r.Advance(4 * s) }, MissingAnswer},
		{"answered late", func(r reporter) { r.accepted("read"); r.attempt(s, "b", "read", 1); r.served(3200 * time.Millisecond) }, MissingAnswer},
		{"answered within the grace", func(r reporter) { r.accepted("read"); r.attempt(s, "b", "read", 1); r.served(3040 * time.Millisecond) }, ""},
		{"answered twice", func(r reporter) {
			r.accepted("read")
			r.RequestAnswered(s, "r", Failed, "")
			r.RequestAnswered(s, "r", Failed, "")
		}, MissingAnswer},
		{"value of another request", func(r reporter) {
			r.accepted("read")
			r.attempt(s, "b", "read", 1)
			r.ResponseSent(s, "b", "r", 1, PossiblyExecuted, true, "hit")
			r.RequestAnswered(2*s, "r", Served, "q")
		}, MissingAnswer},
		{"value that no server made", func(r reporter) { r.accepted("read"); r.RequestAnswered(s, "r", Served, "r") }, MissingAnswer},
		{"connection closed by the node", func(r reporter) { r.accepted("read"); r.ConnectionEnded(s, "r", false) }, MissingAnswer},
		{"connection closed before the request was read", func(r reporter) { r.accepted("read"); r.ConnectionEnded(s, "r", true); r.Advance(9 * s) }, ""},
		{"client disconnected", func(r reporter) { r.accepted("read"); r.ClientDisconnected(s, "r"); r.Advance(9 * s) }, ""},
	})
}

func TestRetriesStayWithinTheEffectOfTheClass(t *testing.T) {
	checkViolations(t, []violationCase{
		{"at most once, sent twice", func(r reporter) {
			r.attempt(s, "origin", "cert", 1)
			r.attempt(2*s, "origin", "cert", 2)
		}, DuplicateExecution},
		{"at most once, sent again after a rejection", func(r reporter) {
			r.attempt(s, "origin", "cert", 1)
			r.ResponseSent(s, "origin", "r", 1, NotExecuted, false, "turned_away")
			r.attempt(2*s, "origin", "cert", 2)
		}, ""},
		{"at most once, executed twice", func(r reporter) {
			r.RequestExecuted(s, "origin", "r", "cert")
			r.RequestExecuted(2*s, "origin", "r", "cert")
		}, DuplicateExecution},
		{"deduplicated, within its window", func(r reporter) {
			r.attempt(s, "origin", "sign", 1)
			r.attempt(4*s, "origin", "sign", 2)
		}, ""},
		{"deduplicated, past its window", func(r reporter) {
			r.attempt(s, "origin", "sign", 1)
			r.attempt(5200*time.Millisecond, "origin", "sign", 2)
		}, DuplicateExecution},
	})
}

func TestRejectionPromisesThatNothingWasExecuted(t *testing.T) {
	checkViolations(t, []violationCase{
		{"at most once, after an attempt", func(r reporter) {
			r.accepted("cert")
			r.attempt(s, "origin", "cert", 1)
			r.RequestAnswered(2*s, "r", Rejected, "")
		}, RejectedAfterExecution},
		{"idempotent, after an attempt", func(r reporter) {
			r.accepted("read")
			r.attempt(s, "b", "read", 1)
			r.RequestAnswered(2*s, "r", Rejected, "")
		}, ""},
	})
}

func TestDrainingServersGetNoNewRequests(t *testing.T) {
	checkViolations(t, []violationCase{
		{"right after the notification", func(r reporter) { r.notified(0, "draining"); r.attempt(2500*time.Millisecond, "b", "read", 1) }, ""},
		{"long after the first of two notifications", func(r reporter) {
			r.notified(0, "draining")
			r.notified(2*s, "draining")
			r.attempt(2700*time.Millisecond, "b", "read", 1)
		}, SentToDraining},
		{"another node was notified", func(r reporter) {
			r.NodeNotified(0, 1, false, map[string]string{"b": "draining"})
			r.attempt(9*s, "b", "read", 1)
		}, ""},
		{"up again", func(r reporter) { r.notified(0, "draining"); r.notified(2*s, "up"); r.attempt(9*s, "b", "read", 1) }, ""},
		{"left out of a full list", func(r reporter) {
			r.NodeNotified(0, 0, true, map[string]string{"a": "up", "b": "up"})
			r.NodeNotified(0, 0, true, map[string]string{"a": "up"})
			r.attempt(9*s, "b", "read", 1)
		}, SentToDraining},
		{"never polled", func(r reporter) { r.ServerListed(0, "b", "draining"); r.attempt(8600*time.Millisecond, "b", "read", 1) }, SentToDraining},
		{"within the time to poll", func(r reporter) { r.ServerListed(0, "b", "draining"); r.attempt(8500*time.Millisecond, "b", "read", 1) }, ""},
		{"discovery was down", func(r reporter) {
			r.ServerListed(0, "b", "draining")
			r.DiscoveryReachable(s, false)
			r.DiscoveryReachable(5*s, true)
			r.attempt(13*s, "b", "read", 1)
		}, ""},
	})
}

func TestServersInSlowStartAreNotOverloaded(t *testing.T) {
	checkViolations(t, []violationCase{
		{"start unknown", func(r reporter) { r.attempt(0, "b", "read", 1); r.ServerOverloaded(s, "b") }, SlowStartOverload},
		{"by nodes that were notified", func(r reporter) {
			r.ServerStarted("b", 1)
			r.NodeKnowsStart(0, "b", 1)
			r.attempt(0, "b", "read", 1)
			r.ServerOverloaded(s, "b")
		}, SlowStartOverload},
		{"by nodes that were notified of other servers", func(r reporter) {
			r.ServerStarted("b", 1)
			r.NodeKnowsStart(0, "a", 1)
			r.attempt(0, "b", "read", 1)
			r.ServerOverloaded(s, "b")
		}, ""},
		{"by nodes that know the process before", func(r reporter) {
			r.NodeKnowsStart(0, "b", 0)
			r.attempt(0, "b", "read", 1)
			r.ServerStarted("b", 1)
			r.attempt(0, "b", "read", 2)
			r.ServerOverloaded(s, "b")
		}, ""},
		{"by a node that knows it from its configuration", func(r reporter) {
			r.ServerStarted("b", 1)
			r.NodeRestarted(0)
			r.NodeKnowsStart(0, "b", 1)
			r.attempt(0, "b", "read", 1)
			r.ServerOverloaded(s, "b")
		}, SlowStartOverload},
	})
}

func TestViolationPrintsTheHistoryOfItsRequest(t *testing.T) {
	checker := newCheckerWithDuplicate()
	text := checker.Violations()[0].String()
	for _, part := range []string{"rule repeat broken at 1.000 s", "0.000 accepted by node 3, deadline 2.000", "1.000 attempt at origin; 1.000 attempt at origin"} {
		if !strings.Contains(text, part) {
			t.Errorf("violation %q, want it to contain %q", text, part)
		}
	}
}

func TestAnsweredRequestsAreForgotten(t *testing.T) {
	checker := newCheckerWithDuplicate()
	checker.RequestAnswered(s, "r", Failed, "")
	for i := range 100 {
		checker.Advance(time.Duration(i) * s)
	}
	if got := len(checker.requests) + len(checker.requestOrder); got != 0 {
		t.Errorf("%d requests are remembered, want 0", got)
	}
}

// newCheckerWithDuplicate returns a checker with one violation: two attempts of an at-most-once request arrived.
func newCheckerWithDuplicate() *Checker {
	checker := New([]Class{{"cert", AtMostOnce, 0}}, Tolerances{Grace: 50 * time.Millisecond})
	checker.RequestSent(0, "r", "cert", 3, 2*s)
	checker.AttemptArrived(s, s, 3, "origin", "r", "cert", 1)
	checker.AttemptArrived(s, s, 3, "origin", "r", "cert", 2)
	return checker
}
