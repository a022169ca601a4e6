package node

import (
	"testing"
	"time"

	"shelfproxy/internal/upstream"
)

// checkHealth has the policy check the health of the cache server: an attempt at it gets no response.
func (n *testNode) checkHealth() {
	n.passTime(time.Second)
	n.handle("unanswered", "read")
	n.cacheServer.writeAll()
	n.cacheServer.endOldest(upstream.ConnectionLost)
	n.origin.writeAll()
	n.origin.endOldest(upstream.Served) // else the next read of the key waits for this one
}

// pause moves the clock on as if the process had not run, so that all timers are late.
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

// TestHealthCheckAcrossAPauseIsRepeated: while the process does not run, nothing that a server answers is read. A health check whose
// timeout is found late is sent once more, and does not count as the first of the two that take a server out.
func TestHealthCheckAcrossAPauseIsRepeated(t *testing.T) {
	node := newTestNode(t)
	node.checkHealth()
	node.pause()
	node.passTime(healthCheckTimeout)
	if !node.usesCacheServer() {
		t.Error("the server is out after one check that it had the time to answer, want it in use")
	}
}

// TestHealthCheckIsRepeatedOnce: a node that is always late still finds servers that do not answer.
func TestHealthCheckIsRepeatedOnce(t *testing.T) {
	node := newTestNode(t)
	node.checkHealth()
	const checks = 4 // two that fail, each sent twice
	for range checks {
		node.pause()
	}
	if node.usesCacheServer() {
		t.Error("a server that answered no health check is in use, want it out")
	}
}
