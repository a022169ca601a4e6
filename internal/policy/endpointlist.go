package policy

import (
	"time"

	"shelfproxy/internal/discovery/polling"
)

// How routers spread their polls of discovery, a single service for all, and the protocol's bounds on them.
const (
	pollPace          = 50 * time.Millisecond // between two polls, where there is time for that
	updateKnownWithin = 6 * time.Second       // after this a router counts as notified of a change, received or not
	pollCallTimeout   = 2 * time.Second       // a poll that takes longer fails
)

// endpointUpdate follows the endpoint list. A failed poll is made again after growing waits; the last list stays in
// force meanwhile.
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

// applyEntry takes one entry of the endpoint list.
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

// pollSlack is what is left of the time between a change and the last attempt that may ignore it, once it took so
// long to find out, the poll that brings the change was answered, and upkeep came round to make it.
func (r *Router) pollSlack(foundOutAfter time.Duration) time.Duration {
	knownWithin := updateKnownWithin
	if r.settings.MaxPollInterval > 0 {
		knownWithin = min(knownWithin, r.settings.MaxPollInterval)
	}
	return max(upkeepInterval, knownWithin+r.settings.DrainGrace-foundOutAfter-pollCallTimeout-upkeepInterval)
}

// pollSpread is the time over which routers spread their first polls: a watch that falls silent as a change is made
// is found out a while later.
func (r *Router) pollSpread() time.Duration {
	return min(pollPace*time.Duration(r.settings.Nodes), r.pollSlack(polling.WatchTimeout))
}

// maxPollBackoff is the longest wait after a poll that failed: discovery may answer again the moment after the poll
// was made, and the poll is given up late.
func (r *Router) maxPollBackoff() time.Duration { return r.pollSlack(polling.CallTimeout) }
