package config

import "time"

// After SIGTERM the platform waits at least killDelay plus the longest deadline before it sends SIGKILL. At most
// maxKillDeadline of that deadline counts. The last response is given killMargin before SIGKILL or earlier, so that it
// can still be written.
const (
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	killMargin      = 300 * time.Millisecond
)

// ShutdownTimes returns how long after SIGTERM a node goes on accepting requests, and how long after SIGTERM it gives
// its last response. These are the operators' times, shortened if necessary to end before the platform kills the node:
// a request that is not answered by then would be lost.
func (c *Config) ShutdownTimes() (grace, last time.Duration) {
	shutdown := c.Operator.Shutdown
	last = shutdown.LastResponse.D()
	if deadline := c.Node.MaxDeadline; deadline > 0 {
		last = min(last, min(deadline, maxKillDeadline)+killDelay-killMargin)
	}
	// At least a third of the time until the last response is left for answering the requests that were accepted last.
	return min(shutdown.Grace.D(), last*2/3), last
}
