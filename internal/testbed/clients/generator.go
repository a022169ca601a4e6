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

// When a generator counts as behind.
const (
	lateSend   = 10 * time.Millisecond // a request that is sent later than this
	lateShare  = 0.01                  // of the requests; more make a run invalid
	lateWorst  = 500 * time.Millisecond
	busyShare  = 0.9 // of the processors that it may use
	pauseShare = 0.02
)

// Generator is how a generator did: what was sent late, what it used, and whether its figures may be believed.
type Generator struct {
	Sent, Late   int64
	Overflow     int64                   // not sent, as too many were out
	Lag          *hdrhistogram.Histogram // microseconds from when a request was due to when it was taken in hand
	MaxInFlight  int
	CPU, Elapsed time.Duration
	Pauses       time.Duration // of the collector
	Seconds      []Second      // the time line, by when requests were due
	Step         time.Duration // of the time line
}

// Second is a step of the time line.
type Second struct {
	Served  int64
	Latency *hdrhistogram.Histogram // microseconds from when they were due
}

// Invalid is why the run may not be believed; empty if it may.
func (g Generator) Invalid() (reasons []string) {
	if g.Sent > 0 && float64(g.Late) > lateShare*float64(g.Sent) {
		reasons = append(reasons, fmt.Sprintf("%d of %d requests were sent over %s late", g.Late, g.Sent, lateSend))
	}
	if worst := time.Duration(g.Lag.Max()) * time.Microsecond; worst > lateWorst {
		reasons = append(reasons, fmt.Sprintf("one request was sent %s late", worst.Round(time.Millisecond)))
	}
	if g.Overflow > 0 {
		reasons = append(reasons, fmt.Sprintf("%d requests were not sent, as %d were out", g.Overflow, g.MaxInFlight))
	}
	if room := g.Elapsed * time.Duration(runtime.GOMAXPROCS(0)); room > 0 && float64(g.CPU) > busyShare*float64(room) {
		reasons = append(reasons, fmt.Sprintf("the generator used %s of processor in %s", g.CPU.Round(time.Millisecond), g.Elapsed.Round(time.Millisecond)))
	}
	if float64(g.Pauses) > pauseShare*float64(g.Elapsed) {
		reasons = append(reasons, fmt.Sprintf("the collector stopped it for %s", g.Pauses.Round(time.Millisecond)))
	}
	return reasons
}

// steps bounds the time line of a long run.
const steps = 600

type generator struct {
	mu          sync.Mutex
	g           Generator
	out         int
	began       time.Time
	cpu, pauses time.Duration // at the start
}

func newGenerator(length time.Duration) generator {
	step := time.Second
	for length/step > steps {
		step *= 2
	}
	return generator{g: Generator{Lag: histogram(), Step: step}}
}

func usage() (cpu, pauses time.Duration) {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	var gc debug.GCStats
	debug.ReadGCStats(&gc)
	return cpu, gc.PauseTotal
}

func (g *generator) begin() {
	g.cpu, g.pauses = usage()
	g.began = time.Now()
}

func (g *generator) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	cpu, pauses := usage()
	g.g.CPU, g.g.Pauses, g.g.Elapsed = cpu-g.cpu, pauses-g.pauses, time.Since(g.began)
}

// sends notes that a request is taken in hand so late; false where too many are out.
func (g *generator) sends(late time.Duration, most int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.out >= most {
		g.g.Overflow++
		return false
	}
	g.out++
	g.g.Sent++
	g.g.MaxInFlight = max(g.g.MaxInFlight, g.out)
	record(g.g.Lag, late)
	if late > lateSend {
		g.g.Late++
	}
	return true
}

func (g *generator) done() {
	g.mu.Lock()
	g.out--
	g.mu.Unlock()
}

func (g *generator) served(due, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := int(due / g.g.Step)
	for len(g.g.Seconds) <= i {
		g.g.Seconds = append(g.g.Seconds, Second{Latency: histogram()})
	}
	g.g.Seconds[i].Served++
	record(g.g.Seconds[i].Latency, took)
}

func (g *generator) report() Generator {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.g
	out.Lag = hdrhistogram.Import(g.g.Lag.Export())
	out.Seconds = make([]Second, len(g.g.Seconds))
	for i, s := range g.g.Seconds {
		out.Seconds[i] = Second{s.Served, hdrhistogram.Import(s.Latency.Export())}
	}
	return out
}
