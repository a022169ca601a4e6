package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Lines of one event are limited; the next window tells how many were left out, and other events, other components
// and errors are not touched.
func TestRepeatedLinesAreLimitedAndCounted(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, Options{Format: "auto"})
	node, pool := Component(l, "node"), Component(l, "pool")
	start := time.Unix(1000, 0)
	say := func(l *slog.Logger, at time.Duration, level slog.Level, event string) {
		r := slog.NewRecord(start.Add(at), level, "text", 0)
		r.AddAttrs(slog.String(Event, event))
		l.Handler().Handle(context.Background(), r)
	}
	for range burst + 7 {
		say(node, 0, slog.LevelInfo, "watch_broken")
	}
	say(pool, 0, slog.LevelInfo, "watch_broken")
	say(node, 0, slog.LevelInfo, "other")
	say(node, 0, slog.LevelError, "watch_broken")
	if n := strings.Count(out.String(), "\n"); n != burst+3 {
		t.Fatalf("%d lines, want %d: %s", n, burst+3, &out)
	}
	out.Reset()
	say(node, window, slog.LevelInfo, "watch_broken")
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("not JSON where there is no terminal: %s", &out)
	}
	if line["left_out"] != 7.0 || line["component"] != "node" || line["event"] != "watch_broken" {
		t.Errorf("the next line: %s", &out)
	}
}

func TestLevels(t *testing.T) {
	for word, ok := range map[string]bool{"debug": true, "warn": true, "loud": false} {
		if _, err := Level(word); (err == nil) != ok {
			t.Errorf("%s: %v", word, err)
		}
	}
	var out bytes.Buffer
	l := New(&out, Options{Level: slog.LevelWarn, Format: "text"})
	l.Info("quiet")
	l.Warn("loud")
	if strings.Contains(out.String(), "quiet") || !strings.Contains(out.String(), "msg=loud") {
		t.Errorf("wrote %s", &out)
	}
}
