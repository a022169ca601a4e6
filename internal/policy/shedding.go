package policy

import "math"

// bucket ranks requests by priority weight; the highest rank is shed first.
type bucket int

// The load-shedding buckets.
const (
	critical bucket = iota
	degraded
	bestEffort
	bulk
)

const (
	criticalMaxUtilisation = 0.2   // share over the maximum past which critical reads are shed too
	criticalTargetMultiple = 1.5   // of the threshold of degraded, below which no critical read is shed
	hitThresholdFactor     = 0.125 // of a threshold, for hits: only a queue makes them slow
	minInFlightCrowded     = 2     // attempts in flight at a cache server from which it can count as crowded
)

// shedThresholds are the utilisations past which a bucket's misses are shed, all of them at twice that. At 0.1 days
// without overload had 17 to 45% of reads rejected; from 0.6 on overload was not held.
var shedThresholds = [...]float64{critical: math.Inf(1), degraded: 0.55, bestEffort: 0.55, bulk: 0.45}

// minBucketWeight is the priority weight, over the greatest of all classes, that the reads of each bucket exceed.
var minBucketWeight = [...]float64{critical: 0.7, degraded: 0.3, bestEffort: 0.12}

// bucketOf ranks a request. Writes are critical.
func bucketOf(req *request) bucket {
	rank := critical
	for !req.Write && rank < bulk && req.priorityWeight <= minBucketWeight[rank] {
		rank++
	}
	return rank
}

// shouldShed reports whether a request of the bucket is shed at the utilisation of the gauge: none is below the
// threshold, then a growing share, spread evenly.
func (r *Router) shouldShed(rank bucket, g *gauge) bool {
	utilisation, maxUtilisation := g.utilisation(r.now)
	threshold := shedThresholds[rank]
	if queued := float64(r.originQueue.Len()); g.aggregate != nil {
		threshold *= hitThresholdFactor
	} else if queued > 0 { // what waits in the queue would be slow too
		utilisation = (utilisation*g.samples + queued) / (g.samples + queued)
	}
	excess := utilisation - threshold
	if rank == critical {
		threshold = shedThresholds[degraded]
		excess = min(maxUtilisation-criticalMaxUtilisation,
			utilisation-criticalTargetMultiple*threshold) // never before the others
	}
	return excess > 0 && r.isSelectedForShedding(rank, excess/threshold)
}

// isSelectedForShedding reports whether this request is one of the given share of a bucket's requests that are to be
// rejected, spread evenly.
func (r *Router) isSelectedForShedding(rank bucket, fraction float64) bool {
	rejections, debt := math.Modf(r.shedDebt[rank] + min(1, fraction))
	r.shedDebt[rank] = debt
	return rejections >= 1
}

// shedsForLoad reports whether the request is shed as the node is behind with its own work: a share of what may be
// shed is.
func (r *Router) shedsForLoad(req *request) bool {
	if r.loadLevel <= 0 || req.bucket == critical {
		return false
	}
	return r.isSelectedForShedding(req.bucket, r.loadLevel*float64(req.bucket))
}

// isCrowdedFor reports whether the first attempt of a read is shed at its cache server, where cache servers are the
// bottleneck. With next to nothing in flight the samples are old: such a server is not crowded.
func (r *Router) isCrowdedFor(req *request, srv *server) bool {
	return len(req.attempts) == 0 && !req.Write && len(srv.gauge.inFlight) >= minInFlightCrowded &&
		r.shouldShed(req.bucket, &srv.gauge)
}
