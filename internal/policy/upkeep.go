package policy

import (
	"time"

	"shelfproxy/internal/policy/locality"
)

const (
	upkeepInterval = 250 * time.Millisecond // time from one run of the periodic work to the next
	// upkeepToken is the token of upkeep's timer. It differs from the tokens of all other timers, which are ids of
	// requests, because it is greater than any id.
	upkeepToken = uint64(1) << 62
)

// startUpkeep starts the periodic work at the first endpoint update. A random delay keeps routers that start together
// from doing this work at the same moments.
func (r *Router) startUpkeep() {
	if r.isTimerRunning {
		return
	}
	r.isTimerRunning = true
	r.polls.Start(r.now)
	r.emit(SetTimer{At: r.now + r.jitter(upkeepInterval), Token: upkeepToken})
}

// superviseServers starts health checks of servers that no longer respond. If mayHedge is set, it also hedges slow
// reads.
func (r *Router) superviseServers(mayHedge bool) {
	for _, listed := range r.keyServers {
		if mayHedge {
			r.hedgeSlowReads(listed.server)
		}
		r.checkIfUnresponsive(listed.server)
	}
}

// upkeep does the periodic work, every upkeepInterval. It compares each cache server with the others, checks servers
// that no longer respond, hedges slow reads, adjusts the weight of other zones in the choice of servers, sends gossip
// and polls discovery.
func (r *Router) upkeep() {
	r.emit(SetTimer{At: r.now + upkeepInterval, Token: upkeepToken})
	r.pruneKeyCounts()
	if len(r.keyServers) > 0 {
		r.assessAll()
		r.superviseServers(r.mayHedge())
	}
	if r.settings.CrossZoneCost > 0 && r.origin != nil {
		r.crossZoneWeight.Step(locality.Load{
			HomeFraction:      r.zoneFraction,
			OriginUtilisation: r.origin.gauge.slowFraction(r.now),
			ZoneUtilisation:   r.zoneGauge.slowFraction(r.now),
			CacheUtilisation:  r.cacheGauge.slowFraction(r.now),
			OriginWaiting:     r.originQueue.Len(),
		})
	}
	r.sendGossip()
	if r.settings.MustPoll && r.polls.TakeDueCall(r.now) {
		r.emit(Subscribe{})
	}
}
