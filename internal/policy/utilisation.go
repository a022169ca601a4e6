package policy

import (
	"slices"
	"time"

	"shelfproxy/internal/policy/decay"
)

// How fast latency samples lose weight, and how many samples an estimate of utilisation needs. Utilisation is the
// fraction of answers that are slow.
const (
	latencyWindow = 1500 * time.Millisecond // time in which the weight of a sample falls to 1/e
	// minLatencySamples is the number of samples that an estimate needs. If there are fewer, the method utilisation
	// assumes the missing ones.
	minLatencySamples   = 4.0
	sparseLatencyWindow = 8 * time.Second // replaces latencyWindow while there are fewer samples than minLatencySamples
)

// How the target latency, above which an answer counts as slow, is learned from quiet samples: latencies measured
// while load was low.
const (
	quietSampleCount  = 64  // number of latest quiet samples (measured at low load) that are kept
	minQuietSamples   = 2   // the target is learned only from at least this number of quiet samples
	relearnInterval   = 8   // once quietSampleCount samples are kept, only every eighth new one updates the target
	targetPerMedian   = 3   // the target is this many times the median latency at low load
	maxPerTarget      = 2   // an answer counts as very slow above this many times the target latency
	riseDivisor       = 50  // a learned latency rises by at most 1/riseDivisor (1/50) of its value in one update
	calmUtilisation   = 0.2 // the load is low while less than this fraction of the recent answers is slow
	minTargetFraction = 0.5 // minimum target of cache servers, as a fraction of the shortest LatencyObjective
)

// objectives holds two latencies: above target an answer counts as slow, and above max as very slow. Both are learned
// from quiet samples, which are latencies measured while few answers were slow and no requests queued. Several servers
// may share one value of this type.
type objectives struct {
	quietSamples         [quietSampleCount]time.Duration // ring buffer of the latest latencies at low load
	sampleCount          int                             // number of latencies at low load so far
	minTarget, maxTarget time.Duration                   // lower and upper bound of target
	target, max          time.Duration
}

// learn adds a quiet sample, a latency measured at low load, and updates target and max. Both latencies fall at once
// but rise slowly, so that latency under growing load is not mistaken for normal latency. Before the first samples,
// the target is the shortest LatencyObjective.
func (o *objectives) learn(latency time.Duration) {
	o.quietSamples[o.sampleCount%quietSampleCount] = latency
	o.sampleCount++
	needsUpdate := o.sampleCount < quietSampleCount || o.sampleCount%relearnInterval == 0
	if o.sampleCount < minQuietSamples || !needsUpdate {
		return
	}
	sorted := slices.Sorted(slices.Values(o.quietSamples[:min(o.sampleCount, quietSampleCount)]))
	target := min(o.maxTarget, sorted[len(sorted)/2]*targetPerMedian)
	if o.sampleCount > quietSampleCount {
		target = min(target, o.target+o.target/riseDivisor)
	}
	target = max(target, o.minTarget)
	o.target, o.max = target, target*maxPerTarget
}

// gauge measures the utilisation of one server, or of several together (an aggregate). Utilisation is the fraction of
// recent answers that were slower than the learned target latency.
type gauge struct {
	*objectives
	inFlight  []*attempt // attempts that still wait for a response, oldest first
	aggregate *gauge     // gauge of several servers that also counts this server's samples, or nil
	hasQueue  bool       // requests queue for the server, so the load is not low

	samples, overTarget, overMax float64 // weighted numbers of samples: all, those above target, those above max
	fadedAt                      Time    // when fade last reduced samples, overTarget and overMax
}

// observe records the latency of an answer, or a failure. A failure counts as slower than gauge.max, which means very
// slow.
func (g *gauge) observe(now Time, latency time.Duration, hasFailed bool) {
	if !hasFailed && !g.hasQueue && g.slowFraction(now) < calmUtilisation {
		g.learn(latency) // only at low load: a latency under high load would raise the target
	}
	g.record(now, latency, hasFailed)
}

// record counts a sample in the gauge and in the gauges of all groups that the server is part of (aggregate).
func (g *gauge) record(now Time, latency time.Duration, hasFailed bool) {
	if g.aggregate != nil {
		g.aggregate.record(now, latency, hasFailed)
	}
	g.fade(now)
	g.samples++
	if hasFailed || latency > g.target {
		g.overTarget++
	}
	if hasFailed || latency > g.max {
		g.overMax++
	}
}

// addReported counts samples that another router reported.
func (g *gauge) addReported(now Time, samples, overTarget float64) {
	g.fade(now)
	g.samples, g.overTarget = g.samples+samples, g.overTarget+overTarget
}

// utilisation returns two fractions of the recent samples: those that were slower than the target latency, and those
// that were slower than the maximum latency. An attempt that has already been in flight for longer than one of these
// latencies counts as such a sample, because a stalled origin returns no answers that could be measured.
func (g *gauge) utilisation(now Time) (overTarget, overMax float64) {
	g.fade(now)
	samples, slow, verySlow := g.samples, g.overTarget, g.overMax
	for _, attempt := range g.inFlight {
		age := now - attempt.sentAt
		if age <= g.target {
			break
		}
		samples, slow = samples+1, slow+1
		if age > g.max {
			verySlow++
		}
	}
	if missing := minLatencySamples - samples; missing > 0 {
		// If there are fewer than minLatencySamples samples, the missing ones are assumed to be as slow as those of
		// the aggregate, the gauge of several servers. Without an aggregate, they count as fast.
		samples = minLatencySamples
		if g.aggregate != nil {
			overTarget, overMax = g.aggregate.utilisation(now)
			slow, verySlow = slow+missing*overTarget, verySlow+missing*overMax
		}
	}
	return slow / samples, verySlow / samples
}

// slowFraction returns the fraction of recent samples that were slower than the target latency.
func (g *gauge) slowFraction(now Time) float64 {
	slow, _ := g.utilisation(now)
	return slow
}

// isUnused reports whether the gauge has no samples and no attempts in flight. Then its utilisation is that of the
// aggregate, the gauge of several servers.
func (g *gauge) isUnused() bool { return g.samples == 0 && len(g.inFlight) == 0 }

// fade reduces the weight of earlier samples: fast while there are many samples, slowly once fewer than
// minLatencySamples are left. One router among hundreds fetches only every few seconds and has to judge the origin by
// its last few fetches.
func (g *gauge) fade(now Time) {
	if g.samples > 0 && now > g.fadedAt {
		left := decay.Fade(g.samples, now-g.fadedAt, latencyWindow, minLatencySamples, sparseLatencyWindow)
		g.samples, g.overTarget, g.overMax = left, g.overTarget*left/g.samples, g.overMax*left/g.samples
	}
	g.fadedAt = now
}

// remove drops an attempt that no longer waits for a response.
func (g *gauge) remove(ended *attempt) {
	g.inFlight = slices.DeleteFunc(g.inFlight, func(other *attempt) bool { return other == ended })
}

// oldestSentAt returns when the oldest attempt in flight was sent, or now if there is none.
func (g *gauge) oldestSentAt(now Time) Time {
	if len(g.inFlight) == 0 {
		return now
	}
	return g.inFlight[0].sentAt
}
