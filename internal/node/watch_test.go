package node

import (
	"errors"
	"slices"
	"testing"
	"time"

	"shelfproxy/internal/discovery"
)

// scriptedSource is a source of endpoint lists whose watches report what a test says.
type scriptedSource struct{ calls []*scriptedCall }

type scriptedCall struct {
	after     int64
	report    func(discovery.List, error)
	isStopped bool
}

func (s *scriptedSource) Watch(after int64, report func(discovery.List, error)) func() {
	call := &scriptedCall{after: after, report: report}
	s.calls = append(s.calls, call)
	return func() { call.isStopped = true }
}

// open returns the numbers of the calls that are not stopped, from 0.
func (s *scriptedSource) open() (numbers []int) {
	for i, call := range s.calls {
		if !call.isStopped {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// drained returns a change in which the cache server drains, or is up again.
func drained(version int64, isDraining bool) discovery.List {
	state := discovery.Up
	if isDraining {
		state = discovery.Draining
	}
	return discovery.List{Version: version, Servers: []discovery.Server{{ID: "s", Addr: "h:1", Kind: "box", Weight: 1, State: state}}}
}

// TestListIsKnownHoweverOftenDiscoveryMoves guards against a node that goes on sending to a draining server, as each new
// configuration has it give up the call to discovery that is about to be answered.
func TestListIsKnownHoweverOftenDiscoveryMoves(t *testing.T) {
	for _, test := range []struct{ between, answer time.Duration }{
		{1500 * time.Millisecond, 1700 * time.Millisecond},
		{300 * time.Millisecond, 1700 * time.Millisecond},
		{50 * time.Millisecond, 2 * time.Second},
		{time.Second, 10 * time.Millisecond},
	} {
		node, source := newTestNode(t), &scriptedSource{}
		begin := node.now
		for i := range 40 {
			node.core.FollowDiscovery(source)
			if got := len(source.open()); got > maxWatches {
				t.Fatalf("%d watches are open, want %d at most", got, maxWatches)
			}
			call := source.calls[i]
			node.core.timers.add(node.now.Add(test.answer), func() {
				if !call.isStopped {
					call.report(drained(2, true), nil)
				}
			})
			node.passTime(test.between)
			if node.core.endpoints["s"].State == discovery.Draining {
				break
			}
		}
		if node.core.endpoints["s"].State != discovery.Draining {
			t.Errorf("every %v, answered after %v: the drain is not known after %v", test.between, test.answer, node.now.Sub(begin))
		}
	}
}

// TestWatchesOfTwoSources checks what becomes of two watches, on the former source and on the one that the node follows now.
func TestWatchesOfTwoSources(t *testing.T) {
	errBroken := errors.New("broken")
	for _, test := range []struct {
		name         string
		play         func(former, current *scriptedCall)
		wantDraining bool
		wantOpen     []int // the former watch is 0, the current one 1, and 2 the one that the policy opens later
		wantVersion  int64
	}{
		{"none reports", func(_, _ *scriptedCall) {}, false, []int{0, 1}, 1},
		{"the former one brings a list", func(former, _ *scriptedCall) { former.report(drained(2, true), nil) }, true, []int{0, 1}, 2},
		{"the current one brings a list", func(_, current *scriptedCall) { current.report(drained(2, true), nil) }, true, []int{1}, 2},
		{"the current one brings an earlier list", func(former, current *scriptedCall) {
			former.report(drained(2, true), nil)
			former.report(drained(3, false), nil)
			current.report(drained(2, true), nil)
		}, false, []int{1}, 3},
		{"the former one ends", func(former, _ *scriptedCall) { former.report(discovery.List{}, errBroken) }, false, []int{1}, 1},
		{"the current one ends", func(_, current *scriptedCall) { current.report(discovery.List{}, errBroken) }, false, []int{0, 2}, 1},
		{"the current one ends, the former one brings a list and ends", func(former, current *scriptedCall) {
			current.report(discovery.List{}, errBroken)
			former.report(drained(2, true), nil)
			former.report(discovery.List{}, errBroken)
		}, true, []int{2}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			node, source := newTestNode(t), &scriptedSource{}
			node.core.FollowDiscovery(source)
			node.core.FollowDiscovery(source)
			test.play(source.calls[0], source.calls[1])
			node.passTime(5 * time.Second) // the policy polls again if it has to
			if got := node.core.endpoints["s"].State == discovery.Draining; got != test.wantDraining {
				t.Errorf("the cache server drains: %v, want %v", got, test.wantDraining)
			}
			if got := node.core.listValidator.Version(); got != test.wantVersion {
				t.Errorf("version %d is in force, want %d", got, test.wantVersion)
			}
			if open := source.open(); !slices.Equal(open, test.wantOpen) {
				t.Errorf("watches %v are open, want %v", open, test.wantOpen)
			}
		})
	}
}
