// Package discovery follows the list of servers.
package discovery

import (
	"errors"
	"fmt"
	"net"

	"github.com/valyala/fastjson"
)

// Server is one entry of the list.
type Server struct {
	ID, Addr, Zone, Kind string
	Cell                 int
	State                State
	Weight               float64
	StartedMs            int64 // Unix time; 0 means long ago
}

// State is what the list says of a server.
type State int

// The states of a server.
const (
	Up State = iota
	Draining
	Removed
)

var states = map[string]State{"up": Up, "draining": Draining, "removed": Removed}

// List is the whole list, or the entries that changed.
type List struct {
	Version int64
	IsFull  bool
	Servers []Server
}

// Parse reads a list in discovery's form.
func Parse(v *fastjson.Value) (List, error) {
	l := List{Version: v.GetInt64("generation"), IsFull: v.GetBool("reset")}
	if v.Get("generation") == nil || v.Get("instances") == nil {
		return l, errors.New("generation or instances: missing")
	}
	for i, e := range v.GetArray("instances") {
		s := Server{ID: string(e.GetStringBytes("instanceId")), Addr: string(e.GetStringBytes("hostPort")),
			Zone: string(e.GetStringBytes("zone")), Kind: string(e.GetStringBytes("machineType")),
			Cell: e.GetInt("cell"), Weight: e.GetFloat64("weight"), StartedMs: e.GetInt64("startedAtMs")}
		state, ok := states[string(e.GetStringBytes("lifecycle"))]
		if !ok || s.ID == "" {
			return l, fmt.Errorf("instances[%d]: no instanceId, or an unknown lifecycle", i)
		}
		s.State = state
		if _, _, err := net.SplitHostPort(s.Addr); err != nil && state != Removed {
			return l, fmt.Errorf("instances[%d].hostPort: %q is no host and port", i, s.Addr)
		}
		l.Servers = append(l.Servers, s)
	}
	return l, nil
}
