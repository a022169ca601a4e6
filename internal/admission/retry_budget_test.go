package admission

import (
	"testing"
	"time"
)

func TestRetriesStayAFractionOfFirstAttempts(t *testing.T) {
	budget := &RetryBudget{Ratio: 0.2, MinPerSecond: 1, MaxSaved: 10}
	retries := 0
	for i := range 10000 { // 1000 requests per second for 10 s, which all fail
		now := time.Duration(i) * ms
		budget.RecordAttempt(now)
		for range 5 {
			if budget.AllowRetry(now) {
				retries++
			}
		}
	}
	if retries < 1900 || retries > 2100 {
		t.Errorf("got %d retries of 10000 first attempts, want 1900 to 2100", retries)
	}
}

func TestNodeWithFewRequestsMayRetry(t *testing.T) {
	budget := &RetryBudget{Ratio: 0.2, MinPerSecond: 1, MaxSaved: 10}
	retries := 0
	for i := range 100 { // one request per second
		budget.RecordAttempt(time.Duration(i) * time.Second)
		if budget.AllowRetry(time.Duration(i) * time.Second) {
			retries++
		}
	}
	if retries != 100 {
		t.Errorf("got %d of 100 retries allowed, want all", retries)
	}
}

// TestSavedRetriesFollowTheRequestRate guards against a large fleet of nodes with few requests each, in which every
// node saves many retries. After a minute without retries, a node has saved Burst (3) tokens, or as many as it earns in
// about one second if that is more. In a fleet of 300 nodes with 18 requests per second each, a node earns
// 18*0.34+0.5 = 6.6 tokens per second: retries for about a third of one second's requests. A node with 80 requests per
// second earns 27.7 tokens per second, so it has saved nearly the maximum of 30. Without Burst, each node would have
// saved 30 tokens.
func TestSavedRetriesFollowTheRequestRate(t *testing.T) {
	for _, test := range []struct{ rate, least, most int }{{1, 3, 3}, {18, 4, 8}, {80, 24, 30}, {1000, 30, 30}} {
		budget := &RetryBudget{Ratio: 0.34, MinPerSecond: 0.5, MaxSaved: 30, Burst: 3}
		for i := range 60 * test.rate {
			budget.RecordAttempt(time.Minute * time.Duration(i) / time.Duration(60*test.rate))
		}
		saved := 0
		for budget.AllowRetry(time.Minute) {
			saved++
		}
		if saved < test.least || saved > test.most {
			t.Errorf("%d requests a second: got %d retries saved up, want %d to %d", test.rate, saved, test.least, test.most)
		}
	}
}
