package supervisor

import (
	"encoding/json"
	"testing"
	"time"

	"shelfproxy/internal/golden"
)

// TestGoldenStatus guards the JSON of an instance's status, which operators' scripts read, against changed keys.
func TestGoldenStatus(t *testing.T) {
	text, err := json.Marshal(Status{Instance: 1, Process: 2, State: "serves", ServingFor: time.Second, ReplaceRequested: true, FailedStarts: 3, Ending: 4})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "status.golden", append(text, '\n'))
}
