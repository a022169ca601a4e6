// Package discovery reads the endpoint list, which is the list of cache servers and origins that the discovery service sends, and
// follows its changes by a watch.
//
// WatchState and ListValidator decide without a clock or I/O of their own. Client does the I/O and the timing for WatchState.
package discovery

// Server is one entry of the endpoint list.
type Server struct {
	ID, Addr, Zone, Kind string
	Cell                 int
	State                State
	Weight               float64
	StartedMs            int64 // Unix time of the server's start in milliseconds; 0 means that the server started long ago
}

// State is a server's state in the endpoint list.
type State int

// The states of a server.
const (
	Up       State = iota // serves requests
	Draining              // takes no new requests and finishes those in flight
	Removed               // no longer exists
)

// List is what a watch reports at one time: a complete endpoint list, or only its changes.
type List struct {
	Version int64
	IsFull  bool // true if Servers is the complete list; false if Servers holds only the entries that changed
	Servers []Server
}
