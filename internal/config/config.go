// Package config reads the configuration of a node. It has three sources: the platform's JSON file that LB_CONFIG
// names, the LB_ variables of the environment, and the operators' own TOML file. The platform's file overrides the
// environment, the environment overrides the operators' file, and the operators' file overrides the defaults. The
// source of each value is kept for `config show`. A value that cannot be used is reported as an Error. The Error names
// the field, and also the line if the operators' file set the value.
package config

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/valyala/fastjson"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/fleet/peers"
)

// Config is a node's configuration. It does not change after Load and may be read by any goroutine.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64 // processor cores that the node may use; 0: all cores of the machine
	MemoryMB, Sockets       int
	InitialList             discovery.List
	Peers                   peers.Addresses // addresses for messages among the nodes; without a broadcast address the node sends no gossip
	Settings
	Operator *Operator

	seedText string            // the seed as it was given, in hex; empty if none was given
	sources  map[string]string // source of the value, by field; a field that has its default value has no entry
}

// FileVariable names the environment variable that holds the path of the operators' file. It is used if the command
// line gives no path.
const FileVariable = "SHELFPROXY_FILE"

// platformVariable names the environment variable that holds the path of the platform's configuration.
const platformVariable = "LB_CONFIG"

// Load reads the platform's configuration, the environment and the operators' file. The operators' file is at path or,
// if path is empty, at the path in FileVariable. Load returns an *Error for the first field that cannot be used.
func Load(getenv func(string) string, path string) (*Config, error) {
	if path == "" {
		path = getenv(FileVariable)
	}
	operator, err := readOperator(path)
	if err != nil {
		return nil, err
	}
	cfg := &Config{Operator: operator, sources: map[string]string{}}
	cfg.applyOperatorFile()
	cfg.applyEnvironment(getenv)
	platformPath := getenv(platformVariable)
	platform, err := cfg.applyPlatform(platformPath)
	if err != nil {
		return nil, err
	}
	if err := cfg.validateAddresses(); err != nil {
		return nil, err
	}
	if err := cfg.applySettings(platform, platformPath); err != nil {
		return nil, err
	}
	if err := cfg.validatePeers(); err != nil {
		return nil, err
	}
	if err := cfg.resolveSeed(platform != nil); err != nil {
		return nil, err
	}
	return cfg, nil
}

// applyOperatorFile applies the values of the operators' file that the platform and the environment may override.
func (c *Config) applyOperatorFile() {
	operator := c.Operator
	c.Name, c.Listen, c.Discovery, c.seedText = operator.Node.Name, operator.Node.Listen, operator.Node.Discovery, operator.Node.Seed
	c.Cores, c.MemoryMB, c.Sockets = operator.Limits.Cores, operator.Limits.MemoryMB, operator.Limits.Sockets
	for field, fileField := range map[string]string{
		"name":             "node.name",
		"listen":           "node.listen",
		"discovery":        "node.discovery",
		"seed":             "node.seed",
		"limits.cores":     "limits.cores",
		"limits.memory_mb": "limits.memory_mb",
		"limits.sockets":   "limits.sockets",
	} {
		if operator.file.Has(fileField) {
			c.sources[field] = operator.source(fileField)
		}
	}
}

// applyEnvironment applies the values of the LB_ variables.
func (c *Config) applyEnvironment(getenv func(string) string) {
	for _, variable := range []struct {
		name, field string
		value       *string
	}{
		{"LB_NAME", "name", &c.Name},
		{"LB_LISTEN", "listen", &c.Listen},
		{"LB_DISCOVERY", "discovery", &c.Discovery},
	} {
		if text := getenv(variable.name); text != "" {
			*variable.value, c.sources[variable.field] = text, variable.name
		}
	}
}

// validateAddresses checks the addresses that every node needs.
func (c *Config) validateAddresses() error {
	for _, address := range []struct{ field, hostPort string }{
		{"listen", c.Listen},
		{"discovery", c.Discovery},
	} {
		if _, _, err := net.SplitHostPort(address.hostPort); err != nil {
			return invalid(address.field, "%q is no host and port", address.hostPort)
		}
	}
	return nil
}

// applySettings applies the settings of the deployment: the platform's or, if platform is nil, those of the [service]
// table.
func (c *Config) applySettings(platform *fastjson.Value, platformPath string) error {
	var err error
	if platform != nil {
		err = c.applyPlatformSettings(platform, platformPath)
	} else if c.Settings, err = c.Operator.settings(); err == nil {
		c.sources["settings"] = c.Operator.source("service")
	}
	if err != nil {
		return err
	}
	c.Policy.AffinityBudget = c.Operator.Zones.AffinityBudget
	c.Policy.MaxEjectedFraction = c.Operator.Rollout.MaxEjectedFraction
	return nil
}

// validatePeers checks the addresses of the node's peers. It also checks that this node is one of the peers if a
// feature is enabled that needs this.
func (c *Config) validatePeers() error {
	if !c.MayGossip() {
		return nil
	}
	if err := c.Peers.Validate(); err != nil {
		return &Error{Reason: err}
	}
	if c.Peers.Self() >= 0 {
		return nil
	}
	missing := func(purpose string) error {
		return invalid("peer_listen", "%q is not among the peers, and %s", c.Peers.Listen, purpose)
	}
	switch {
	case c.Operator.Rollout.NodesOut > 0:
		return missing("rollout.nodes_out needs an agreement with them")
	case len(c.Operator.Leases.Resources) > 0:
		return missing("duties.hold needs an agreement with them")
	case c.Operator.Membership.Enabled:
		return missing("members.on needs them to know this node")
	}
	return nil
}

// resolveSeed reads the seed. It chooses a random seed if there is no platform configuration and no seed was given: nodes with the
// same random numbers would all do the same thing at the same moment.
func (c *Config) resolveSeed(hasPlatform bool) error {
	if c.seedText == "" {
		if !hasPlatform {
			c.Seed, c.sources["seed"] = rand.Uint64(), "drawn at the start"
		}
		return nil
	}
	seed, err := strconv.ParseUint(c.seedText, 16, 64)
	if err != nil {
		return invalid("seed", "%q is not 64 bits in hex", c.seedText)
	}
	c.Seed = seed
	return nil
}

// MayGossip reports whether the node may send messages to its peers and knows their addresses.
func (c *Config) MayGossip() bool {
	return c.Policy.MayGossip && c.Peers.Broadcast != "" && c.Peers.Listen != ""
}
