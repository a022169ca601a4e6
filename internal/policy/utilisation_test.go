package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestTargetIsLearnedOnlyInQuietTimes(t *testing.T) {
	driver := newTrainedDriver(t)
	target := driver.router.origin.gauge.target
	driver.feedOrigin(200, 900*ms, Succeeded)
	if got := driver.router.origin.gauge.target; got > target*5/4 {
		t.Errorf("a crowded origin moved the target from %v to %v", target, got)
	}
}

func TestFetchesInFlightCountAsSlow(t *testing.T) {
	driver := newTrainedDriver(t)
	for range 20 {
		driver.request("high", fmt.Sprint("stalled", driver.nextID), asWrite)
	}
	driver.now += 3 * time.Second
	if target, maximum := driver.router.origin.gauge.utilisation(driver.now); target < 0.5 || maximum < 0.5 {
		t.Errorf("utilisation %.2f/%.2f with 20 fetches stalled, want over 0.5", target, maximum)
	}
}

func TestFewFetchesAreJudgedByTheLatest(t *testing.T) {
	driver := newTrainedDriver(t)
	driver.now += time.Minute
	for range 4 { // one fetch in two seconds
		driver.now += 2 * time.Second
		driver.feedOrigin(1, 900*ms, Succeeded)
	}
	if target, _ := driver.router.origin.gauge.utilisation(driver.now); target < shedThresholds[degraded] {
		t.Errorf("utilisation %.2f after four slow fetches in eight seconds, want past a threshold", target)
	}
	driver.now += time.Minute
	if target, _ := driver.router.origin.gauge.utilisation(driver.now); target > 0.05 {
		t.Errorf("utilisation %.2f after a minute without fetches, want none", target)
	}
}

func TestOverloadFromTheStartIsSeen(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	driver.feedOrigin(12, 1500*ms, Succeeded) // three times the shortest aim, from the first fetch on
	if target, maximum := driver.router.origin.gauge.utilisation(driver.now); target < 0.9 || maximum < 0.9 {
		t.Errorf("utilisation %.2f/%.2f of an origin that was jammed from the start", target, maximum)
	}
}
