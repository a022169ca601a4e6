// Package config reads what a node is told at its start.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/valyala/fastjson"

	"shelfproxy/brain"
	"shelfproxy/internal/discovery"
)

// Config is a node's configuration.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   discovery.List
	Settings
	settings []byte // as they were read
}

// Fixed names the fields in which another configuration differs and that a running node can't change. The seed and
// the list known are for the start alone.
func (c *Config) Fixed(other *Config) (fields []string) {
	for _, f := range []struct {
		name string
		same bool
	}{{"name", c.Name == other.Name}, {"listen", c.Listen == other.Listen},
		{"limits.cores", c.Cores == other.Cores}, {"limits.memory_mb", c.MemoryMB == other.MemoryMB},
		{"limits.sockets", c.Sockets == other.Sockets}, {"settings", bytes.Equal(c.settings, other.settings)}} {
		if !f.same {
			fields = append(fields, f.name)
		}
	}
	return fields
}

// Load reads the file that LB_CONFIG names; LB_NAME, LB_LISTEN and LB_DISCOVERY stand in for what it lacks. An
// error names the field.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %s: not JSON: %w", path, err)
	}
	c := &Config{Name: str(v, "name", getenv("LB_NAME")), Listen: str(v, "listen", getenv("LB_LISTEN")),
		Discovery: str(v, "discovery", getenv("LB_DISCOVERY"))}
	for _, a := range []struct{ field, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %q is no host and port", a.field, a.addr)
		}
	}
	if seed := str(v, "seed", ""); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %q is not 64 bits in hex", seed)
		}
	}
	if c.Cores = v.GetFloat64("limits", "cores"); c.Cores < 0 {
		return nil, errors.New("limits.cores: negative")
	}
	if c.MemoryMB, err = number(v, 192, 32, "limits", "memory_mb"); err != nil {
		return nil, err
	}
	if c.Sockets, err = number(v, 1024, 128, "limits", "sockets"); err != nil {
		return nil, err
	}
	if known := v.Get("known"); known != nil && known.Type() != fastjson.TypeNull {
		if c.Known, err = discovery.Parse(known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	set := v.Get("settings")
	if set == nil {
		return nil, errors.New("settings: missing")
	}
	c.settings = set.MarshalTo(nil)
	if c.Settings, err = ParseSettings(c.settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if _, err = brain.New(c.Module, c.Seed); err != nil { // a reload must not accept what a start would not
		return nil, fmt.Errorf("settings: %w", err)
	}
	return c, nil
}

func str(v *fastjson.Value, field, otherwise string) string {
	if b := v.GetStringBytes(field); b != nil {
		return string(b)
	}
	return otherwise
}

// number reads a whole number that may be left out.
func number(v *fastjson.Value, otherwise, least int, path ...string) (int, error) {
	name := path[0]
	for _, p := range path[1:] {
		name += "." + p
	}
	f := v.Get(path...)
	if f == nil {
		return otherwise, nil
	}
	n, err := f.Float64()
	if err != nil || n < float64(least) || n > 1<<52 {
		return 0, fmt.Errorf("%s: %s is not a number from %d", name, f.MarshalTo(nil), least)
	}
	return int(n), nil
}
