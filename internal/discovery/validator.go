package discovery

// ListValidator decides whether a received list may replace the one in force. It has no clock and no I/O and is not safe for
// concurrent use. In the zero value, the list in force has version 0.
type ListValidator struct {
	version     int64
	lastIsStale bool // the last list was rejected as older than the one in force
}

// SetVersion sets the version of the list that a node starts with.
func (v *ListValidator) SetVersion(version int64) { v.version = version }

// Version returns the version of the list in force.
func (v *ListValidator) Version() int64 { return v.version }

// Accept returns nil if the list may be used; the list is then the one in force. Otherwise Accept returns ErrEmptyList or
// ErrStaleList.
//
// A stale list is rejected once. If the next list is stale too, it is accepted, because the discovery service has restarted its
// numbering.
func (v *ListValidator) Accept(list List) error {
	hasServers := len(list.Servers) > 0
	isOlder := list.Version < v.version
	switch {
	case list.IsFull && !hasServers:
		return ErrEmptyList
	case isOlder && !hasServers:
		return nil // a list without entries changes nothing, so its old version is no reason to reject it
	case isOlder && !v.lastIsStale:
		v.lastIsStale = true
		return ErrStaleList
	}
	v.version, v.lastIsStale = list.Version, false
	return nil
}
