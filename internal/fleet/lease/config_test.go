package lease

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
		{"node that is not on the list", func(cfg *Config) { cfg.Self = 3 }, "nodes"},
		{"short lease", func(cfg *Config) { cfg.LeaseDuration = time.Millisecond }, "lease"},
		{"great clock drift", func(cfg *Config) { cfg.MaxClockDrift = 0.5 }, "drift"},
		{"no resource", func(cfg *Config) { cfg.Resources = nil }, "hold"},
		{"resource that is there twice", func(cfg *Config) { cfg.Resources = []string{"a", "a"} }, "hold"},
		{"resource without a name", func(cfg *Config) { cfg.Resources = []string{""} }, "hold"},
		{"too many resources", func(cfg *Config) { cfg.Resources = make([]string, MaxResources+1) }, "hold"},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := Config{Nodes: 3, Resources: []string{"a"}, LeaseDuration: time.Second}
			test.change(&cfg)
			_, err := New(cfg)
			var invalid *agreement.FieldError
			if !errors.As(err, &invalid) || invalid.Field != test.wantField {
				t.Errorf("New returned %v, want a FieldError of %s", err, test.wantField)
			}
		})
	}
}
