package agent

import (
	"log/slog"
	"slices"
	"testing"

	"shelfproxy/internal/fleet/membership"
)

// TestEventKindsAreNamedAsCounters: the names of the event kinds are the names of the counters: the states of a node and three
// more.
func TestEventKindsAreNamedAsCounters(t *testing.T) {
	var got []string
	for kind := range EventKinds {
		got = append(got, kind.String())
	}
	want := []string{"unknown", "alive", "suspect", "dead", "left", "garbled", "foreign", "claimed"}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestSuspicionsAreLoggedAtDebug: starts, deaths and departures of nodes are logged at the default level, suspicions and their
// refutations only at debug level.
func TestSuspicionsAreLoggedAtDebug(t *testing.T) {
	for _, test := range []struct {
		from, to membership.State
		want     slog.Level
	}{
		{membership.Unknown, membership.Alive, slog.LevelInfo},
		{membership.Dead, membership.Alive, slog.LevelInfo},
		{membership.Left, membership.Alive, slog.LevelInfo},
		{membership.Suspect, membership.Dead, slog.LevelInfo},
		{membership.Alive, membership.Left, slog.LevelInfo},
		{membership.Alive, membership.Suspect, slog.LevelDebug},
		{membership.Suspect, membership.Alive, slog.LevelDebug},
		{membership.Alive, membership.Alive, slog.LevelDebug},
	} {
		if got := stateChangeLevel(membership.StateChanged{From: test.from, To: test.to}); got != test.want {
			t.Errorf("from %v to %v: got level %v, want %v", test.from, test.to, got, test.want)
		}
	}
}
