package tests

import (
	"testing"

	"shelfproxy/internal/testbed/demo"
	"shelfproxy/tests/harness"
)

// warmingServers has cache servers that bear little while they warm up, a key that draws half of all requests, and thirty nodes,
// each of which has less than one request for a warming server in the time over which its budget counts. They do not gossip.
const warmingServers = `
length = "9s"
[nodes]
count = 30
memory_mb = 64
sockets = 256
[boxes]
count = 6
[[kind]]
name = "box"
share = 1
cores = 1
speed = 1.0
slots_per_core = 16
queue_per_core = 24
cold_from = 0.13
warm_after = "6s"
memory_mb = 32
connections = 3000
choke_at = 4
choke = 0.05
cancel = "queued"
[rules]
fall_factor = 2.0
fall_after = "700ms"
grace = "600ms"
[roster]
lag = "100ms"
[[class]]
name = "view-logbook"
share = 1
work = ["25ms", "50ms"]
aim = "1500ms"
deadline = "6s"
worth = 1
late_worth = 0.5
effect = "idempotent"
[keys]
count = 40
[load]
rate = 80
[[load.heat]]
share = 0.5
keys = 1
at = "1s"
for = "7s"
[[fault]]
kind = "deploy"
at = "2s"
for = "4s"
share = 0.9
batch = 0.34
drain_for = "500ms"
`

// Servers are replaced by new ones that warm up, and all thirty nodes learn of it in the same moment. What they send together
// stays within what a warming server bears, with no more than chance adds to it.
func TestThirtyNodesDoNotOverloadAWarmingServer(t *testing.T) {
	result := harness.Play(t, harness.NodeProgram, warmingServers, demo.Options{})
	harness.CheckServed(t, result, 200, 0.5)
}
