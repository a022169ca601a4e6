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
	criticalMaxUtilisation = 0.2 // critical reads are shed only if more than this fraction of answers is very slow
	// criticalTargetMultiple bounds when a critical read is shed: only if the fraction of slow answers is more than
	// criticalTargetMultiple * shedThresholds[degraded].
	criticalTargetMultiple = 1.5
	// hitThresholdFactor multiplies shedThresholds for the answers of cache servers. The thresholds are lower there
	// than at the origin, because a hit is slow only if it had to queue.
	hitThresholdFactor    = 0.125
	minInFlightOverloaded = 2 // a cache server with fewer attempts in flight does not count as overloaded
)

// shedThresholds holds, for each bucket, the origin's utilisation (fraction of slow answers) above which some of the
// bucket's misses are shed. At twice the threshold all of the bucket's misses are shed. Critical requests have a rule
// of their own, see shouldShed. With a threshold of 0.1, 17 to 45% of reads were rejected on days without overload.
// With thresholds of 0.6 and more, too few requests were shed to contain an overload.
var shedThresholds = [...]float64{critical: math.Inf(1), degraded: 0.55, bestEffort: 0.55, bulk: 0.45}

// minBucketWeight holds, for each bucket, the priority weight that a read must exceed to be in the bucket, as a
// fraction of the greatest weight of all classes. A read that exceeds none of these weights is in bulk.
var minBucketWeight = [...]float64{critical: 0.7, degraded: 0.3, bestEffort: 0.12}

// bucketOf returns the load-shedding bucket of a request. Writes are in the critical bucket.
func bucketOf(req *request) bucket {
	rank := critical
	for !req.Write && rank < bulk && req.priorityWeight <= minBucketWeight[rank] {
		rank++
	}
	return rank
}

// shouldShed reports whether a request in the bucket is shed because of the utilisation (fraction of slow answers) of
// the server that the gauge measures. No request is shed below the bucket's threshold. Above the threshold, the
// fraction of requests that are shed grows with the utilisation. Shed requests are spread evenly among the other
// requests.
func (r *Router) shouldShed(rank bucket, g *gauge) bool {
	utilisation, maxUtilisation := g.utilisation(r.now)
	threshold := shedThresholds[rank]
	if queued := float64(r.originQueue.Len()); g.aggregate != nil {
		threshold *= hitThresholdFactor
	} else if queued > 0 { // at the origin, a request that waits in the queue counts as a slow answer
		utilisation = (utilisation*g.samples + queued) / (g.samples + queued)
	}
	excess := utilisation - threshold
	if rank == critical {
		threshold = shedThresholds[degraded]
		excess = min(maxUtilisation-criticalMaxUtilisation,
			utilisation-criticalTargetMultiple*threshold) // above this, reads of all other buckets are shed already
	}
	return excess > 0 && r.isSelectedForShedding(rank, excess/threshold)
}

// isSelectedForShedding reports whether the present request of a bucket is rejected. Of all requests of the bucket,
// the given fraction is rejected, evenly spread: shedDebt grows by the fraction with each request, and each time it
// reaches 1, a request is rejected.
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

// isOverloadedFor reports whether a read must not be sent to its cache server because the server is overloaded. Only a
// read without an earlier attempt is kept away. A server with fewer than minInFlightOverloaded attempts in flight has
// only old samples, so it does not count as overloaded.
func (r *Router) isOverloadedFor(req *request, srv *server) bool {
	return len(req.attempts) == 0 && !req.Write && len(srv.gauge.inFlight) >= minInFlightOverloaded &&
		r.shouldShed(req.bucket, &srv.gauge)
}
