package listener

import (
	"time"

	"shelfproxy/internal/admission"
)

// Limits bound what clients may make the node hold.
type Limits struct {
	MaxConnections int           // open connections
	MaxPipelined   int           // commands of one connection that wait for their responses
	MaxValue       int           // bytes of a value
	WriteTimeout   time.Duration // bounds one write: a client that takes no bytes for this long is stuck
	MaxUnsentBytes int           // of responses to all clients; past it stuck connections are closed; 0 is no bound

	// How long a connection without an open request may stay.

	FirstCommandTimeout time.Duration // without a complete command: the platform's clients expect an error within 3 s
	CrowdedIdleTimeout  time.Duration // idle while the table is nearly full
	IdleTimeout         time.Duration // idle otherwise
}

const (
	minSweepInterval    = 5 * time.Millisecond   // between two looks for connections whose time is over
	maxSweepInterval    = 100 * time.Millisecond // as above
	maxExpiredPerSweep  = 64                     // connections
	stuckTimeout        = 250 * time.Millisecond // without taking a byte, while the unsent bytes of all are over their bound
	lingerTimeout       = 500 * time.Millisecond // for a client to read the last response and to close in its turn
	maxWriteSize        = 256 << 10              // bytes of one write, so that it shows what a client takes; one response may be larger
	maxKeyLength        = 512                    // bytes of a key or a request id
	maxParametersLength = 1 << 10                // bytes
	maxClientTimeout    = time.Hour
)

// maxLingering returns how many of the connections may be lingering ones: a crowd whose connections are closed must not keep others
// out.
func maxLingering(maxConnections int) int { return max(1, maxConnections/16) }

// maxOpen returns how many connections may be open and not lingering.
func maxOpen(maxConnections int) int { return maxConnections - maxLingering(maxConnections) }

func connectionPolicy(limits Limits) admission.ConnectionPolicy {
	policy := admission.DefaultConnectionPolicy(maxOpen(limits.MaxConnections), limits.FirstCommandTimeout, limits.IdleTimeout, limits.CrowdedIdleTimeout)
	policy.MaxUnsentBytes, policy.StuckTimeout = limits.MaxUnsentBytes, stuckTimeout
	return policy
}
