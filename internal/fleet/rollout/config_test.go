package rollout

import (
	"errors"
	"testing"
	"time"

	"shelfproxy/internal/fleet/agreement"
)

func TestInvalidConfigIsRejected(t *testing.T) {
	for _, test := range []struct {
		name      string
		change    func(*Config)
		wantField string
	}{
		{"no budget", func(cfg *Config) { cfg.Budget = 0 }, "nodes_out"},
		{"budget that does not fit a heartbeat", func(cfg *Config) { cfg.Budget = MaxBudget + 1 }, "nodes_out"},
		{"node that is not on the list", func(cfg *Config) { cfg.Self = cfg.Nodes }, "nodes"},
		{"unresponsive after one heartbeat", func(cfg *Config) { cfg.UnresponsiveAfter = cfg.HeartbeatInterval }, "silent"},
		{"written off before it has to return", func(cfg *Config) { cfg.WriteOffAfter = time.Second }, "return, lost"},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := testConfig(0, 3, 1)
			test.change(&cfg)
			_, err := New(cfg)
			var invalid *agreement.FieldError
			if !errors.As(err, &invalid) || invalid.Field != test.wantField {
				t.Errorf("New returned %v, want a FieldError of %s", err, test.wantField)
			}
		})
	}
}
