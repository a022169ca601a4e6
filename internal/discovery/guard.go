package discovery

import "errors"

// ListValidator judges lists before anything is done with them. It has no clock and no I/O.
type ListValidator struct {
	version int64
	stale   bool // the last list was older than the one held
}

// What a list can be refused for. The one held before stays in force.
var (
	// ErrEmptyList: a whole list of nothing. It says that discovery has lost its memory, not that all machines are gone:
	// servers that really leave are named as draining first.
	ErrEmptyList = errors.New("discovery: a whole list without a server")
	// ErrStaleList: older than the list held. Asked again, it is believed: then discovery counts anew.
	ErrStaleList = errors.New("discovery: a list older than the one held")
)

// SetVersion notes the list that a node starts with.
func (g *ListValidator) SetVersion(version int64) { g.version = version }

// Version is that of the list in force.
func (g *ListValidator) Version() int64 { return g.version }

// Accept tells why a list must not be used, or nil; then it counts as the one held.
func (g *ListValidator) Accept(l List) error {
	if l.IsFull && len(l.Servers) == 0 {
		return ErrEmptyList
	}
	if l.Version < g.version && len(l.Servers) == 0 {
		return nil // no news, whatever it is called
	}
	if l.Version < g.version && !g.stale {
		g.stale = true
		return ErrStaleList
	}
	g.version, g.stale = l.Version, false
	return nil
}
