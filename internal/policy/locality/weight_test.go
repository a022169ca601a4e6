package locality

import (
	"testing"

	"pgregory.net/rapid"
)

// redirectedFraction returns the fraction of requests that go to a server of the own zone instead of the owner of their
// key. home is the fraction of all servers that is in the own zone. weight is the weight of each server of another
// zone.
func redirectedFraction(home, weight float64) float64 { return home/(home+(1-home)*weight) - home }

// TestWeightFollowsTheLoad checks that the weight of the other zones' servers falls while nothing is overloaded, and
// rises if the own zone, all zones or the origin are overloaded.
func TestWeightFollowsTheLoad(t *testing.T) {
	quiet := Load{OriginUtilisation: 0.1, ZoneUtilisation: 0.1, CacheUtilisation: 0.1}
	for name, test := range map[string]struct {
		load      Load
		wantFalls bool
	}{
		"no overload":                                  {quiet, true},
		"no samples":                                   {Load{}, true},
		"the origin is overloaded":                     {Load{OriginUtilisation: 0.3}, false},
		"requests wait for the origin":                 {Load{OriginWaiting: 1}, false},
		"all servers are slow":                         {Load{ZoneUtilisation: 0.3, CacheUtilisation: 0.3}, false},
		"the own zone has more than it can carry":      {Load{ZoneUtilisation: 0.19, CacheUtilisation: 0.05}, false},
		"the own zone is a little slower than others":  {Load{ZoneUtilisation: 0.1, CacheUtilisation: 0.05}, true},
		"other zones are slow, and few servers are ok": {Load{ZoneUtilisation: 0, CacheUtilisation: 0.15}, true},
	} {
		crossZone := CrossZoneWeight{AffinityBudget: 1}
		for range 20 {
			crossZone.Step(quiet)
		}
		before := crossZone.Weight()
		crossZone.Step(test.load)
		if got := crossZone.Weight(); got < before != test.wantFalls {
			t.Errorf("%s: the weight went from %.3f to %.3f, want it to fall: %v", name, before, got, test.wantFalls)
		}
	}
}

// TestWeightStaysWithinBounds checks the weight of the other zones' servers under random loads. It must stay between
// minZoneWeight and 1. No larger fraction of requests than AffinityBudget may go to the own zone instead of the owner
// of their key. After 4 s of overload the weight must be 1 again, which means no preference for the own zone.
func TestWeightStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := rapid.Float64Range(0, 1)
		crossZone := CrossZoneWeight{AffinityBudget: fraction.Draw(t, "affinity budget")}
		home := fraction.Draw(t, "home")
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			crossZone.Step(Load{
				HomeFraction:      home,
				OriginUtilisation: fraction.Draw(t, "origin"),
				ZoneUtilisation:   fraction.Draw(t, "zone"),
				CacheUtilisation:  fraction.Draw(t, "cache"),
				OriginWaiting:     rapid.IntRange(0, 2).Draw(t, "waiting"),
			})
			weight := crossZone.Weight()
			if weight < minZoneWeight-1e-9 || weight > 1 {
				t.Fatalf("got a weight of %v, want from %v to 1", weight, minZoneWeight)
			}
			if got := redirectedFraction(home, weight); got > crossZone.AffinityBudget+1e-6 {
				t.Fatalf("weight %v, %v of the servers at home: got %v of the requests leaving, want at most %v",
					weight, home, got, crossZone.AffinityBudget)
			}
		}
		for range 16 { // 16 steps take 4 s
			crossZone.Step(Load{HomeFraction: home, OriginUtilisation: 1})
		}
		if got := crossZone.Weight(); got < 0.999 {
			t.Fatalf("after 4 s of an overload: got a weight of %v, want 1", got)
		}
	})
}

// TestAffinityBudgetIsUsed checks that the own zone is preferred almost as much as AffinityBudget allows while nothing
// is overloaded. At least 0.9 of the allowed requests must go to the own zone instead of the owner of their key,
// whatever fraction of the servers is in the own zone.
func TestAffinityBudgetIsUsed(t *testing.T) {
	for _, home := range []float64{0.1, 0.25, 0.5, 0.9} {
		crossZone := CrossZoneWeight{AffinityBudget: DefaultAffinityBudget}
		for range 200 {
			crossZone.Step(Load{HomeFraction: home})
		}
		if got := redirectedFraction(home, crossZone.Weight()); got < 0.9*DefaultAffinityBudget {
			t.Errorf("%v of the servers at home: got %v of the requests leaving, want about %v",
				home, got, DefaultAffinityBudget)
		}
	}
}
