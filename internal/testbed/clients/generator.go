package clients

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits on the load generator. If it exceeds one of them, it did not keep to its schedule, and the measured latencies are not
// valid.
const (
	lateAfter       = 10 * time.Millisecond  // a request counts as late if it is sent more than this after its due time
	maxLateFraction = 0.01                   // highest valid fraction of the sent requests that were late
	maxLag          = 500 * time.Millisecond // longest valid time from the due time of a request until the generator begins to send it
	maxCPUFraction  = 0.9                    // maximum fraction of the available processor time that the program may use
	maxGCFraction   = 0.02                   // highest valid fraction of the elapsed time that pauses of the garbage collector take
)

// Generator holds the load generator's measurements of itself: requests that were sent late, and resources that the generator
// used. They show whether the measured latencies are valid.
type Generator struct {
	Sent        int64
	Late        int64                   // requests that were sent more than 10 ms late
	Overflow    int64                   // requests that were not sent because too many were in flight
	Lag         *hdrhistogram.Histogram // microseconds from the due time of a request until the generator began to send it
	MaxInFlight int                     // highest number of requests in flight
	CPU         time.Duration           // processor time that the program used during the run
	Elapsed     time.Duration
	GCPauses    time.Duration // sum of the pauses of the garbage collector
	Timeline    []Interval    // served requests, by the interval in which they were due
	Step        time.Duration // duration of an interval of the timeline
}

// Interval holds the results of the requests that were due in one interval of the timeline.
type Interval struct {
	Served  int64
	Latency *hdrhistogram.Histogram // microseconds from the due time of a request to its answer
}

// Invalid returns the reasons why the measured latencies are not valid, or nothing if they are valid.
func (g Generator) Invalid() (reasons []string) {
	if g.Sent > 0 && float64(g.Late) > maxLateFraction*float64(g.Sent) {
		reasons = append(reasons, fmt.Sprintf("%d of %d requests were sent over %s late", g.Late, g.Sent, lateAfter))
	}
	if worst := time.Duration(g.Lag.Max()) * time.Microsecond; worst > maxLag {
		reasons = append(reasons, fmt.Sprintf("one request was sent %s late", worst.Round(time.Millisecond)))
	}
	if g.Overflow > 0 {
		reasons = append(reasons, fmt.Sprintf("%d requests were not sent, as %d were in flight", g.Overflow, g.MaxInFlight))
	}
	if available := g.Elapsed * time.Duration(runtime.GOMAXPROCS(0)); available > 0 && float64(g.CPU) > maxCPUFraction*float64(available) {
		reasons = append(reasons, fmt.Sprintf("the generator used %s of processor time in %s", g.CPU.Round(time.Millisecond), g.Elapsed.Round(time.Millisecond)))
	}
	if float64(g.GCPauses) > maxGCFraction*float64(g.Elapsed) {
		reasons = append(reasons, fmt.Sprintf("the garbage collector stopped it for %s", g.GCPauses.Round(time.Millisecond)))
	}
	return reasons
}

// maxIntervals is the maximum number of intervals in the timeline of a run. An interval lasts 1 s; for a long load this is
// doubled until maxIntervals intervals cover the load.
const maxIntervals = 600

// generator collects the figures of a load generator. Its methods are safe for concurrent use.
type generator struct {
	mu       sync.Mutex
	figures  Generator
	inFlight int
	began    time.Time
	before   usage // resource usage of the program at the start of the run
}

func newGenerator(length time.Duration) generator {
	step := time.Second
	for length/step > maxIntervals {
		step *= 2
	}
	return generator{figures: Generator{Lag: newHistogram(), Step: step}}
}

// usage is the processor time and the sum of the garbage collector's pauses since the start of the program.
type usage struct{ cpu, gcPauses time.Duration }

func readUsage() (used usage) {
	var resources syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &resources) == nil {
		used.cpu = time.Duration(resources.Utime.Nano() + resources.Stime.Nano())
	}
	var collector debug.GCStats
	debug.ReadGCStats(&collector)
	used.gcPauses = collector.PauseTotal
	return used
}

func (g *generator) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.before = readUsage()
	g.began = time.Now()
}

func (g *generator) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	after := readUsage()
	g.figures.CPU, g.figures.GCPauses = after.cpu-g.before.cpu, after.gcPauses-g.before.gcPauses
	g.figures.Elapsed = time.Since(g.began)
}

// requestStarted counts a request that is about to be sent and records its lag, the time since it was due. If maxInFlight
// requests are already in flight, requestStarted counts an overflow instead and returns false.
func (g *generator) requestStarted(lag time.Duration, maxInFlight int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight >= maxInFlight {
		g.figures.Overflow++
		return false
	}
	g.inFlight++
	g.figures.Sent++
	g.figures.MaxInFlight = max(g.figures.MaxInFlight, g.inFlight)
	record(g.figures.Lag, lag)
	if lag > lateAfter {
		g.figures.Late++
	}
	return true
}

func (g *generator) requestEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
}

// requestServed adds a served request to the interval of the timeline in which the request was due.
func (g *generator) requestServed(scheduledAt, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := int(scheduledAt / g.figures.Step)
	for len(g.figures.Timeline) <= i {
		g.figures.Timeline = append(g.figures.Timeline, Interval{Latency: newHistogram()})
	}
	g.figures.Timeline[i].Served++
	record(g.figures.Timeline[i].Latency, latency)
}

// report returns a deep copy of the figures.
func (g *generator) report() Generator {
	g.mu.Lock()
	defer g.mu.Unlock()
	figures := g.figures
	figures.Lag = copyHistogram(g.figures.Lag)
	figures.Timeline = make([]Interval, len(g.figures.Timeline))
	for i, interval := range g.figures.Timeline {
		figures.Timeline[i] = Interval{interval.Served, copyHistogram(interval.Latency)}
	}
	return figures
}
