package policy

import (
	"fmt"
	"testing"
	"time"
)

// originUtilisation returns the fractions of the origin's recent answers that took longer than the target and than the
// maximum latency.
func (driver *routerDriver) originUtilisation() (overTarget, overMax float64) {
	return driver.router.origin.gauge.utilisation(driver.now)
}

// TestTargetIsLearnedOnlyInQuietTimes checks that the target latency, above which an answer counts as slow, is learned
// only at low load. Slow answers of an overloaded origin must not raise the target. Otherwise overload would be taken
// for the normal state.
func TestTargetIsLearnedOnlyInQuietTimes(t *testing.T) {
	driver := newTrainedDriver(t)
	before := driver.router.origin.gauge.target
	driver.feedOrigin(200, 900*ms, Succeeded)
	if got := driver.router.origin.gauge.target; got > before*5/4 {
		t.Errorf("after an overload: got a target of %v, want about %v as before", got, before)
	}
}

// TestFetchesInFlightCountAsSlow checks that an attempt counts as slow once it has been in flight for longer than the
// target latency, even without an answer. A stalled origin sends no answers that could be measured.
func TestFetchesInFlightCountAsSlow(t *testing.T) {
	driver := newTrainedDriver(t)
	for range 20 {
		driver.request("high", fmt.Sprint("stalled", driver.nextID), asWrite)
	}
	driver.now += 3 * time.Second
	if overTarget, overMax := driver.originUtilisation(); overTarget < 0.5 || overMax < 0.5 {
		t.Errorf("20 fetches stalled: got utilisation %.2f/%.2f, want over 0.5", overTarget, overMax)
	}
}

// TestFewFetchesAreJudgedByTheLatest checks a router with only one fetch every two seconds. It must notice an overload
// of the origin within four slow fetches. After a minute without fetches, the overload must be forgotten.
func TestFewFetchesAreJudgedByTheLatest(t *testing.T) {
	driver := newTrainedDriver(t)
	driver.now += time.Minute
	for range 4 {
		driver.now += 2 * time.Second
		driver.feedOrigin(1, 900*ms, Succeeded)
	}
	if got, _ := driver.originUtilisation(); got < shedThresholds[degraded] {
		t.Errorf("four slow fetches in eight seconds: got utilisation %.2f, want at least %.2f",
			got, shedThresholds[degraded])
	}
	driver.now += time.Minute
	if got, _ := driver.originUtilisation(); got > 0.05 {
		t.Errorf("a minute without fetches: got utilisation %.2f, want none", got)
	}
}

// TestOverloadFromTheStartIsSeen checks an origin that takes three times the shortest latency objective from the first
// fetch on. This must count as overload, and must not be learned as the normal latency.
func TestOverloadFromTheStartIsSeen(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	driver.feedOrigin(12, 1500*ms, Succeeded)
	if overTarget, overMax := driver.originUtilisation(); overTarget < 0.9 || overMax < 0.9 {
		t.Errorf("got utilisation %.2f/%.2f, want over 0.9", overTarget, overMax)
	}
}
