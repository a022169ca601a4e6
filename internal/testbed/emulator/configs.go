package emulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
)

// NodeConfig is where a node is to listen and the file that tells it so, in the form of LB_CONFIG.
type NodeConfig struct {
	Name, Zone, Listen, Path string
	Number                   int
}

// WriteConfigs writes a configuration for each node into a folder, after Start. The list that a node knows is that of
// the roster at that moment.
func (e *Emulator) WriteConfigs(dir string) ([]NodeConfig, error) {
	var out []NodeConfig
	for i, n := range e.plan.Spec.Nodes {
		listen, err := e.listenAddr(i)
		if err != nil {
			return nil, err
		}
		c := NodeConfig{Name: n.Name, Zone: n.Zone, Listen: listen, Path: filepath.Join(dir, n.Name+".json"), Number: i}
		if err := e.WriteConfig(c); err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

// listenAddr finds an address that is free for a node to listen at: one that nobody dials from, or, with a base port, that port.
func (e *Emulator) listenAddr(node int) (string, error) {
	port, host := 0, fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	if e.opt.BasePort > 0 {
		port, host = e.opt.BasePort+node, "127.0.0.1"
	}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
	if err != nil {
		if port != 0 {
			return "", &PortTakenError{port}
		}
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// WriteConfig writes the configuration of one node anew, with the list as it is now and another seed, as before a
// restart.
func (e *Emulator) WriteConfig(c NodeConfig) error {
	var known json.RawMessage
	if !e.Do(func(_ time.Duration, p *model.System, check *invariants.Checker) {
		l := p.List()
		for _, s := range l.Entries {
			check.NodeKnowsStart(c.Number, s.ID, s.Started)
		}
		known = e.wire(l, c.Number)
	}) {
		return fmt.Errorf("the emulator has ended")
	}
	text, err := json.MarshalIndent(e.config(c, known), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.Path, text, 0o600)
}

type object = map[string]any

func (e *Emulator) config(c NodeConfig, known json.RawMessage) object {
	p, us := e.plan, func(d time.Duration) int64 { return d.Microseconds() }
	var lanes []object
	for _, cl := range p.Classes {
		lanes = append(lanes, object{"name": cl.Name, "worth": cl.PriorityWeight, "goal_time": us(cl.LatencyObjective.D()), "deadline": us(cl.Deadline.D()),
			"late_worth": cl.LateFraction, "semantics": cl.Effect, "key_scope": "all", "window": us(cl.DedupWindow.D())})
	}
	kinds := []string{}
	seen := map[string]bool{}
	coldest, slowest := 1.0, time.Duration(0)
	for _, b := range p.Spec.CacheServers {
		if !seen[b.Kind.Name] {
			seen[b.Kind.Name] = true
			kinds = append(kinds, b.Kind.Name)
		}
		coldest, slowest = min(coldest, b.Kind.SlowStartFloor), max(slowest, b.Kind.SlowStartDuration)
	}
	tells := e.opt.Peers != nil
	o := object{
		"name": c.Name, "listen": c.Listen, "discovery": e.http[c.Number].ln.Addr().String(),
		"seed":   fmt.Sprintf("%016x", rand.Uint64()),
		"limits": object{"cores": p.Nodes.Cores, "memory_mb": p.Nodes.MemoryMB, "sockets": p.Nodes.Sockets},
		"known":  known,
		"settings": object{
			"replicas_of_me": len(p.Spec.Nodes), "rank": c.Number, "az": c.Zone, "failure_domains": p.Zones,
			"registry_mode": "subscribe", "tick": 5000, "weights": "none", "lanes": lanes,
			"machine_types": append(kinds, model.OriginID),
			"family_info":   object{"mode": "aside", "origin_kind": len(kinds)},
			"limits": object{"probes": p.Nodes.HealthChecks, "cancel": p.Nodes.Cancel, "retry_after": p.Nodes.RetryAfter > 0,
				"max_retry_after": us(p.Nodes.RetryAfter.D()), "max_attempts": p.Nodes.MaxAttempts, "max_open": p.Nodes.MaxOpen,
				"streams_per_conn": p.Nodes.MaxStreams, "connect_timeout": us(p.Nodes.ConnectTimeout.D()),
				"conn_idle": us(p.Nodes.ConnectionIdle.D()), "may_tell": tells},
			"rules": object{"cold_from": coldest, "warm_after": us(slowest), "overload_factor": p.Invariants.OverloadFactor},
		},
	}
	if tells {
		o["peer_listen"], o["peers"], o["peers_all"] = e.opt.Peers(c.Number)
	}
	return o
}
