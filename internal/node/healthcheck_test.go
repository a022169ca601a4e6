package node

import (
	"testing"
	"time"

	"shelfproxy/internal/upstream"
)

// checkHealth makes the policy check the health of the cache server: an attempt to the server gets no response.
func (n *testNode) checkHealth() {
	n.passTime(time.Second)
	n.handle("unanswered", "read")
	n.cacheServer.writeAll()
	n.cacheServer.endOldest(upstream.ConnectionLost)
	n.origin.writeAll()
	n.origin.endOldest(upstream.Served) // otherwise the next read of the key waits for this fetch
}

// pause advances the clock as if the process had been paused, so that all timers are late.
func (n *testNode) pause() {
	n.now = n.now.Add(2 * time.Second)
	n.core.HandleTimers()
}

// usesCacheServer reports whether the next read goes to the cache server.
func (n *testNode) usesCacheServer() bool {
	n.cacheServer.writeAll()
	n.handle("next", "read")
	return len(n.cacheServer.waiting) == 1
}

// TestHealthCheckAcrossAPauseIsRepeated checks a health check whose timeout is found late, after a pause of the process in which
// no answer was read. The check is sent once more. It does not count as the first of the two failed checks that take a server out
// of use.
func TestHealthCheckAcrossAPauseIsRepeated(t *testing.T) {
	node := newTestNode(t)
	node.checkHealth()
	node.pause()
	node.passTime(healthCheckTimeout)
	if !node.usesCacheServer() {
		t.Error("the server is out after one check that it had the time to answer, want it in use")
	}
}

// TestHealthCheckIsRepeatedOnce checks that a node whose timers are always late still takes servers that do not answer out of
// use.
func TestHealthCheckIsRepeatedOnce(t *testing.T) {
	node := newTestNode(t)
	node.checkHealth()
	const checks = 4 // two checks that fail, each sent twice
	for range checks {
		node.pause()
	}
	if node.usesCacheServer() {
		t.Error("a server that answered no health check is in use, want it out")
	}
}
