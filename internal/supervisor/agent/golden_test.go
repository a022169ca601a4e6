package agent

import (
	"encoding/json"
	"testing"
	"time"

	"shelfproxy/internal/golden"
	"shelfproxy/internal/supervisor"
)

// TestGoldenOverview guards the JSON of the overview of instances, which operators' scripts read, against changed keys.
func TestGoldenOverview(t *testing.T) {
	text, err := json.Marshal(Overview{Halted: true, Instances: []Instance{{PID: 7, Listen: "127.0.0.1:7000",
		Status: supervisor.Status{Instance: 1, Process: 2, State: "serves", ServingFor: time.Second}}}})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "overview.golden", append(text, '\n'))
}
