package discovery

import "errors"

// Guard judges lists before anything is done with them. It has no clock and no I/O.
type Guard struct {
	version int64
	stale   bool // the last list was older than the one held
}

// What a list can be refused for. The one held before stays in force.
var (
	// ErrEmpty: a whole list of nothing. It says that discovery has lost its memory, not that all machines are gone:
	// servers that really leave are named as draining first.
	ErrEmpty = errors.New("discovery: a whole list without a server")
	// ErrStale: older than the list held. Asked again, it is believed: then discovery counts anew.
	ErrStale = errors.New("discovery: a list older than the one held")
)

// Held notes the list that a node starts with.
func (g *Guard) Held(version int64) { g.version = version }

// Version is that of the list in force.
func (g *Guard) Version() int64 { return g.version }

// Take tells why a list must not be used, or nil; then it counts as the one held.
func (g *Guard) Take(l List) error {
	if l.Whole && len(l.Servers) == 0 {
		return ErrEmpty
	}
	if l.Version < g.version && len(l.Servers) == 0 {
		return nil // no news, whatever it is called
	}
	if l.Version < g.version && !g.stale {
		g.stale = true
		return ErrStale
	}
	g.version, g.stale = l.Version, false
	return nil
}
