// Package config reads what a node is told at its start: LB_CONFIG and the LB_ variables of the platform, and the
// operator's own file. It decides nothing; every value keeps where it came from.
package config

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/fleet/peers"
	"shelfproxy/internal/policy"
)

// Config is a node's configuration.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	InitialList             discovery.List
	Peers                   peers.Addresses // without an address for all, nothing is told
	Settings
	Operator *Operator

	seed string            // as it was given
	from map[string]string // where a field came from; the default without an entry
}

// FileVariable is the variable that names the operator's file where the command line does not.
const FileVariable = "SHELFPROXY_FILE"

// ChangedFixedFields names the fields in which another configuration differs and that a running node can't change. The seed and
// the list known are for the start alone.
func (c *Config) ChangedFixedFields(other *Config) (fields []string) {
	mine, theirs := c.Show(), other.Show()
	for i, s := range mine {
		switch {
		case s.Field == "discovery" || s.Field == "seed" || s.Field == "known":
		case s.Field == "peers" || s.Field == "duties.list": // they move where the program around can
		case s.Field == "rollout.nodes_out" || s.Field == "rollout.zone_out": // these move, too
		case i >= len(theirs) || theirs[i].Field != s.Field:
			return append(fields, "settings") // other classes
		case theirs[i].Value != s.Value:
			fields = append(fields, s.Field)
		}
	}
	if len(theirs) > len(mine) {
		fields = append(fields, "settings")
	}
	return fields
}

// Load reads the file that LB_CONFIG names; LB_NAME, LB_LISTEN and LB_DISCOVERY stand in for what it lacks, and the
// operator's file at path, or else the one that SHELFPROXY_FILE names, for what these lack. An error names the
// field.
func Load(getenv func(string) string, path string) (*Config, error) {
	if path == "" {
		path = getenv(FileVariable)
	}
	op, err := readOperator(path)
	if err != nil {
		return nil, err
	}
	c := &Config{Operator: op, from: map[string]string{}}
	c.fromFile()
	for _, e := range []struct {
		variable, field string
		to              *string
	}{{"LB_NAME", "name", &c.Name}, {"LB_LISTEN", "listen", &c.Listen}, {"LB_DISCOVERY", "discovery", &c.Discovery}} {
		if v := getenv(e.variable); v != "" {
			*e.to, c.from[e.field] = v, e.variable
		}
	}
	platform := getenv("LB_CONFIG")
	var v *fastjson.Value
	switch {
	case platform != "":
		if v, err = c.fromPlatform(platform); err != nil {
			return nil, err
		}
	case op.file == nil:
		return nil, errors.New("LB_CONFIG: not set")
	case op.Service == nil:
		return nil, op.file.Errorf("service", "missing, and LB_CONFIG is not set")
	}
	for _, a := range []struct{ field, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %q is no host and port", a.field, a.addr)
		}
	}
	if v != nil {
		err = c.platformSettings(v, platform)
	} else if c.Settings, err = op.settings(); err == nil {
		c.from["settings"] = c.place("service")
	}
	if err != nil {
		return nil, err
	}
	c.Policy.AffinityBudget, c.Policy.MaxEjectedFraction = op.Zones.Leave, op.Rollout.ServersOut
	if c.MayGossip() {
		if err := c.Peers.Validate(); err != nil {
			return nil, err
		}
	}
	if op.Rollout.NodesOut > 0 && c.MayGossip() && c.Peers.Self() < 0 {
		return nil, fmt.Errorf("peer_listen: %q is not among the peers, and rollout.nodes_out wants an agreement with them", c.Peers.Listen)
	}
	if len(op.Leases.Hold) > 0 && c.MayGossip() && c.Peers.Self() < 0 {
		return nil, fmt.Errorf("peer_listen: %q is not among the peers, and duties.hold wants an agreement with them", c.Peers.Listen)
	}
	if op.Membership.On && c.MayGossip() && c.Peers.Self() < 0 {
		return nil, fmt.Errorf("peer_listen: %q is not among the peers, and members.on wants to be seen by them", c.Peers.Listen)
	}
	if c.seed == "" && v == nil {
		// Nodes with the same random numbers would all do the same thing at the same moment.
		c.Seed, c.from["seed"] = rand.Uint64(), "drawn at the start"
	} else if c.seed != "" {
		if c.Seed, err = strconv.ParseUint(c.seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %q is not 64 bits in hex", c.seed)
		}
	}
	return c, nil
}

