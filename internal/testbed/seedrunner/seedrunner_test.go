package seedrunner

import (
	"context"
	"slices"
	"testing"

	"shelfproxy/internal/testbed/simulation"
)

// violatingFrom returns a simulation in which the runs of all seeds from first on violate an invariant.
func violatingFrom(first uint64) Simulation {
	return Simulation{Run: func(seed uint64, _ map[int]bool, _ simulation.Options) *simulation.Report {
		report := &simulation.Report{Seed: seed, Scheduled: 2}
		if seed >= first {
			report.Violations = []simulation.Violation{{Invariant: "test"}}
		}
		return report
	}}
}

func TestEverySeedIsPlayedOnce(t *testing.T) {
	var seeds []uint64
	summary := Run(t.Context(), violatingFrom(8), Options{First: 5, Count: 10, Workers: 3,
		OnReport: func(report *simulation.Report, sofar *Summary) {
			seeds = append(seeds, report.Seed)
			if sofar.Seeds != uint64(len(seeds)) {
				t.Errorf("summary counts %d seeds after %d reports", sofar.Seeds, len(seeds))
			}
		}})
	slices.Sort(seeds)
	if want := []uint64{5, 6, 7, 8, 9, 10, 11, 12, 13, 14}; !slices.Equal(seeds, want) {
		t.Errorf("played seeds %v, want %v", seeds, want)
	}
	if summary.Requests != 20 || len(summary.Violating) != 7 || summary.ByInvariant["test"] != 7 {
		t.Errorf("summary %+v, want 20 requests and 7 violating runs", summary)
	}
}

func TestNoSeedIsStartedAfterAViolation(t *testing.T) {
	summary := Run(t.Context(), violatingFrom(0), Options{Count: 1000, Workers: 1, StopAtViolation: true})
	if summary.Seeds < 1 || summary.Seeds > 3 { // the violating seed, and at most two that were sent to the worker before the violation was seen
		t.Errorf("%d seeds were played, want at most 3", summary.Seeds)
	}
}

func TestCancelledContextEndsTheRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	summary := Run(ctx, violatingFrom(1000), Options{Count: 1_000_000, Workers: 2,
		OnReport: func(*simulation.Report, *Summary) { cancel() }})
	if summary.Seeds >= 1_000_000 {
		t.Errorf("%d seeds were played after the context had ended", summary.Seeds)
	}
}
