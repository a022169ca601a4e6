package tests

import (
	"fmt"
	"testing"

	"shelfproxy/internal/testbed/demo"
	"shelfproxy/tests/harness"
)

// growthScenario has one node and one popular key. A quarter of the cache servers die and come back cold. The list reports these
// changes in batches, or one by one if the time between batches is 0.
const growthScenario = `
length = "12s"
[nodes]
count = 1
cores = 0.29
cpu_share = %g
memory_mb = 64
sockets = 512
[boxes]
count = %d
[keys]
count = 20000
[origin]
median = "200ms"
[roster]
lag = ["200ms", "1400ms"]
batch = "%s"
[rules]
grace = "500ms"
[load]
rate = %d
[[load.heat]]
share = 0.23
keys = 1
at = "2s"
for = "10s"
[[fault]]
kind = "kill"
at = "3s"
for = "4s"
share = 0.25
`

// impatientClasses are three classes, one of each effect. Their clients wait for little longer than answers usually take. The
// operand is the deadline of reads in milliseconds.
const impatientClasses = `
[[class]]
name = "view"
share = 0.96
work = ["60ms", "100ms"]
aim = "500ms"
deadline = "%dms"
worth = 1
late_worth = 0.5
effect = "idempotent"
[[class]]
name = "sign"
share = 0.02
work = ["60ms", "100ms"]
aim = "800ms"
deadline = "1700ms"
worth = 10
late_worth = 0.3
write = true
effect = "deduplicated"
window = "4s"
bytes = 500
[[class]]
name = "issue"
share = 0.02
work = ["60ms", "100ms"]
aim = "500ms"
deadline = "900ms"
worth = 3
late_worth = 0.3
write = true
effect = "at_most_once"
bytes = 500
`

// Numbers of cache servers: the usual number, and sixteen times as many, the largest number that is tested.
const (
	usualServers = 200
	maxServers   = 3200
)

// batchInterval is the time between two batches of changes to the list.
const batchInterval = "200ms"

// largeRuns is a semaphore: at most two scenarios with many servers run at once, as each needs thousands of descriptors.
var largeRuns = make(chan struct{}, 2)

// beginLargeRun waits until another scenario with many servers may run. The caller calls end once the scenario has ended.
func beginLargeRun() (end func()) {
	largeRuns <- struct{}{}
	return func() { <-largeRuns }
}

// playGrowth plays growthScenario. cpuShare is the share of a processor that the node may use; 0 means no limit.
func playGrowth(t *testing.T, cpuShare float64, servers int, batch string, ratePerSecond int) *demo.Result {
	t.Helper()
	defer beginLargeRun()()
	const readTimeout = 900 // ms
	scenario := fmt.Sprintf(growthScenario+impatientClasses, cpuShare, servers, batch, ratePerSecond, readTimeout)
	return harness.Play(t, harness.UninstrumentedNodeProgram(t), scenario, demo.Options{})
}

// Guards against the fault of report 7e0653: a node that has a fraction of a core and thousands of cache servers has to answer
// every request in time, while a quarter of the servers die and come back.
func TestRequestsAreAnsweredInFrontOfThousandsOfServers(t *testing.T) {
	t.Parallel()
	for name, batch := range map[string]string{"listed in batches": batchInterval, "listed one by one": "0s"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const partOfACore, ratePerSecond = 0.29, 100
			harness.CheckServed(t, playGrowth(t, partOfACore, maxServers, batch, ratePerSecond), 1000, 0)
		})
	}
}

// growthLimit bounds how much of a resource a node with maxServers cache servers may need. The bound is the sum of a multiple of
// what a node with usualServers needs, a fixed amount and an amount for each thousand servers.
type growthLimit struct {
	what                         string
	multiple, fixed, perThousand float64
	usual, most                  float64
}

func (l growthLimit) allowed() float64 {
	return l.multiple*l.usual + l.fixed + l.perThousand*maxServers/1000
}

// Guards against a node whose needs grow too fast with the number of cache servers. CPU time, memory, descriptors, connections
// and bytes of lists stay within the growth that the operators allow. The share of requests that a node with maxServers cache
// servers serves is at least 0.85 of the share that a node with usualServers serves.
func TestWhatANodeNeedsInFrontOfThousandsOfServers(t *testing.T) {
	t.Parallel()
	const ratePerSecond = 20 // one node's share of the traffic in a fleet of hundreds of nodes
	usual := playGrowth(t, 0, usualServers, batchInterval, ratePerSecond)
	most := playGrowth(t, 0, maxServers, batchInterval, ratePerSecond)
	harness.CheckServed(t, usual, 200, 0)
	harness.CheckServed(t, most, 200, 0)
	const megabyte = 1 << 20
	for _, limit := range []growthLimit{
		{"seconds of processor", 1.4, 0.02, 0.03, usual.Nodes[0].CPU.Seconds(), most.Nodes[0].CPU.Seconds()},
		{"MB of memory", 1.5, 8, 4, float64(usual.Nodes[0].PeakMemory) / megabyte, float64(most.Nodes[0].PeakMemory) / megabyte},
		{"descriptors", 2, 40, 0, float64(usual.Nodes[0].Descriptors), float64(most.Nodes[0].Descriptors)},
		{"connections to servers", 2.5, 40, 0, float64(usual.Summary.Connections), float64(most.Summary.Connections)},
		{"KB of lists", 2, 64, 500, float64(usual.Summary.ListBytes) / 1000, float64(most.Summary.ListBytes) / 1000},
	} {
		t.Logf("%s: %.2f in front of %d servers, %.2f in front of %d, %.2f allowed", limit.what, limit.usual, usualServers, limit.most,
			maxServers, limit.allowed())
		if limit.most > limit.allowed() {
			t.Errorf("%.2f %s in front of %d servers, %.2f in front of %d, want at most %.2f", limit.most, limit.what, maxServers,
				limit.usual, usualServers, limit.allowed())
		}
	}
	const leastServed = 0.85
	if got, want := servedShare(most), leastServed*servedShare(usual); got < want {
		t.Errorf("%.3f were served in front of %d servers, want at least %.3f", got, maxServers, want)
	}
}

// servedShare returns the share of the requests that were served.
func servedShare(result *demo.Result) float64 {
	var served, scheduled int64
	for _, class := range result.Classes {
		served, scheduled = served+class.Served, scheduled+class.Scheduled
	}
	return float64(served) / float64(max(1, scheduled))
}
