package logs

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestRepeatedEventsAreLimitedAndCounted guards against a repeated event that floods the log. The number of records of one
// event in a window is limited, and the first record of the next window holds the number of dropped ones. Other events, other
// components and errors are not affected by that limit, and neither are records below the level info.
func TestRepeatedEventsAreLimitedAndCounted(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, Options{Format: "auto"})
	node, pool := Component(log, "node"), Component(log, "pool")
	start := time.Unix(1000, 0)
	write := func(logger *slog.Logger, after time.Duration, level slog.Level, event string) {
		t.Helper()
		record := slog.NewRecord(start.Add(after), level, "text", 0)
		record.AddAttrs(slog.String(Event, event))
		if err := logger.Handler().Handle(t.Context(), record); err != nil {
			t.Fatal(err)
		}
	}
	for range burst + 7 {
		write(node, 0, slog.LevelInfo, "watch_broken")
		write(node, 0, slog.LevelDebug, "traced")
	}
	write(pool, 0, slog.LevelInfo, "watch_broken")
	write(node, 0, slog.LevelInfo, "other")
	write(node, 0, slog.LevelError, "watch_broken")
	if got, want := strings.Count(out.String(), "\n"), 2*burst+7+3; got != want {
		t.Fatalf("%d records, want %d: %s", got, want, &out)
	}
	out.Reset()
	write(node, window, slog.LevelInfo, "watch_broken")
	var record map[string]any
	if err := json.Unmarshal(out.Bytes(), &record); err != nil {
		t.Fatalf("%v: %s, want JSON where there is no terminal", err, &out)
	}
	for key, want := range map[string]any{droppedKey: 7.0, "component": "node", Event: "watch_broken"} {
		if got := record[key]; got != want {
			t.Errorf("the next window's record has %s %v, want %v", key, got, want)
		}
	}
}

func TestLevelAcceptsKnownNamesOnly(t *testing.T) {
	for name, isKnown := range map[string]bool{"debug": true, "warn": true, "loud": false} {
		if _, err := Level(name); (err == nil) != isKnown {
			t.Errorf("level %q: error %v, want known %v", name, err, isKnown)
		}
	}
}

func TestRecordsBelowTheLevelAreNotWritten(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, Options{Level: slog.LevelWarn, Format: "text"})
	log.Info("quiet")
	log.Warn("loud")
	if strings.Contains(out.String(), "quiet") || !strings.Contains(out.String(), "msg=loud") {
		t.Errorf("wrote %s, want the warning alone, as text", &out)
	}
}
