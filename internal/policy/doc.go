// Package policy makes the decisions of a node that spreads keys over cache servers in front of a slow origin: where
// each request goes, when an attempt is retried or hedged, and when load is shed.
//
// A program feeds a Router the events that it sees and carries out the actions that Handle returns. The package has
// no clock, I/O, goroutines or random source of its own, so identical events give identical actions. A Router is not
// safe for concurrent use.
//
// # The path of a request
//
// The key of a read hashes to a slot, and weighted rendezvous hashing maps the slot to a cache server (routing.go,
// hotkey.go, slowstart.go). A hit ends the request. On a miss the node fetches from the origin, once for all requests
// that wait for the same key (coalescing.go) and as far as the origin has capacity (originqueue.go). Writes go
// straight to the origin. How each attempt ended updates what is known of the server (outcome.go) and decides whether
// the request is retried (retry.go).
//
// Latencies become the utilisation of a server (utilisation.go). Past the threshold of a load-shedding bucket a
// growing fraction of the requests in that bucket is rejected, those of the lowest priority weight first
// (shedding.go).
//
// Everything else is for when something fails: health checks and servers that do not respond (healthcheck.go),
// servers that do worse than the others (outlier.go), reads that hang (hedging.go), what nodes tell each other
// (gossip.go), the endpoint list (endpointlist.go), and the roles that one node has for all (roles.go). upkeep.go is
// the periodic work.
package policy
