package trace

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"shelfproxy/internal/golden"
	"shelfproxy/internal/testbed/workload"
)

// TestGoldenTrace: trace files of earlier releases are read, and the same bytes are written.
func TestGoldenTrace(t *testing.T) {
	arrivals := []workload.Arrival{
		{At: 1500 * time.Microsecond, Class: 0, Key: "anna", Node: 1, Size: 300},
		{At: 1501 * time.Microsecond, Class: 1, Key: "ben", Node: 0, Size: 70000, IdempotencyKey: "once-7"},
		{At: 2 * time.Hour, Class: 1, Key: "", Node: 1, Size: 0},
	}
	meta := Meta{Classes: []string{"view", "sign"}, Nodes: 2, From: "golden", StartedAt: time.Date(2026, 12, 2, 1, 2, 3, 0, time.UTC)}
	path := filepath.Join(t.TempDir(), "trace")
	w, err := Create(path, meta)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range arrivals {
		if err := w.Add(a); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "trace.golden", content)

	r, err := Open(filepath.Join("testdata", "trace.golden"))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if r.Meta.Nodes != 2 || r.Meta.From != "golden" || !r.Meta.StartedAt.Equal(meta.StartedAt) {
		t.Errorf("meta data %+v, want %+v", r.Meta, meta)
	}
	for _, want := range arrivals {
		if got, err := r.Next(); err != nil || got != want {
			t.Errorf("read %+v, %v; want %+v", got, err, want)
		}
	}
}
