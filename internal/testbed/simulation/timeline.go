package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// timeline is the virtual clock of a run, the work scheduled on it, its random numbers, and its event log.
type timeline struct {
	opt        Options
	now        Time
	queue      eventHeap
	lastNumber uint64
	rng        *rand.Rand // for the network and the schedulers
	hash       *xxhash.Digest
	logLine    []byte
	report     *Report
}

func newTimeline(rng *rand.Rand, opt Options, report *Report) timeline {
	return timeline{opt: opt, rng: rng, hash: xxhash.New(), report: report}
}

// event is work scheduled for a time. Of two for the same time the one that was scheduled first runs first.
type event struct {
	at     Time
	number uint64
	run    func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	end := len(*h) - 1
	e := (*h)[end]
	(*h)[end] = event{}
	*h = (*h)[:end]
	return e
}

// at schedules work for a time, or for now if that has passed.
func (w *timeline) at(t Time, run func()) {
	w.lastNumber++
	heap.Push(&w.queue, event{max(t, w.now), w.lastNumber, run})
}

// after schedules work for some time from now.
func (w *timeline) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// drawBetween draws a duration from least up to, but not including, most.
func (w *timeline) drawBetween(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

// chance draws whether something with the probability p happens. It draws nothing where p is 0.
func (w *timeline) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// logEvent adds a line to the event log: the time in nanoseconds, the event and its details.
func (w *timeline) logEvent(name string, details ...string) {
	line := strconv.AppendInt(w.logLine[:0], int64(w.now), 10)
	line = append(append(line, ' '), name...)
	for _, detail := range details {
		line = append(append(line, ' '), detail...)
	}
	w.logLine = append(line, '\n')
	_, _ = w.hash.Write(w.logLine) // a hash returns no error
	w.report.Events++
	if w.opt.Trace != nil {
		w.opt.Trace(w.logLine)
	}
}

// violation adds a violation of an invariant to the report and to the event log.
func (w *timeline) violation(rule, format string, args ...any) {
	w.report.Broken = append(w.report.Broken, Broken{rule, w.now, fmt.Sprintf(format, args...)})
	w.logEvent("broken", rule)
}
