package model

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// requestArrived delivers a request to the server at the other end of its connection.
func (sys *System) requestArrived(event RequestArrived) {
	conn := sys.connections[event.Conn]
	sys.logEvent("arrive", event.ID, event.Class, event.Key, formatConnID(event.Conn))
	if conn == nil {
		return
	}
	request := event.Request
	request.Work = sys.workOf(request.Class, request.ID)
	sys.deliver(conn, func() {
		if conn.server.origin != nil {
			sys.requestAtOrigin(conn.server, &request)
		} else {
			sys.requestAtCacheServer(conn.server, &request)
		}
	})
}

// workOf returns the work of a request. It lies in the range of the request's class and is derived from the request id, so
// every attempt of a request costs the same.
func (sys *System) workOf(class, id string) time.Duration {
	spec := sys.classes[class]
	hash := xxhash.Sum64String(strconv.FormatUint(sys.spec.Seed, 16) + id)
	fraction := float64(hash>>11) / (1 << 53) // in [0, 1)
	return spec.WorkLeast + time.Duration(fraction*float64(spec.WorkMost-spec.WorkLeast))
}

// healthCheck delivers a health check to the server at the other end of its connection.
func (sys *System) healthCheck(event HealthCheck) {
	conn := sys.connections[event.Conn]
	sys.logEvent("probe", formatConnID(event.Conn))
	if conn == nil {
		return
	}
	sys.deliver(conn, func() {
		if conn.server.origin != nil {
			sys.checkOrigin(conn.server, event)
		} else {
			sys.checkCacheServer(conn.server, event)
		}
	})
}

// checkCacheServer makes a cache server execute a health check in the same way as a request.
func (sys *System) checkCacheServer(srv *server, check HealthCheck) {
	srv.cache.advance(sys.now)
	request := &Request{Conn: check.Conn, Seq: check.Seq, Work: srv.kind.HealthCheckWork, Deadline: Never}
	exec, accepted := srv.cache.receive(request, true)
	if !accepted {
		sys.respond(srv, rejected(request))
		return
	}
	exec.wantsLoad = check.Load
	sys.serve(srv)
}

// addBackgroundWork gives a cache server work that gets no response. The work is lost if the queue is full.
func (sys *System) addBackgroundWork(srv *server, request *Request) {
	srv.cache.advance(sys.now)
	if exec, accepted := srv.cache.receive(request, true); accepted {
		exec.isBackground = true
		sys.serve(srv)
	}
}

// requestAtCacheServer handles a request that arrived at a cache server.
func (sys *System) requestAtCacheServer(srv *server, request *Request) {
	if srv.isDraining() {
		sys.respond(srv, rejected(request))
		return
	}
	cache := srv.cache
	cache.advance(sys.now)
	_, accepted := cache.receive(request, false)
	// The overload is measured by the work that was sent: misses and rejected requests count with their full work.
	if cache.overloadedBy(sys.now, request.Work.Seconds()) {
		sys.crash(srv)
		return
	}
	if !accepted {
		response := rejected(request)
		response.Load = cache.load()
		sys.respond(srv, response)
		return
	}
	sys.serve(srv)
}

// crash ends the process of an overloaded cache server permanently.
func (sys *System) crash(srv *server) {
	srv.cache.hasCrashed = true
	sys.logEvent("fell", srv.id)
	sys.emit(ServerOverloaded{srv.id})
	srv.kills++
	sys.reconcile(srv)
}

// serve finishes and starts requests of a cache server as far as the current time allows, and schedules its own next
// call. It does nothing for the origin.
func (sys *System) serve(srv *server) {
	cache := srv.cache
	if cache == nil {
		return
	}
	srv.wakeup++
	if srv.dead {
		return
	}
	for {
		finished := cache.finish(sys.now)
		wasWaiting := len(cache.waiting) > 0
		expired := cache.startWaiting(sys.now)
		for _, exec := range append(finished, expired...) {
			sys.executionFinished(srv, exec)
		}
		if len(finished) == 0 && len(expired) == 0 || !wasWaiting {
			break
		}
	}
	sys.scheduleWakeup(srv)
}

// scheduleWakeup schedules the next call of serve. The scheduled call is skipped if serve is called before.
func (sys *System) scheduleWakeup(srv *server) {
	at := srv.cache.nextFinish()
	if at == Never {
		return
	}
	wakeup := srv.wakeup
	sys.schedule(at, func() {
		if srv.wakeup == wakeup {
			srv.cache.advance(sys.now)
			sys.serve(srv)
		}
	})
}

// executionFinished responds to a request that a cache server has executed or rejected as expired.
func (sys *System) executionFinished(srv *server, exec *execution) {
	if exec.isBackground {
		return
	}
	response := Response{Conn: exec.Conn, Seq: exec.Seq, Request: exec.ID, Outcome: exec.outcome, Load: srv.cache.load()}
	switch exec.outcome {
	case Pong:
		response.HasLoad = exec.wantsLoad
	case Hit, Failed:
		sys.logExecution(srv, exec.Request)
		response.Copy = exec.copy
	case Miss:
		sys.rememberMiss(exec.ID, srv)
	}
	sys.respond(srv, response)
}

// logExecution records in the event log that a server executed a request, and reports it to the driver.
func (sys *System) logExecution(srv *server, request *Request) {
	sys.logEvent("ran", srv.id, request.ID)
	sys.emit(RequestExecuted{Request: request.ID, Server: srv.id, Class: request.Class, Seq: request.Seq})
}
