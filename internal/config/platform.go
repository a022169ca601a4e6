package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/valyala/fastjson"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/fleet/peers"
	"shelfproxy/internal/jsonsplit"
	"shelfproxy/internal/policy"
)

// Bounds of the values that the platform may give for the limits on memory and descriptors.
const (
	minMemoryMB = 32
	minSockets  = 128
	maxInteger  = 1 << 52 // integers up to this one are exact as float64, the type to which JSON numbers are converted
)

// applyPlatform applies the platform's configuration at path, except the field "settings", and returns its JSON tree. If
// path is empty, applyPlatform returns nil. The operators' file is then used instead, and has to have a [service] table.
func (c *Config) applyPlatform(path string) (*fastjson.Value, error) {
	operator := c.Operator
	switch {
	case path != "":
		return c.readPlatform(path)
	case operator.file == nil:
		return nil, invalid(platformVariable, "not set")
	case operator.Service == nil:
		return nil, operator.invalid("service", "missing, and "+platformVariable+" is not set")
	}
	return nil, nil
}

// readPlatform applies the platform's configuration at path, except the field "settings", and returns its JSON tree. The
// values override those of the environment and of the operators' file.
func (c *Config) readPlatform(path string) (*fastjson.Value, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Field: platformVariable, Reason: err}
	}
	platform, known, err := parsePlatform(text)
	if err != nil {
		return nil, invalid(platformVariable, "%s: not JSON: %w", path, err)
	}
	c.applyPlatformTexts(platform, path)
	if err := c.applyPlatformLimits(platform, path); err != nil {
		return nil, err
	}
	c.applyPlatformPeers(platform)
	if err := c.applyPlatformList(known, path); err != nil {
		return nil, err
	}
	return platform, nil
}

// knownField is the JSON field of the endpoint list that the platform knew when the node started.
const knownField = "known"

// parsePlatform parses the platform's configuration. known is the JSON text of the endpoint list, or nil if there is
// none. The list is left as text, because a JSON tree of its thousands of entries would take too much memory.
func parsePlatform(text []byte) (platform *fastjson.Value, known []byte, err error) {
	if start, end, ok := jsonsplit.Member(text, knownField); ok {
		known = text[start:end]
		platform, err = fastjson.ParseBytes(bytes.Join([][]byte{text[:start], text[end:]}, []byte("null")))
		if err == nil && fastjson.ValidateBytes(known) == nil {
			return platform, known, nil
		}
	}
	platform, err = fastjson.ParseBytes(text)
	if err != nil {
		return nil, nil, err
	}
	if value := platform.Get(knownField); value != nil {
		return platform, value.MarshalTo(nil), nil
	}
	return platform, nil, nil
}

func (c *Config) applyPlatformTexts(platform *fastjson.Value, path string) {
	for _, text := range []struct {
		field string
		value *string
	}{
		{"name", &c.Name},
		{"listen", &c.Listen},
		{"discovery", &c.Discovery},
		{"seed", &c.seedText},
	} {
		if given := platform.GetStringBytes(text.field); given != nil {
			*text.value, c.sources[text.field] = string(given), path
		}
	}
}

func (c *Config) applyPlatformLimits(platform *fastjson.Value, path string) error {
	if given := platform.Get("limits", "cores"); given != nil {
		cores, err := given.Float64()
		if err != nil || cores < 0 {
			return invalid("limits.cores", "%s is not a number from 0", given.MarshalTo(nil))
		}
		c.Cores, c.sources["limits.cores"] = cores, path
	}
	for _, limit := range []struct {
		name    string
		value   *int
		minimum int
	}{
		{"memory_mb", &c.MemoryMB, minMemoryMB},
		{"sockets", &c.Sockets, minSockets},
	} {
		given := platform.Get("limits", limit.name)
		if given == nil {
			continue
		}
		field := "limits." + limit.name
		number, err := given.Float64()
		if err != nil || number < float64(limit.minimum) || number > maxInteger {
			return invalid(field, "%s is not a number from %d", given.MarshalTo(nil), limit.minimum)
		}
		*limit.value, c.sources[field] = int(number), path
	}
	return nil
}

func (c *Config) applyPlatformPeers(platform *fastjson.Value) {
	c.Peers = peers.Addresses{
		Listen:    string(platform.GetStringBytes("peer_listen")),
		Broadcast: string(platform.GetStringBytes("peers_all")),
	}
	for _, peer := range platform.GetArray("peers") {
		c.Peers.Peers = append(c.Peers.Peers, string(peer.GetStringBytes()))
	}
}

// applyPlatformList applies the endpoint list that the platform knew when the node started.
func (c *Config) applyPlatformList(known []byte, path string) error {
	if known == nil || string(known) == "null" {
		return nil
	}
	list, err := new(discovery.Parser).Parse(known)
	if err != nil {
		return &Error{Field: knownField, Reason: err}
	}
	c.InitialList, c.sources[knownField] = list, path
	return nil
}

// errMissing is the reason of an Error about a required field that is missing.
var errMissing = errors.New("missing")

// applyPlatformSettings applies the deployment's settings from the platform's configuration.
func (c *Config) applyPlatformSettings(platform *fastjson.Value, path string) error {
	given := platform.Get("settings")
	if given == nil {
		return &Error{Field: "settings", Reason: errMissing}
	}
	settings, err := ParseSettings(given.MarshalTo(nil))
	if err != nil {
		return &Error{Field: "settings", Reason: err}
	}
	// policy.New is called only for its checks: a reload must not accept settings that a start would reject.
	if _, err := policy.New(settings.Policy, c.Seed); err != nil {
		return &Error{Field: "settings", Reason: err}
	}
	c.Settings, c.sources["settings"] = settings, path
	return nil
}

// source returns the path and the line at which the operators' file sets a field, for `config show`.
func (o *Operator) source(field string) string {
	return fmt.Sprintf("%s:%d", o.file.Path, o.file.Line(field))
}
