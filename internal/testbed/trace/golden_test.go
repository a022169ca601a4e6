package trace

import (
	"path/filepath"
	"testing"
	"time"

	"shelfproxy/internal/golden"
	"shelfproxy/internal/testbed/workload"
)

// Guards against a change of the file format: trace files of earlier releases must stay readable, and the same requests
// must give the same bytes.
func TestGoldenTrace(t *testing.T) {
	arrivals := []workload.Arrival{
		{At: 1500 * time.Microsecond, Class: 0, Key: "anna", Node: 1, Size: 300},
		{At: 1501 * time.Microsecond, Class: 1, Key: "ben", Node: 0, Size: 70000, IdempotencyKey: "once-7"},
		{At: 2 * time.Hour, Class: 1, Key: "", Node: 1, Size: 0},
	}
	meta := Meta{Classes: []string{"view", "sign"}, Nodes: 2, From: "golden", StartedAt: time.Date(2026, 12, 2, 1, 2, 3, 0, time.UTC)}
	path := filepath.Join(t.TempDir(), "trace")
	writer, err := Create(path, meta)
	if err != nil {
		t.Fatalf("create: %v", err)
	}
	addAll(t, writer, arrivals)
	golden.Check(t, "trace.golden", readFile(t, path))

	reader, err := Open(filepath.Join("testdata", "trace.golden"))
	if err != nil {
		t.Fatalf("open the golden file: %v", err)
	}
	defer func() { _ = reader.Close() }()
	if reader.Meta.Nodes != 2 || reader.Meta.From != "golden" || !reader.Meta.StartedAt.Equal(meta.StartedAt) {
		t.Errorf("metadata %+v, want %+v", reader.Meta, meta)
	}
	for _, want := range arrivals {
		if got, err := reader.Next(); err != nil || got != want {
			t.Errorf("read %+v, %v; want %+v", got, err, want)
		}
	}
}