// MayGossip says whether the node may send messages to others and knows where they are.
func (c *Config) MayGossip() bool {
	return c.Policy.MayGossip && c.Peers.Broadcast != "" && c.Peers.Listen != ""
}

// The platform's SIGKILL comes no sooner than this after SIGTERM and the longest deadline, of which no more than so much
// counts. An answer needs a moment to be written before.
const (
	killAfter   = 700 * time.Millisecond
	killLongest = 3 * time.Second
	killMargin  = 300 * time.Millisecond
)

// ShutdownTimes is how long after SIGTERM a node goes on taking, and when its last answer is given: as the operator says, but
// before the platform kills it. What has been taken by then and is not answered would be lost.
func (c *Config) ShutdownTimes() (grace, last time.Duration) {
	s := c.Operator.Shutdown
	last = s.Last.D()
	if wait := c.Node.MaxDeadline; wait > 0 {
		last = min(last, min(wait, killLongest)+killAfter-killMargin)
	}
	return min(s.Grace.D(), last*2/3), last // a third is left for what was taken last
}

// place is where the operator's file sets a field.
func (c *Config) place(field string) string {
	f := c.Operator.file
	return fmt.Sprintf("%s:%d", f.Path, f.Line(field))
}

// fromFile takes what the operator's file sets beside the parts that only it can set.
func (c *Config) fromFile() {
	o := c.Operator
	c.Name, c.Listen, c.Discovery, c.seed = o.Node.Name, o.Node.Listen, o.Node.Discovery, o.Node.Seed
	c.Cores, c.MemoryMB, c.Sockets = o.Limits.Cores, o.Limits.MemoryMB, o.Limits.Sockets
	for field, inFile := range map[string]string{"name": "node.name", "listen": "node.listen",
		"discovery": "node.discovery", "seed": "node.seed", "limits.cores": "limits.cores",
		"limits.memory_mb": "limits.memory_mb", "limits.sockets": "limits.sockets"} {
		if o.file.Has(inFile) {
			c.from[field] = c.place(inFile)
		}
	}
}

// fromPlatform reads the file that LB_CONFIG names, but for its settings. What it says goes before all else.
func (c *Config) fromPlatform(path string) (*fastjson.Value, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %s: not JSON: %w", path, err)
	}
	for _, s := range []struct {
		field string
		to    *string
	}{{"name", &c.Name}, {"listen", &c.Listen}, {"discovery", &c.Discovery}, {"seed", &c.seed}} {
		if b := v.GetStringBytes(s.field); b != nil {
			*s.to, c.from[s.field] = string(b), path
		}
	}
	if f := v.Get("limits", "cores"); f != nil {
		if c.Cores, err = f.Float64(); err != nil || c.Cores < 0 {
			return nil, fmt.Errorf("limits.cores: %s is not a number from 0", f.MarshalTo(nil))
		}
		c.from["limits.cores"] = path
	}
	if err := c.number(v, path, &c.MemoryMB, 32, "memory_mb"); err != nil {
		return nil, err
	}
	if err := c.number(v, path, &c.Sockets, 128, "sockets"); err != nil {
		return nil, err
	}
	c.Peers = peers.Addresses{Listen: string(v.GetStringBytes("peer_listen")), Broadcast: string(v.GetStringBytes("peers_all"))}
	for _, p := range v.GetArray("peers") {
		c.Peers.Peers = append(c.Peers.Peers, string(p.GetStringBytes()))
	}
	if known := v.Get("known"); known != nil && known.Type() != fastjson.TypeNull {
		if c.InitialList, err = discovery.Parse(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		c.from["known"] = path
	}
	return v, nil
}

func (c *Config) platformSettings(v *fastjson.Value, path string) (err error) {
	set := v.Get("settings")
	if set == nil {
		return errors.New("settings: missing")
	}
	if c.Settings, err = ParseSettings(set.MarshalTo(nil)); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.from["settings"] = path
	if _, err = policy.New(c.Policy, c.Seed); err != nil { // a reload must not accept what a start would not
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// number reads a whole number of the limits that may be left out.
func (c *Config) number(v *fastjson.Value, path string, to *int, least int, name string) error {
	f := v.Get("limits", name)
	if f == nil {
		return nil
	}
	n, err := f.Float64()
	if err != nil || n < float64(least) || n > 1<<52 {
		return fmt.Errorf("limits.%s: %s is not a number from %d", name, f.MarshalTo(nil), least)
	}
	*to, c.from["limits."+name] = int(n), path
	return nil
}
