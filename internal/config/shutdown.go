package config

import "time"

// The platform sends SIGKILL no sooner than killDelay plus the longest deadline after SIGTERM; of that deadline at most
// maxKillDeadline counts. A response needs killMargin before that to be written.
const (
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	killMargin      = 300 * time.Millisecond
)

// ShutdownTimes returns how long after SIGTERM a node goes on accepting requests, and when its last response is given:
// the operators' times, but before the platform kills the node. A request that is not answered by then would be lost.
func (c *Config) ShutdownTimes() (grace, last time.Duration) {
	shutdown := c.Operator.Shutdown
	last = shutdown.LastResponse.D()
	if deadline := c.Node.MaxDeadline; deadline > 0 {
		last = min(last, min(deadline, maxKillDeadline)+killDelay-killMargin)
	}
	// A third of the time is left for the requests that were accepted last.
	return min(shutdown.Grace.D(), last*2/3), last
}
