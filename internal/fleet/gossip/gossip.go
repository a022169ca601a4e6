// Package gossip exchanges observations of servers and keys among the nodes of a fleet: how many of a node's recent attempts at a
// server were slow or failed, whether the server answered at all, and a sample of the keys that clients requested from the node.
// The package has no clock and no I/O. The policy decides what follows from the observations for a request.
//
// In a large fleet one node uses most servers seldom, while all nodes together use each server all the time. One node also sees a
// key that gets a tenth of all requests about as often as any other key. Without gossip the nodes together would send the
// requests for that key to one server before any node notices.
//
// Only a sample is sent, so a datagram that is lost, late or duplicated does little harm. Each datagram costs every receiver
// work. Therefore nothing is sent about a server that does as well as the others. About any other server less is sent the more
// observations about it are known already (Sender).
package gossip

// Fingerprint identifies a server or a key by the lowest 24 bits of a hash that is the same on every node. In one of 10,000
// fleets with 60 servers two servers share a fingerprint. They are then assessed together.
type Fingerprint uint32

const fingerprintMask = 1<<24 - 1

// FingerprintOf returns the fingerprint of the server or key that has this hash.
func FingerprintOf(hash uint64) Fingerprint { return Fingerprint(hash & fingerprintMask) }

// Observation is what one node observed of one server since the node's previous Observation of it.
type Observation struct {
	Server       Fingerprint
	Attempts     int  // number of attempts that ended, at most 7
	Failures     int  // number of these attempts that were slow or failed
	Recovered    bool // the server answered after the node had taken it for unresponsive
	Unresponsive bool // the node takes the server for unresponsive
}

// severity returns how much the other nodes need the observation. Observations of greater severity are sent first.
func (o Observation) severity() int {
	if o.Unresponsive {
		return 2 * maxAttempts
	}
	return o.Failures
}

// Message is the content of one datagram.
type Message struct {
	Observations []Observation
	Keys         []Fingerprint // sample of the keys that clients requested from the sender
}
