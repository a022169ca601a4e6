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
// that wait for the same key (coalescing.go) and only while the origin has capacity (originqueue.go). Writes go
// straight to the origin. The outcome of each attempt updates the state of its server (outcome.go) and decides whether
// the request is retried (retry.go).
//
// The latencies of a server's answers yield its utilisation, the fraction of slow answers (utilisation.go). Requests
// are grouped into load-shedding buckets by priority weight. Above the threshold of a bucket, a growing fraction of its
// requests is rejected. The bucket of the lowest weights has the lowest threshold (shedding.go).
//
// Everything else handles failures: health checks and unresponsive servers (healthcheck.go), servers that are slower or
// fail more often than the others (outlier.go), and reads that hang (hedging.go). Nodes exchange observations by gossip
// (gossip.go) and follow the endpoint list (endpointlist.go). A node can have a role, which is work that it does for
// all nodes (roles.go). upkeep.go holds the periodic work.
package policy
