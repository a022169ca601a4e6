package invariants

import "time"

// serverStart counts the attempts that arrived at a server since its process started.
type serverStart struct {
	at                 time.Duration // start time of the process, as the endpoint list gives it
	attempts           int
	uninformedAttempts int // attempts from nodes that had not been notified of the start of this process
}

// ServerStarted tells the checker that the process of a server started with an empty cache. at is the start time that
// the endpoint list gives.
func (c *Checker) ServerStarted(server string, at time.Duration) {
	c.starts[server] = serverStart{at: at}
}

// NodeKnowsStart tells the checker that a node has an endpoint list with the start time of a server. The node has the
// list from its configuration or from the discovery service.
func (c *Checker) NodeKnowsStart(node int, server string, startedAt time.Duration) {
	if c.knownStarts[node] == nil {
		c.knownStarts[node] = map[string]time.Duration{}
	}
	c.knownStarts[node][server] = startedAt
}

// countAttempt counts an attempt that arrived at a server.
func (c *Checker) countAttempt(node int, server string) {
	start := c.starts[server]
	start.attempts++
	if c.knownStarts[node][server] < start.at {
		start.uninformedAttempts++
	}
	c.starts[server] = start
}

// ServerOverloaded tells the checker that a server in slow start crashed from overload. This is no violation if a third
// or more of the attempts came from nodes that had not been notified of the server's start: these nodes took the server
// for the one that had the address before.
func (c *Checker) ServerOverloaded(now time.Duration, server string) {
	start := c.starts[server]
	if start.uninformedAttempts > 0 && 3*start.uninformedAttempts >= start.attempts {
		return
	}
	c.report(SlowStartOverload, now, nil, "%s crashed in slow start from what all nodes together sent it", server)
}
