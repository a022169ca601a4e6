package listener

import (
	"time"

	"shelfproxy/internal/admission"
)

// Limits bounds the resources that clients can make the node use.
type Limits struct {
	MaxConnections int           // maximum number of connections, including those that linger: that have ended, but are still read for a while
	MaxPipelined   int           // maximum number of commands of one connection that wait for their responses
	MaxValue       int           // largest value, in bytes
	WriteTimeout   time.Duration // bounds one write of responses; a connection whose write does not complete in this time is closed
	MaxUnsentBytes int           // bytes of unsent responses to all clients together, past which connections whose clients read nothing are closed; 0 means no bound

	RequestMemory  *admission.MemoryBudget // bounds the commands that the node holds; nil is no bound
	ResponseMemory *admission.MemoryBudget // bounds the responses that the node holds; nil is no bound

	ProcessorShare float64       // processors that the process may use in the mean; 0 means no bound
	ProcessorBurst time.Duration // processor time that an idle process saves up

	// The fields below bound how long a connection without an open request may stay.

	FirstCommandTimeout time.Duration // how long a client may take to send its first complete command; clients of the platform expect an error within 3 s
	CrowdedIdleTimeout  time.Duration // longest idle time of a connection while the connection table is crowded
	IdleTimeout         time.Duration // longest idle time of a connection while there is capacity
}

const (
	minSweepInterval    = 5 * time.Millisecond   // shortest time between two searches for expired connections
	maxSweepInterval    = 100 * time.Millisecond // longest time between two searches for expired connections
	maxExpiredPerSweep  = 64                     // maximum number of idle connections that one sweep closes
	stuckTimeout        = 250 * time.Millisecond // a client that reads no byte for this long is stuck; applies while MaxUnsentBytes is exceeded
	lingerTimeout       = 500 * time.Millisecond // how long a client has to read the last response and close its side
	maxWriteSize        = 256 << 10              // a write takes no further response once it has this many bytes: each write that ends shows that the client reads
	maxKeyLength        = 512                    // longest key or request id, in bytes
	maxParametersLength = 1 << 10                // longest list of parameters, in bytes
	maxClientTimeout    = time.Hour
)

// maxLingering returns how many of the connections may linger: have ended, but are still read for a while. Without this bound,
// many connections that are closed at the same time would keep new connections out.
func maxLingering(maxConnections int) int { return max(1, maxConnections/16) }

// maxOpen returns how many connections may be open, not counting the lingering ones.
func maxOpen(maxConnections int) int { return maxConnections - maxLingering(maxConnections) }

func connectionPolicy(limits Limits) admission.ConnectionPolicy {
	policy := admission.DefaultConnectionPolicy(maxOpen(limits.MaxConnections), limits.FirstCommandTimeout, limits.IdleTimeout, limits.CrowdedIdleTimeout)
	policy.MaxUnsentBytes, policy.StuckTimeout = limits.MaxUnsentBytes, stuckTimeout
	return policy
}
