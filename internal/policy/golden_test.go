package policy

import (
	"encoding/json"
	"testing"

	"shelfproxy/internal/golden"
)

// TestGoldenExplanation compares the JSON of explanations of a key's routing with a golden file. Operators' scripts
// read this JSON, so it must not change by accident.
func TestGoldenExplanation(t *testing.T) {
	full := Explanation{
		Key:        "anna",
		Popularity: 0.5,
		Servers: []ServerExplanation{
			{Server: "s-1", Zone: "a", SlowStartWeight: 1, KeptFraction: 0.5, SlowFraction: 0.25, InFlight: 3},
			{Server: "s-2", ExclusionReasons: []string{"silent"}},
		},
		Origin: &OriginExplanation{SlowFraction: 0.1, TargetMillis: 20, InFlight: 1, MaxInFlight: 2, Queued: 3},
	}
	var lines golden.Lines
	for _, test := range []struct {
		name        string
		explanation Explanation
	}{
		{"full", full},
		{"without origin", Explanation{Key: "", Servers: []ServerExplanation{}}},
	} {
		text, err := json.Marshal(test.explanation)
		if err != nil {
			t.Fatal(err)
		}
		lines.Text(test.name, string(text))
	}
	golden.Check(t, "explanation.golden", lines.Bytes())
}
