package quota

import (
	"testing"
	"time"
)

// TestTenantIsLimitedToItsQuotaAtOneNode simulates ten seconds of requests at one of two nodes. Three tenants with quotas, or one
// without, send the requests. The test checks which fraction of each tenant's requests is over the quota.
func TestTenantIsLimitedToItsQuotaAtOneNode(t *testing.T) {
	quotas := map[string]float64{"a": 40, "b": 40, "c": 20} // requests per second at both nodes together
	for name, test := range map[string]struct {
		rates    map[string]float64 // requests per second at this node
		wantOver map[string]float64 // fraction of a tenant's requests that is over its quota, +-0.06; 0 if not listed
	}{
		"each tenant sends its even share":               {map[string]float64{"a": 20, "b": 20, "c": 10}, nil},
		"the load balancer sends three quarters":         {map[string]float64{"a": 30, "b": 30, "c": 15}, nil},
		"the same, and one tenant sends twice its quota": {map[string]float64{"a": 60, "b": 30, "c": 15}, map[string]float64{"a": 0.3}},
		"one tenant sends more than its quota":           {map[string]float64{"a": 80, "b": 1, "c": 1}, map[string]float64{"a": 0.59}},
		"all tenants send twice their even share":        {map[string]float64{"a": 40, "b": 40, "c": 20}, nil},
		"one tenant alone":                               {map[string]float64{"c": 20}, map[string]float64{"c": 0.48}},
		"a node with less than its even share":           {map[string]float64{"a": 8, "b": 8, "c": 4}, nil},
		"requests of an unknown tenant are within":       {map[string]float64{"x": 500}, nil},
	} {
		tracker := New(2)
		for tenant, quota := range quotas {
			tracker.Add(tenant, quota)
		}
		sent, over := map[string]float64{}, map[string]float64{}
		for ms := range 10_000 {
			for _, tenant := range []string{"a", "b", "c", "x"} {
				if scheduled := test.rates[tenant] * float64(ms) / 1000; scheduled < sent[tenant]+1 {
					continue
				}
				sent[tenant]++
				if !tracker.IsWithin(time.Duration(ms)*time.Millisecond, tenant) {
					over[tenant]++
				}
			}
		}
		for tenant := range test.rates {
			got, want := over[tenant]/max(1, sent[tenant]), test.wantOver[tenant]
			if diff := got - want; diff > 0.06 || diff < -0.06 {
				t.Errorf("%s: got %.2f of what %s sent over its quota, want %.2f", name, got, tenant, want)
			}
		}
	}
}

// TestResizeChangesThePartOfANode checks that a node lets a quarter of a tenant's quota through while there are four
// nodes, and half of it after Resize to two nodes.
func TestResizeChangesThePartOfANode(t *testing.T) {
	for nodes, want := range map[int]int{4: 20, 2: 40} {
		tracker, within := New(4), 0
		tracker.Add("t", 8)
		tracker.Resize(nodes)
		for i := range 100 {
			if tracker.IsWithin(time.Duration(i)*100*time.Millisecond, "t") {
				within++
			}
		}
		if within < want-5 || within > want+10 {
			t.Errorf("%d nodes: got %d of 100 requests in 10 s within the share of one node, want about %d", nodes, within, want)
		}
	}
}

// TestLoneTenantIsJudgedByTimeAlone checks that a single tenant gets its quota divided by the number of nodes at this node. There
// are no other tenants whose traffic would show which part of all traffic this node gets.
func TestLoneTenantIsJudgedByTimeAlone(t *testing.T) {
	tracker, over := New(4), 0
	tracker.Add("t", 8)
	for i := range 100 {
		if !tracker.IsWithin(time.Duration(i)*250*time.Millisecond, "t") {
			over++
		}
	}
	if over < 40 || over > 52 {
		t.Errorf("twice the quota: got %d of 100 requests over it, want 40 to 52", over)
	}
}
