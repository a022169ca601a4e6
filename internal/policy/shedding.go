package policy

import "math"

// bucket is a group of requests of similar priority weight. Bucket 0 has the greatest weights and is shed last; the
// bucket with the highest number has the lowest weights and is shed first.
type bucket int

// The load-shedding buckets, from the one shed last to the one shed first.
const (
	critical bucket = iota
	degraded
	bestEffort
	bulk
)

const (
	criticalMaxUtilisation = 0.2   // critical reads are shed only if more answers than this fraction exceed gauge.max
	criticalTargetMultiple = 1.5   // critical reads are shed only above this multiple of the threshold of degraded
	hitThresholdFactor     = 0.125 // multiplies the thresholds at cache servers, where only a queue makes hits slow
	minInFlightOverloaded  = 2     // a cache server with fewer attempts in flight is not overloaded
)

// shedThresholds are the utilisations past which misses of each bucket are shed; at twice the threshold all of them
// are. A threshold of 0.1 rejected 17 to 45% of reads on days without overload. Thresholds of 0.6 and more did not
// contain overload.
var shedThresholds = [...]float64{critical: math.Inf(1), degraded: 0.55, bestEffort: 0.55, bulk: 0.45}

// minBucketWeight is the lower bound of each bucket: its reads have a greater priority weight than this, relative to
// the greatest weight of all classes.
var minBucketWeight = [...]float64{critical: 0.7, degraded: 0.3, bestEffort: 0.12}

// bucketOf returns the load-shedding bucket of a request. Writes are critical.
func bucketOf(req *request) bucket {
	rank := critical
	for !req.Write && rank < bulk && req.priorityWeight <= minBucketWeight[rank] {
		rank++
	}
	return rank
}

// shouldShed reports whether a request of the bucket is shed at the utilisation of the gauge. No request is shed below
// the threshold of the bucket. Above the threshold, the fraction of requests that are shed grows with the utilisation,
// and shed requests are spread evenly among the other requests.
func (r *Router) shouldShed(rank bucket, g *gauge) bool {
	utilisation, maxUtilisation := g.utilisation(r.now)
	threshold := shedThresholds[rank]
	if queued := float64(r.originQueue.Len()); g.aggregate != nil {
		threshold *= hitThresholdFactor
	} else if queued > 0 { // requests that wait in the queue would be slow too
		utilisation = (utilisation*g.samples + queued) / (g.samples + queued)
	}
	excess := utilisation - threshold
	if rank == critical {
		threshold = shedThresholds[degraded]
		excess = min(maxUtilisation-criticalMaxUtilisation,
			utilisation-criticalTargetMultiple*threshold) // critical reads are never shed before reads of other buckets
	}
	return excess > 0 && r.isSelectedForShedding(rank, excess/threshold)
}

// isSelectedForShedding reports whether the present request of a bucket is rejected. It selects the given fraction of
// the bucket's requests, spread evenly.
func (r *Router) isSelectedForShedding(rank bucket, fraction float64) bool {
	rejections, debt := math.Modf(r.shedDebt[rank] + min(1, fraction))
	r.shedDebt[rank] = debt
	return rejections >= 1
}

// shedsForLoad reports whether the request is shed because the node is behind with its own work. The fraction of
// requests that are shed grows with the load level and with the number of the bucket. Critical requests are never shed
// for this reason.
func (r *Router) shedsForLoad(req *request) bool {
	if r.loadLevel <= 0 || req.bucket == critical {
		return false
	}
	return r.isSelectedForShedding(req.bucket, r.loadLevel*float64(req.bucket))
}

// isOverloadedFor reports whether the first attempt of a read is shed at its cache server because that server is the
// bottleneck. A server with fewer than minInFlightOverloaded attempts in flight has only old samples, so it does not
// count as overloaded.
func (r *Router) isOverloadedFor(req *request, srv *server) bool {
	return len(req.attempts) == 0 && !req.Write && len(srv.gauge.inFlight) >= minInFlightOverloaded &&
		r.shouldShed(req.bucket, &srv.gauge)
}
