package eventloop

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// doubler is a core that returns each event twice, as its effects.
type doubler struct{ now time.Duration }

func (d *doubler) Step(now time.Duration, event int) []int {
	d.now = now
	return []int{event, event}
}

// start runs a loop in a new goroutine until the end of the test.
func start(t *testing.T, loop *Loop[int, int], interval time.Duration, tick func()) {
	t.Helper()
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(stop, interval, tick)
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
	})
}

func TestEventsAreHandledInOrder(t *testing.T) {
	core := &doubler{}
	var applied []int
	loop := New(core, func(effect int) { applied = append(applied, effect) })
	start(t, loop, time.Hour, func() {})
	for event := range 3 {
		if !loop.Post(event) {
			t.Fatalf("event %d was dropped", event)
		}
	}
	var got []int
	if err := loop.Call(func() { got = slices.Clone(applied) }); err != nil {
		t.Fatal(err)
	}
	if want := []int{0, 0, 1, 1, 2, 2}; !slices.Equal(got, want) {
		t.Errorf("effects %v, want %v", got, want)
	}
}

func TestTickIsCalledAtEachInterval(t *testing.T) {
	loop := New(&doubler{}, func(int) {})
	ticks := make(chan struct{})
	start(t, loop, time.Millisecond, func() {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
	for range 2 {
		select {
		case <-ticks:
		case <-time.After(10 * time.Second):
			t.Fatal("no tick within 10 s, want one each millisecond")
		}
	}
}

func TestEventIsDroppedWhileQueueIsFull(t *testing.T) {
	loop := New(&doubler{}, func(int) {}) // the loop is not running, so the queue fills
	for event := range queueLength {
		if !loop.Post(event) {
			t.Fatalf("event %d was dropped, want %d to be queued", event, queueLength)
		}
	}
	if loop.Post(queueLength) {
		t.Errorf("an event was queued behind %d, want it dropped", queueLength)
	}
	if err := loop.Call(func() {}); !errors.Is(err, ErrBusy) {
		t.Errorf("Call returned %v, want ErrBusy", err)
	}
}

func TestCallIsBusyAfterTheLoopEnded(t *testing.T) {
	loop := New(&doubler{}, func(int) {})
	stop := make(chan struct{})
	close(stop)
	loop.Run(stop, time.Hour, func() {})
	if err := loop.Call(func() { t.Error("f was called after the end of the loop") }); !errors.Is(err, ErrBusy) {
		t.Errorf("Call returned %v, want ErrBusy", err)
	}
}
