package harness

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"shelfproxy/internal/testbed/demo"
	"shelfproxy/internal/testbed/scenario"
)

// scenarioSeed is the seed that draws values from the ranges in scenarios, the same for all tests.
const scenarioSeed = 5

// Play runs a scenario with the given program as its nodes. The caller may set the options Restarts, Rollout and Disturb; Play
// sets the others.
func Play(t testing.TB, program, scenarioText string, options demo.Options) *demo.Result {
	t.Helper()
	parsed, err := scenario.Parse("test.toml", []byte(scenarioText))
	if err != nil {
		t.Fatalf("parse the scenario: %v", err)
	}
	var out bytes.Buffer
	options.Plan, options.Program, options.Dir = parsed.Draw(scenarioSeed), program, t.TempDir()
	options.Log, options.Out, options.Every = slog.New(slog.DiscardHandler), &out, time.Second
	result, err := demo.Run(t.Context(), options)
	if err != nil {
		t.Fatalf("play the scenario: %v", err)
	}
	if err := result.Write(&out); err != nil {
		t.Fatalf("write the summary: %v", err)
	}
	t.Log(out.String())
	return result
}

// CheckServed fails the test unless the run is clean (see CheckClean), had at least minRequests requests and served at least the
// fraction minServedFraction of them.
func CheckServed(t testing.TB, result *demo.Result, minRequests int, minServedFraction float64) {
	t.Helper()
	CheckClean(t, result)
	served := int64(0)
	for _, class := range result.Classes {
		served += class.Served
	}
	counts := result.Summary.Counts
	if counts.Requests < minRequests || float64(served) < minServedFraction*float64(counts.Requests) {
		t.Errorf("%d of %d requests were served, want at least %.0f%% of at least %d: %+v", served, counts.Requests, 100*minServedFraction, minRequests, counts)
	}
}

// CheckClean fails the test if an invariant was violated or a node failed.
func CheckClean(t testing.TB, result *demo.Result) {
	t.Helper()
	if !result.IsClean() {
		t.Errorf("invariants violated: %v; failures: %v", result.Summary.Violations, result.Failures)
	}
}
