// Package gossip exchanges observations of servers and keys among the nodes of a fleet: how many of a node's recent attempts at a
// server were slow or failed, whether the server answered at all, and a sample of the keys that the node was requested. It has no
// clock and no I/O; what follows for a request is for the policy to decide.
//
// One node of many meets most servers seldom, while all of them together meet each server all the time. It also sees a key that
// draws a tenth of all requests about as often as any other, and the nodes together would send it to one server before one of
// them knows.
//
// All that is sent is a sample, so a datagram that is lost, late or doubled does little harm. Each datagram costs every receiver
// work, so nothing is sent about a server that does as well as the others, and the less the more observations of it there are
// already (Sender).
package gossip

// Fingerprint identifies a server or a key by the lowest 24 bits of a hash that is the same at every node. With 60 servers two
// share one in one fleet of 10,000, and are then assessed together.
type Fingerprint uint32

const fingerprintMask = 1<<24 - 1

// FingerprintOf returns the fingerprint of what has this hash.
func FingerprintOf(hash uint64) Fingerprint { return Fingerprint(hash & fingerprintMask) }

// Observation is what one node has observed of one server since its last observation.
type Observation struct {
	Server       Fingerprint
	Attempts     int  // that ended, at most 7
	Failures     int  // attempts of these that were slow or failed
	Recovered    bool // it answered after the node had taken it for unresponsive
	Unresponsive bool // the node takes it for unresponsive
}

// severity orders observations by how much the other nodes need them.
func (o Observation) severity() int {
	if o.Unresponsive {
		return 2 * maxAttempts
	}
	return o.Failures
}

// Message is the content of one datagram.
type Message struct {
	Observations []Observation
	Keys         []Fingerprint // that the sender was requested
}
