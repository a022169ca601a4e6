// Package gossip exchanges observations of servers and keys among the nodes of a fleet: how many of a node's recent attempts at a
// server were slow or failed, whether the server answered at all, and a sample of the keys that clients requested from the node.
// The package has no clock and no I/O. How the observations change the routing of requests is decided in internal/policy.
//
// In a large fleet a single node uses most servers seldom, while all nodes together use each server all the time. A single node
// also gets too few requests to notice soon that one key gets a tenth of the fleet's requests. Without gossip, all nodes together
// would send the requests for that key to the same server before any node notices.
//
// Only a sample is sent, so a datagram that is lost, late or duplicated does little harm. Each datagram costs every receiver
// work. Therefore no attempts are reported for a server that is about as fast and reliable as the others. For a server that is
// worse, Sender reports a smaller fraction of the attempts if many attempts at that server are known already.
package gossip

// Fingerprint identifies a server or a key by the lowest 24 bits of a hash that is the same on every node. In one of 10,000
// fleets with 60 servers, two servers have the same fingerprint. Reports about these two servers cannot be told apart.
type Fingerprint uint32

const fingerprintMask = 1<<24 - 1

// FingerprintOf returns the fingerprint of the server or key that has this hash.
func FingerprintOf(hash uint64) Fingerprint { return Fingerprint(hash & fingerprintMask) }

// Observation is what one node reports about one server: what the node observed since it last reported about that server.
type Observation struct {
	Server       Fingerprint
	Attempts     int  // number of attempts that ended, at most 7
	Failures     int  // number of these attempts that were slow or failed
	Recovered    bool // the server answered after the node had considered it unresponsive
	Unresponsive bool // the node considers the server unresponsive
}

// severity returns how important the observation is to the other nodes: most if the server is unresponsive, otherwise the more,
// the more failures there were. Observations of greater severity are sent first.
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
