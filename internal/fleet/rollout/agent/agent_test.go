package agent

import (
	"log/slog"
	"testing"
	"time"

	"shelfproxy/internal/fleet/rollout"
)

const testTimeout = 10 * time.Second

// startAgent runs the agent of a fleet of one node until the end of the test.
func startAgent(t *testing.T, options Options) *Agent {
	t.Helper()
	options.Config = rollout.Config{Nodes: 1, Budget: 1, HeartbeatInterval: 20 * time.Millisecond, UnresponsiveAfter: time.Second,
		RequestTimeout: time.Minute, ReturnTimeout: time.Hour, WriteOffAfter: time.Hour, ObservationPeriod: time.Hour,
		MaxFailureRate: 0.2, MaxSlowRate: 0.2, MinSamples: 10, Incarnation: 1}
	options.Send = func(int, []byte) error { return nil }
	options.CountEvent = func(rollout.LogEventKind) {}
	options.Log = slog.New(slog.DiscardHandler)
	started, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		started.Serve(stop)
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
	})
	return started
}

func TestGrantedDrainBeginsOnce(t *testing.T) {
	drains := make(chan struct{}, 10)
	a := startAgent(t, Options{DrainGranted: func() { drains <- struct{}{} }})
	a.Post(rollout.DrainRequested{})
	select {
	case <-drains:
	case <-time.After(testTimeout):
		t.Fatal("the node was not drained")
	}
	a.Post(rollout.DrainRequested{})
	status, err := a.Status() // Status returns after the agent handled the second event
	if err != nil {
		t.Fatal(err)
	}
	if want := rollout.Draining.String(); status.State != want || len(drains) != 0 {
		t.Errorf("state %q with %d more drains, want %q and none", status.State, len(drains), want)
	}
}

func TestResponsesAreReportedOnce(t *testing.T) {
	// The core checks the failure rate from 10 responses on. The 9 failed responses are too few, so the node stays in the state
	// starting. If they were reported twice, the 18 would make the node unhealthy.
	polled := make(chan struct{})
	a := startAgent(t, Options{ResponseCounts: func() rollout.ResponseCounts {
		select {
		case polled <- struct{}{}:
		default:
		}
		return rollout.ResponseCounts{Responses: 9, Failed: 9}
	}})
	for range 3 {
		select {
		case <-polled:
		case <-time.After(testTimeout):
			t.Fatal("the responses were not polled")
		}
	}
	status, err := a.Status()
	if err != nil {
		t.Fatal(err)
	}
	if want := rollout.Starting.String(); status.State != want {
		t.Errorf("state %q, want %q", status.State, want)
	}
}
