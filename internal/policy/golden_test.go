package policy

import (
	"encoding/json"
	"testing"

	"shelfproxy/internal/golden"
)

// TestGoldenExplanation: operators' scripts read the explanation of a key's place as JSON.
func TestGoldenExplanation(t *testing.T) {
	var lines golden.Lines
	for _, test := range []struct {
		name string
		why  Explanation
	}{
		{"full", Explanation{Key: "anna", Heat: 0.5, Servers: []ServerExplanation{{Server: "s-1", Zone: "a", Warmth: 1, Keeps: 0.5, Slow: 0.25, Out: 3},
			{Server: "s-2", Not: []string{"silent"}}}, Origin: &OriginExplanation{Slow: 0.1, Target: 20, Out: 1, Most: 2, Waiting: 3}}},
		{"without origin", Explanation{Key: "", Servers: []ServerExplanation{}}},
	} {
		text, err := json.Marshal(test.why)
		if err != nil {
			t.Fatal(err)
		}
		lines.Text(test.name, string(text))
	}
	golden.Check(t, "explanation.golden", lines.Bytes())
}
