package model

import "time"

// stallRecheck is the shortest wait before the origin tries again to answer a request that finished during a stall.
const stallRecheck = 50 * time.Millisecond

// checkOrigin responds to a health check of the origin, unless the origin is stalled.
func (sys *System) checkOrigin(srv *server, check HealthCheck) {
	if srv.origin.stalled(sys.now) {
		return
	}
	sys.respond(srv, Response{Conn: check.Conn, Seq: check.Seq, Outcome: Pong, HasLoad: check.Load, Load: srv.origin.load()})
}

// requestAtOrigin handles a request that arrived at the origin.
func (sys *System) requestAtOrigin(srv *server, request *Request) {
	origin := srv.origin
	switch {
	case origin.stalled(sys.now):
		sys.respond(srv, rejected(request))
	case origin.overloadedByRequest(sys.now):
		sys.logEvent("origin-fell")
		origin.beginOverloadStall(sys.now)
		sys.schedule(origin.stalledUntil, sys.startOriginWaiting)
		sys.respond(srv, rejected(request))
	case origin.running < origin.spec.Parallel:
		sys.executeAtOrigin(request)
	case len(origin.waiting) < origin.spec.Queue:
		origin.waiting = append(origin.waiting, request)
	default:
		sys.respond(srv, rejected(request))
	}
}

// startOriginWaiting starts the execution of queued requests, unless the origin is stalled.
func (sys *System) startOriginWaiting() {
	origin := sys.origin.origin
	for !origin.stalled(sys.now) && origin.running < origin.spec.Parallel && len(origin.waiting) > 0 {
		request := origin.waiting[0]
		origin.waiting[0] = nil
		origin.waiting = origin.waiting[1:]
		sys.executeAtOrigin(request)
	}
}

// executeAtOrigin executes one request. A write takes effect at the end of its execution. A request whose execution ends
// while the origin is stalled is finished after the stall.
func (sys *System) executeAtOrigin(request *Request) {
	origin := sys.origin.origin
	origin.running++
	sys.logExecution(sys.origin, request)
	sys.scheduleAfter(origin.drawServiceTime(), func() {
		sys.whenNotFrozen(sys.origin, func() { sys.finishedAtOrigin(request) })
	})
}

func (sys *System) finishedAtOrigin(request *Request) {
	origin := sys.origin.origin
	if origin.stalled(sys.now) {
		wait := max(origin.stalledUntil-sys.now, stallRecheck)
		sys.scheduleAfter(wait, func() { sys.finishedAtOrigin(request) })
		return
	}
	origin.running--
	response := Response{Conn: request.Conn, Seq: request.Seq, Request: request.ID, Outcome: Hit,
		Copy: origin.record(request.Key), Load: origin.load()}
	if request.Write {
		response.Outcome = Written
		if !origin.isRepeated(sys.now, request.IdempotencyKey) {
			origin.write(request.Key, request.Size)
			sys.invalidate(request.Key)
		}
		response.Copy = Copy{Key: request.Key, Version: origin.record(request.Key).Version}
	} else {
		sys.fillMissed(request.ID, response.Copy)
	}
	sys.respond(sys.origin, response)
	sys.startOriginWaiting()
}
