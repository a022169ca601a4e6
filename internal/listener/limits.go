package listener

import (
	"time"

	"shelfproxy/internal/admission"
)

// Limits bounds the resources that clients can make the node use.
type Limits struct {
	MaxConnections int           // maximum number of connections, open and lingering together
	MaxPipelined   int           // maximum number of commands of one connection that wait for their responses
	MaxValue       int           // largest value, in bytes
	WriteTimeout   time.Duration // bounds one write of responses; a connection whose write does not complete in this time is closed
	MaxUnsentBytes int           // bytes of unsent responses to all clients together, past which stuck connections are closed; 0 means no bound

	// The fields below bound how long a connection without an open request may stay.

	FirstCommandTimeout time.Duration // longest time until the first complete command; clients of the platform expect an error within 3 s
	CrowdedIdleTimeout  time.Duration // longest idle time of a connection while the connection table is crowded
	IdleTimeout         time.Duration // longest idle time of a connection while there is capacity
}

const (
	minSweepInterval    = 5 * time.Millisecond   // shortest time between two searches for expired connections
	maxSweepInterval    = 100 * time.Millisecond // longest time between two searches for expired connections
	maxExpiredPerSweep  = 64                     // maximum number of idle connections that one sweep closes
	stuckTimeout        = 250 * time.Millisecond // a client that reads no byte for this long is stuck; applies while MaxUnsentBytes is exceeded
	lingerTimeout       = 500 * time.Millisecond // how long a client has to read the last response and close its side
	maxWriteSize        = 256 << 10              // most bytes of one write: each write that ends shows that the client reads. One response may be larger
	maxKeyLength        = 512                    // longest key or request id, in bytes
	maxParametersLength = 1 << 10                // longest list of parameters, in bytes
	maxClientTimeout    = time.Hour
)

// maxLingering returns how many of the connections may linger. Without this bound many connections that are closed at once would
// keep new ones out.
func maxLingering(maxConnections int) int { return max(1, maxConnections/16) }

// maxOpen returns how many connections may be open, not counting the lingering ones.
func maxOpen(maxConnections int) int { return maxConnections - maxLingering(maxConnections) }

func connectionPolicy(limits Limits) admission.ConnectionPolicy {
	policy := admission.DefaultConnectionPolicy(maxOpen(limits.MaxConnections), limits.FirstCommandTimeout, limits.IdleTimeout, limits.CrowdedIdleTimeout)
	policy.MaxUnsentBytes, policy.StuckTimeout = limits.MaxUnsentBytes, stuckTimeout
	return policy
}
