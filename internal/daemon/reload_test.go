package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"shelfproxy/internal/config"
	"shelfproxy/internal/counters"
	leaseagent "shelfproxy/internal/fleet/lease/agent"
	membershipagent "shelfproxy/internal/fleet/membership/agent"
	"shelfproxy/internal/fleet/peers"
	rolloutagent "shelfproxy/internal/fleet/rollout/agent"
)

func TestUnsafeChangesOfThePeerListAreRejected(t *testing.T) {
	loaded := &config.Config{Peers: peers.Addresses{Listen: "127.0.0.9:7000", Peers: []string{"127.0.0.1:7000"}}}
	for name, test := range map[string]struct {
		fleet   fleetAgents
		changed int
		want    string
	}{
		"rollout agreement": {fleetAgents{rollout: &rolloutagent.Agent{}}, 1, "rollout agreement"},
		"leases, two nodes": {fleetAgents{leases: &leaseagent.Agent{}}, 2, "more than one node"},
		"leases, not one":   {fleetAgents{leases: &leaseagent.Agent{}}, 1, "not among them"},
		"membership":        {fleetAgents{membership: &membershipagent.Agent{}}, 2, "not among them"},
	} {
		d := &Daemon{cfg: &config.Config{}, fleet: test.fleet}
		if got := d.peersConflict(loaded, test.changed); !strings.Contains(got, test.want) {
			t.Errorf("%s: reason %q, want one about %q", name, got, test.want)
		}
	}
}

func TestReloadOfInvalidConfigurationChangesNothing(t *testing.T) {
	t.Setenv("LB_CONFIG", "")
	var out bytes.Buffer
	d := testDaemon(&out, "127.0.0.1:7000")
	d.counters = counters.New(nil, nil, nil)
	d.operatorFile = filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(d.operatorFile, []byte("[node]\nno_such = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	before := d.cfg
	d.reload()
	if d.cfg != before {
		t.Errorf("the configuration in force is %+v, want the previous one", d.cfg)
	}
	if failed, done := d.counters.ReloadsFailed.Load(), d.counters.Reloads.Load(); failed != 1 || done != 0 {
		t.Errorf("%d reloads failed and %d were done, want 1 and 0", failed, done)
	}
	if !strings.Contains(out.String(), `"event":"reload_refused"`) || !strings.Contains(out.String(), "no_such") {
		t.Errorf("logged %s, want the event reload_refused with the field", &out)
	}
}

func TestUpdateConfigDoesNotModifyThePreviousConfiguration(t *testing.T) {
	before := &config.Config{Operator: &config.Operator{}}
	d := &Daemon{cfg: before}
	d.updateConfig(func(cfg *config.Config) {
		cfg.Discovery = "127.0.0.1:9"
		cfg.Operator.Rollout.NodesOut = 2
	})
	if before.Discovery != "" || before.Operator.Rollout.NodesOut != 0 {
		t.Errorf("the previous configuration was modified to %+v, %+v", before, before.Operator.Rollout)
	}
	if d.cfg.Discovery != "127.0.0.1:9" || d.cfg.Operator.Rollout.NodesOut != 2 {
		t.Errorf("in force are discovery %q and %d nodes out, want 127.0.0.1:9 and 2", d.cfg.Discovery, d.cfg.Operator.Rollout.NodesOut)
	}
}
