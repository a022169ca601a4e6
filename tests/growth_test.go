package tests

import (
	"fmt"
	"testing"

	"shelfproxy/internal/testbed/demo"
	"shelfproxy/tests/harness"
)

// growthScenario is one node: one key is popular, and a quarter of the cache servers die and come back cold, as the list says in
// batches, or one by one where the time between batches is 0.
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

// impatientClasses are a class of each effect, whose clients wait for little longer than answers usually take: those of reads for a time
// in milliseconds.
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

// Numbers of cache servers: the usual one, and sixteen times as many, which is the most.
const (
	usualServers = 200
	mostServers  = 3200
)

// batched is the time between two batches of changes of the list.
const batched = "200ms"

// widePlays holds an element for each play in front of many servers that runs: each takes thousands of descriptors.
var widePlays = make(chan struct{}, 2)

// beginWidePlay waits until one more may run. It ends with the function that is returned.
func beginWidePlay() (end func()) {
	widePlays <- struct{}{}
	return func() { <-widePlays }
}

// playGrowth plays growthScenario. cpuShare is the share of a processor that the node may use; 0 is as much as there is.
func playGrowth(t *testing.T, cpuShare float64, servers int, batch string, ratePerSecond int) *demo.Result {
	t.Helper()
	defer beginWidePlay()()
	const readTimeout = 900 // ms
	scenario := fmt.Sprintf(growthScenario+impatientClasses, cpuShare, servers, batch, ratePerSecond, readTimeout)
	return harness.Play(t, harness.UninstrumentedNodeProgram(t), scenario, demo.Options{})
}

// Report 7e0653: a node with part of a core in front of thousands of cache servers answers every request in time.
func TestRequestsAreAnsweredInFrontOfThousandsOfServers(t *testing.T) {
	t.Parallel()
	for name, batch := range map[string]string{"listed in batches": batched, "listed one by one": "0s"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const partOfACore, ratePerSecond = 0.29, 100
			harness.CheckServed(t, playGrowth(t, partOfACore, mostServers, batch, ratePerSecond), 1000, 0)
		})
	}
}

// growthLimit is how much of something a node may need in front of mostServers: a multiple of what it needs in front of
// usualServers, an amount beside, and one for each thousand servers.
type growthLimit struct {
	what                         string
	multiple, fixed, perThousand float64
	usual, most                  float64
}

func (l growthLimit) allowed() float64 {
	return l.multiple*l.usual + l.fixed + l.perThousand*mostServers/1000
}

// What a node needs grows no more with the number of cache servers than the operators allow, and the share that it serves does not
// fall under 0.85 of the usual.
func TestWhatANodeNeedsInFrontOfThousandsOfServers(t *testing.T) {
	t.Parallel()
	const ratePerSecond = 20 // a node's part of the traffic of a fleet of hundreds
	usual := playGrowth(t, 0, usualServers, batched, ratePerSecond)
	most := playGrowth(t, 0, mostServers, batched, ratePerSecond)
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
			mostServers, limit.allowed())
		if limit.most > limit.allowed() {
			t.Errorf("%.2f %s in front of %d servers, %.2f in front of %d, want at most %.2f", limit.most, limit.what, mostServers,
				limit.usual, usualServers, limit.allowed())
		}
	}
	const leastServed = 0.85
	if got, want := servedShare(most), leastServed*servedShare(usual); got < want {
		t.Errorf("%.3f were served in front of %d servers, want at least %.3f", got, mostServers, want)
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
