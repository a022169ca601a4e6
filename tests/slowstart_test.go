package tests

import (
	"testing"

	"shelfproxy/internal/testbed/demo"
	"shelfproxy/tests/harness"
)

// warmingServers is a scenario with cache servers of low capacity during their warm-up and one key that gets half of all
// requests. It has thirty nodes without gossip. Each node has less than one request for a warming server in the window of its
// slow-start budget.
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

// Guards against a fleet that overloads a warming server although each node sends it little. Servers are replaced by new ones
// that have to warm up, and all thirty nodes learn of them at the same moment. The requests of all nodes together have to stay
// within the capacity of a warming server, apart from random variation.
func TestThirtyNodesDoNotOverloadAWarmingServer(t *testing.T) {
	result := harness.Play(t, harness.NodeProgram, warmingServers, demo.Options{})
	harness.CheckServed(t, result, 200, 0.5)
}
