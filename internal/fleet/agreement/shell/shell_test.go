package shell

import (
	"errors"
	"slices"
	"testing"
	"time"

	"shelfproxy/internal/control"
	"shelfproxy/internal/eventloop"
	"shelfproxy/internal/fleet/agreement"
)

func TestSendReachesEveryOtherNodeInOrder(t *testing.T) {
	for to, want := range map[int][]int{agreement.AllNodes: {0, 1, 3}, 3: {3}, 2: nil, 4: nil} {
		var got []int
		peers := Peers{Self: 2, Nodes: 4, SendTo: func(node int, _ []byte) error {
			got = append(got, node)
			return errors.New("lost")
		}}
		peers.Send(to, []byte{1})
		if !slices.Equal(got, want) {
			t.Errorf("sending to %d reached %v, want %v", to, got, want)
		}
	}
}

// noCore is a core without state or effects.
type noCore struct{}

func (noCore) Step(time.Duration, int) []int { return nil }

func TestReadIsBusyAfterTheLoopEnded(t *testing.T) {
	loop := eventloop.New[int, int](noCore{}, func(int) {})
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(stop, time.Hour, func() {})
	}()
	if got, err := Read(loop, func(time.Duration) string { return "state" }); got != "state" || err != nil {
		t.Errorf("Read = %q, %v; want the state", got, err)
	}
	close(stop)
	<-ended
	if got, err := Read(loop, func(time.Duration) string { return "state" }); got != "" || !errors.Is(err, control.ErrBusy) {
		t.Errorf("Read after the end = %q, %v; want control.ErrBusy", got, err)
	}
}
