package decay

import (
	"fmt"
	"testing"
	"time"

	"shelfproxy/internal/fleet/gossip"
)

// TestPopularityFollowsRequests counts 700 requests a second for 200 servers. A hot key, which gets a tenth of the
// requests for 10.25 s, brings as much load as 20 average servers have. After 0.25 s KeyCounts must show a popularity
// of at least 0.5, and at the end one of about 20. Another 15 s later the popularity must be 0.2 at most.
func TestPopularityFollowsRequests(t *testing.T) {
	const (
		servers = 200
		hotKey  = gossip.Fingerprint(0)
	)
	var counts KeyCounts
	now, requests := Time(0), 0
	run := func(span time.Duration, isHot bool) {
		for end := now + span; now < end; now += time.Second / 700 {
			requests++
			key := gossip.Fingerprint(requests)
			if isHot && requests%10 == 0 {
				key = hotKey
			}
			counts.Add(now, key, servers)
		}
	}
	run(20*time.Second, false)
	if got := counts.Popularity(hotKey, servers); got != 0 {
		t.Errorf("key without requests: got a popularity of %.2f, want 0", got)
	}
	run(250*time.Millisecond, true)
	early := counts.Popularity(hotKey, servers)
	run(10*time.Second, true)
	late := counts.Popularity(hotKey, servers)
	run(15*time.Second, false)
	if after := counts.Popularity(hotKey, servers); early < 0.5 || late < 15 || late > 25 || after > 0.2 {
		t.Errorf("got a popularity of %.2f after 0.25 s, %.2f after 10 s, %.2f 15 s after its end, "+
			"want at least 0.5, about 20, at most 0.2", early, late, after)
	}
}

// TestUnusedKeysAreDropped guards against memory that grows with the node's running time: keys that are no longer
// requested must not be kept.
func TestUnusedKeysAreDropped(t *testing.T) {
	var counts KeyCounts
	most := 0
	for i := range 200_000 {
		now := Time(i) * 10 * time.Millisecond
		counts.Add(now, gossip.Fingerprint(i), 200)
		counts.Prune(now)
		most = max(most, counts.Len())
	}
	if most > 20_000 {
		t.Errorf("got up to %d keys, want at most 20000", most)
	}
}

// TestFadeIsSlowBelowEnough checks both speeds of Fade. A count above the value of the parameter enough falls to 1/e of
// its value in each window. A count below that value falls to 1/e only in each sparseWindow, which is longer.
func TestFadeIsSlowBelowEnough(t *testing.T) {
	const enough, window, sparseWindow = 10, time.Second, 10 * time.Second
	for _, test := range []struct {
		count   float64
		elapsed time.Duration
		want    string
	}{
		{100, 0, "100.00"},
		{100, time.Second, "36.79"},
		{4, time.Second, "3.62"},
		{100, 10 * time.Second, "3.68"},
	} {
		if got := fmt.Sprintf("%.2f", Fade(test.count, test.elapsed, window, enough, sparseWindow)); got != test.want {
			t.Errorf("%v after %v: got %s, want %s", test.count, test.elapsed, got, test.want)
		}
	}
}
