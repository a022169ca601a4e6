package policy

import (
	"time"

	"shelfproxy/internal/discovery/polling"
)

// Spacing and time bounds of the polls of discovery, a single service that all routers share.
const (
	pollSpacing       = 50 * time.Millisecond // time between the polls of two routers, if possible
	updateKnownWithin = 6 * time.Second       // a router is treated as notified this long after a change
	pollCallTimeout   = 2 * time.Second       // a poll that takes longer fails
)

// endpointUpdate applies a change of the endpoint list or records a failed poll. A failed poll is repeated with growing
// backoff, and the last list stays in force meanwhile.
func (r *Router) endpointUpdate(e EndpointUpdate) {
	r.startUpkeep()
	switch e.Scope {
	case PollFailed:
		r.polls.Failed(r.now)
		return
	case DeltaUpdate, FullUpdate:
		r.polls.Succeeded()
	}
	if e.Scope != DeltaUpdate {
		for _, srv := range r.servers {
			srv.isListed = false
		}
	}
	for _, entry := range e.Servers {
		r.applyEntry(entry)
	}
	if r.origin != nil && (!r.origin.isListed || r.origin.State != Live) {
		r.origin = nil
	}
	r.countActiveServers()
	r.pruneServers()
}

// applyEntry applies one entry of the endpoint list to its server.
func (r *Router) applyEntry(entry Server) {
	srv := r.findOrAddServer(entry.ID)
	if entry.StartedAt > srv.StartedAt && r.now < entry.StartedAt+r.settings.SlowStartDuration {
		srv.slowStartFrom, srv.hitsToClear = entry.StartedAt, 0
		srv.isUnresponsive = srv.isUnresponsive && entry.StartedAt <= srv.unresponsiveSince
	}
	srv.Server, srv.zone, srv.isListed = entry, r.zoneNamed(entry.Zone), entry.State != Removed
	if srv.gauge.aggregate != nil && entry.Zone == r.settings.Zone {
		srv.gauge.aggregate = &r.zoneGauge
	}
	if r.isOriginKind(srv) && srv != r.origin {
		r.origin = srv
		srv.gauge.objectives, srv.gauge.aggregate = r.newObjectives(), nil
	}
}

// pollSlack returns how long a poll may be delayed after a change of the endpoint list. The delay is the time for which
// attempts may ignore the change, less three durations: foundOutAfter (until the router notices that it has to poll),
// the longest poll, and the wait for upkeep to make the poll.
func (r *Router) pollSlack(foundOutAfter time.Duration) time.Duration {
	knownWithin := updateKnownWithin
	if r.settings.MaxPollInterval > 0 {
		knownWithin = min(knownWithin, r.settings.MaxPollInterval)
	}
	return max(upkeepInterval, knownWithin+r.settings.DrainGrace-foundOutAfter-pollCallTimeout-upkeepInterval)
}

// pollSpread returns the time over which routers spread their first polls. It allows for a watch that breaks unnoticed
// just as the list changes: the router notices this only after polling.WatchTimeout.
func (r *Router) pollSpread() time.Duration {
	return min(pollSpacing*time.Duration(r.settings.Nodes), r.pollSlack(polling.WatchTimeout))
}

// maxPollBackoff returns the longest wait after a failed poll. It allows for discovery that recovers just after that
// poll was made: the router notices the failure of the poll only after polling.CallTimeout.
func (r *Router) maxPollBackoff() time.Duration { return r.pollSlack(polling.CallTimeout) }
