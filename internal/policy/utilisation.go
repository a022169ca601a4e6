package policy

import (
	"slices"
	"time"

	"shelfproxy/internal/policy/decay"
)

// How long latency samples count, and how many a judgement takes.
const (
	latencyWindow       = 1500 * time.Millisecond // a sample weighs 1/e after this long
	minLatencySamples   = 4.0                     // utilisation is judged from at least as many
	sparseLatencyWindow = 8 * time.Second         // like latencyWindow, where there are fewer samples than that
)

// How the target is learned.
const (
	quietSampleCount  = 64  // quiet samples kept
	minQuietSamples   = 2   // the target is learned from this many on
	relearnInterval   = 8   // once there are quietSampleCount, it is learned anew every so many samples
	targetPerMedian   = 3   // target over the median of the quiet samples
	maxPerTarget      = 2   // maximum over the target
	riseDivisor       = 50  // a learned latency rises by at most 1/riseDivisor at a time
	calmUtilisation   = 0.2 // utilisation up to which samples count as quiet
	minTargetFraction = 0.5 // target of the cache servers over the shortest latency objective, at least
)

// objectives are the target and maximum latency, learned from quiet samples. Servers may share them.
type objectives struct {
	quietSamples         [quietSampleCount]time.Duration // the last of them, as a ring
	learned              int                             // samples so far
	minTarget, maxTarget time.Duration                   // bounds of the target
	target, max          time.Duration
}

// learn takes a quiet sample into target and maximum, which fall at once and rise slowly: load that builds up must
// not pass for the normal latency. Before the first samples the shortest latency objective is the target.
func (o *objectives) learn(latency time.Duration) {
	o.quietSamples[o.learned%quietSampleCount] = latency
	o.learned++
	needsUpdate := o.learned < quietSampleCount || o.learned%relearnInterval == 0
	if o.learned < minQuietSamples || !needsUpdate {
		return
	}
	sorted := slices.Sorted(slices.Values(o.quietSamples[:min(o.learned, quietSampleCount)]))
	target := min(o.maxTarget, sorted[len(sorted)/2]*targetPerMedian)
	if o.learned > quietSampleCount {
		target = min(target, o.target+o.target/riseDivisor)
	}
	target = max(target, o.minTarget)
	o.target, o.max = target, target*maxPerTarget
}

// gauge measures the latency utilisation of one server, or of several together: the share of recent answers slower
// than the learned target.
type gauge struct {
	*objectives
	inFlight  []*attempt // oldest first
	aggregate *gauge     // of all cache servers, or of a zone; nil for that of all cache servers and of the origin
	hasQueue  bool       // what is measured waited in a queue before: its samples say nothing of quiet times

	samples, overTarget, overMax float64 // recent samples: all, over the target, over the maximum
	fadedAt                      Time    // when they were last reduced
}

// observe takes the latency of an answer, or a failure, which counts as over the maximum.
func (g *gauge) observe(now Time, latency time.Duration, hasFailed bool) {
	if !hasFailed && !g.hasQueue && g.slowFraction(now) < calmUtilisation {
		g.learn(latency) // never from times under load
	}
	g.record(now, latency, hasFailed)
}

// record counts a sample, also in the aggregates that the gauge is a part of.
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

// utilisation is the share of recent samples over the target and over the maximum. Attempts in flight for longer than
// that count already: a stalled origin answers nothing that could be measured.
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
		// Few samples: the aggregate stands in for those that are missing; nothing else is assumed to be bad.
		samples = minLatencySamples
		if g.aggregate != nil {
			overTarget, overMax = g.aggregate.utilisation(now)
			slow, verySlow = slow+missing*overTarget, verySlow+missing*overMax
		}
	}
	return slow / samples, verySlow / samples
}

// slowFraction is the share of recent samples over the target.
func (g *gauge) slowFraction(now Time) float64 {
	slow, _ := g.utilisation(now)
	return slow
}

// isUnused reports whether nothing is measured: the gauge says what its aggregate says.
func (g *gauge) isUnused() bool { return g.samples == 0 && len(g.inFlight) == 0 }

// fade reduces the weight of earlier samples: fast while there are plenty, slowly once fewer than minLatencySamples
// are left. A router among hundreds fetches every few seconds, and judges by the last few fetches.
func (g *gauge) fade(now Time) {
	if g.samples > 0 && now > g.fadedAt {
		left := decay.Fade(g.samples, now-g.fadedAt, latencyWindow, minLatencySamples, sparseLatencyWindow)
		g.samples, g.overTarget, g.overMax = left, g.overTarget*left/g.samples, g.overMax*left/g.samples
	}
	g.fadedAt = now
}

// remove forgets an attempt that is no longer waited for.
func (g *gauge) remove(ended *attempt) {
	g.inFlight = slices.DeleteFunc(g.inFlight, func(other *attempt) bool { return other == ended })
}

// oldestSentAt is when the oldest attempt in flight was sent, or now.
func (g *gauge) oldestSentAt(now Time) Time {
	if len(g.inFlight) == 0 {
		return now
	}
	return g.inFlight[0].sentAt
}
