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
	rng        *rand.Rand // of the network
	hash       *xxhash.Digest
	logLine    []byte
	report     *Report
}

func newTimeline(rng *rand.Rand, opt Options, report *Report) timeline {
	return timeline{opt: opt, rng: rng, hash: xxhash.New(), report: report}
}

// event is work that is due at a time; of equals the one booked first goes first.
type event struct {
	at     Time
	number uint64
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	end := len(*h) - 1
	e := (*h)[end]
	(*h)[end] = event{}
	*h = (*h)[:end]
	return e
}

// at books work for a time, now at the soonest.
func (w *timeline) at(t Time, run func()) {
	w.lastNumber++
	heap.Push(&w.queue, event{max(t, w.now), w.lastNumber, run})
}

func (w *timeline) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// drawBetween draws a time.
func (w *timeline) drawBetween(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

func (w *timeline) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// logEvent adds a line to the event log.
func (w *timeline) logEvent(what string, about ...string) {
	b := strconv.AppendInt(w.logLine[:0], int64(w.now), 10)
	b = append(append(b, ' '), what...)
	for _, a := range about {
		b = append(append(b, ' '), a...)
	}
	w.logLine = append(b, '\n')
	w.hash.Write(w.logLine)
	w.report.Events++
	if w.opt.Trace != nil {
		w.opt.Trace(w.logLine)
	}
}

func (w *timeline) violation(rule, format string, args ...any) {
	w.report.Broken = append(w.report.Broken, Broken{rule, w.now, fmt.Sprintf(format, args...)})
	w.logEvent("broken", rule)
}
