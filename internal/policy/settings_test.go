package policy

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// TestNewNamesTheInvalidField checks that New rejects invalid settings with an error that names the field.
func TestNewNamesTheInvalidField(t *testing.T) {
	for field, makeInvalid := range map[string]func(*Settings){
		"Nodes":                            func(s *Settings) { s.Nodes = 0 },
		"MaxAttempts":                      func(s *Settings) { s.MaxAttempts = 0 },
		"SlowStartFloor":                   func(s *Settings) { s.SlowStartFloor = 2 },
		"SlowStartDuration":                func(s *Settings) { s.SlowStartDuration = -1 },
		"OverloadFactor":                   func(s *Settings) { s.OverloadFactor = 0 },
		"OverQuotaFraction":                func(s *Settings) { s.OverQuotaFraction = math.NaN() },
		"MaxPollInterval":                  func(s *Settings) { s.MaxPollInterval = -1 },
		"DrainGrace":                       func(s *Settings) { s.DrainGrace = -1 },
		"Tick":                             func(s *Settings) { s.Tick = -1 },
		"MaxRetryAfter":                    func(s *Settings) { s.MaxRetryAfter = -1 },
		"ConnectionCost":                   func(s *Settings) { s.ConnectionCost = -1 },
		"HandshakeCost":                    func(s *Settings) { s.HandshakeCost = math.NaN() },
		"CrossZoneCost":                    func(s *Settings) { s.CrossZoneCost = math.Inf(-1) },
		"AffinityBudget":                   func(s *Settings) { s.AffinityBudget = 1.1 },
		"MaxEjectedFraction":               func(s *Settings) { s.MaxEjectedFraction = math.NaN() },
		"Classes":                          func(s *Settings) { s.Classes = nil },
		`Classes["high"].PriorityWeight`:   func(s *Settings) { s.Classes[0].PriorityWeight = -1 },
		`Classes["high"].LatencyObjective`: func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		`Classes["high"].DedupWindow`:      func(s *Settings) { s.Classes[0].DedupWindow = -1 },
		`Tenants["t"].Quota`:               func(s *Settings) { s.Tenants[0].Quota = -1 },
	} {
		settings := testSettings()
		makeInvalid(&settings)
		_, err := New(settings, 1)
		var invalid *SettingsError
		if !errors.As(err, &invalid) || invalid.Field != field || !strings.Contains(err.Error(), "Settings."+field+" ") {
			t.Errorf("New with an invalid %s: got error %v, want a SettingsError that names it", field, err)
		}
	}
}
