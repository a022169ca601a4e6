package policy

import (
	"time"

	"shelfproxy/internal/discovery/polling"
)

// Timing of the polls of discovery, the service from which all routers get the endpoint list.
const (
	pollSpacing       = 50 * time.Millisecond // intended mean time between the first polls of one router and the next
	updateKnownWithin = 6 * time.Second       // a router is assumed to have learned of a list change after this time
	pollCallTimeout   = 2 * time.Second       // a poll that takes longer fails
)

// endpointUpdate applies a change of the endpoint list or records a failed poll. After a failed poll the router polls
// again with growing backoff. Meanwhile the last list stays in force.
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

// pollSlack returns the longest allowed wait before a poll. Attempts may follow an outdated endpoint list for at most
// updateKnownWithin (or MaxPollInterval, if that is shorter) plus DrainGrace. Three waits are subtracted from this
// time: foundOutAfter (until the router notices that it has to poll), upkeepInterval (until the next upkeep makes the
// poll) and pollCallTimeout (the poll itself).
func (r *Router) pollSlack(foundOutAfter time.Duration) time.Duration {
	knownWithin := updateKnownWithin
	if r.settings.MaxPollInterval > 0 {
		knownWithin = min(knownWithin, r.settings.MaxPollInterval)
	}
	return max(upkeepInterval, knownWithin+r.settings.DrainGrace-foundOutAfter-pollCallTimeout-upkeepInterval)
}

// pollSpread returns the time over which routers spread their first polls. The time must be short enough that no
// router uses an outdated list for too long (see pollSlack). In the worst case, a watch breaks unnoticed just as the
// list changes, and the router notices the break only after polling.WatchTimeout.
func (r *Router) pollSpread() time.Duration {
	return min(pollSpacing*time.Duration(r.settings.Nodes), r.pollSlack(polling.WatchTimeout))
}

// maxPollBackoff returns the longest wait after a failed poll. The wait must be short enough that the router does not
// use an outdated list for too long (see pollSlack). In the worst case, discovery recovers just after the poll was
// sent, and the router notices only after polling.CallTimeout that the poll failed.
func (r *Router) maxPollBackoff() time.Duration { return r.pollSlack(polling.CallTimeout) }
