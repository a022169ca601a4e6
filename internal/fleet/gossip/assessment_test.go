package gossip

import (
	"math"
	"testing"
	"time"
)

// TestOutlierGivesUpSlots: a server whose fraction of slow or failed answers is far above that of all servers gives up slots
// (groups of keys). The greater the difference is, the more slots it gives up.
func TestOutlierGivesUpSlots(t *testing.T) {
	for _, test := range []struct{ utilisation, ofAll, want float64 }{
		{0, 0, 1}, {0.3, 0, 1}, {0.45, 0, 0.5}, {1, 0, minKeptFraction}, {1, 1, 1}, {0.9, 0.8, 1}, {0.6, 0.1, 1.0 / 3},
	} {
		assessment := NewAssessment(1)
		assessment.Update(test.utilisation, test.ofAll)
		if got := assessment.KeptFraction; math.Abs(got-test.want) > 1e-9 {
			t.Errorf("utilisation %v, of all %v: got a kept fraction of %v, want %v", test.utilisation, test.ofAll, got, test.want)
		}
	}
}

// TestUnresponsivenessIsCorroborated: a single node that is cut off from a server must not make all other nodes stop using the
// server. So its report alone is not believed.
func TestUnresponsivenessIsCorroborated(t *testing.T) {
	type report struct {
		at               Time
		from             int
		ownAttemptFailed bool
	}
	for name, test := range map[string]struct {
		reports []report
		want    bool
	}{
		"one node, twice":              {[]report{{0, 3, false}, {time.Second, 3, false}}, false},
		"two nodes":                    {[]report{{0, 3, false}, {time.Second, 4, false}}, true},
		"two nodes, long apart":        {[]report{{0, 3, false}, {3 * time.Second, 4, false}}, false},
		"one node and an own attempt":  {[]report{{0, 3, true}}, true},
		"the first report of any node": {[]report{{0, 0, false}}, false},
	} {
		assessment, got := NewAssessment(1), false
		for _, r := range test.reports {
			got = assessment.Corroborate(r.at, r.from, r.ownAttemptFailed)
		}
		if got != test.want {
			t.Errorf("%s: got corroborated %v, want %v", name, got, test.want)
		}
	}
}
