package model

import (
	"slices"
	"strconv"
)

// beginDiscoveryCall accepts a call of the discovery service. The service answers it after the calls before it.
func (sys *System) beginDiscoveryCall(call DiscoveryCall) {
	sys.logEvent("ask", strconv.Itoa(call.Node), strconv.FormatBool(call.Watch), strconv.FormatInt(call.After, 10))
	service := sys.discovery
	if service.outages > 0 {
		sys.emit(DiscoveryReply{Call: call.Call, Ends: true, Failed: true})
		return
	}
	size := len(service.entries)
	if call.Watch {
		size = len(service.changesAfter(call.After).Entries)
	}
	at, accepted := service.admit(sys.now, size)
	service.calls = append(service.calls, openCall{id: call.Call, sentVersion: notAnswered})
	sys.schedule(at, func() { sys.answerDiscoveryCall(call, accepted) })
}

// answerDiscoveryCall sends the list to a call, unless the call was cancelled or the service failed meanwhile.
func (sys *System) answerDiscoveryCall(call DiscoveryCall, accepted bool) {
	service := sys.discovery
	at := service.indexOfCall(call.Call)
	if at < 0 {
		return
	}
	if !accepted || !call.Watch {
		service.calls = slices.Delete(service.calls, at, at+1)
	}
	switch {
	case !accepted:
		sys.emit(DiscoveryReply{Call: call.Call, Ends: true, Failed: true})
	case call.Watch:
		list := service.changesAfter(call.After)
		service.calls[at].sentVersion = service.version
		sys.emit(DiscoveryReply{Call: call.Call, List: &list})
		sys.scheduleHeartbeat(call.Call)
	default:
		list := service.fullList()
		sys.emit(DiscoveryReply{Call: call.Call, List: &list, Ends: true})
	}
}

// scheduleHeartbeat sends heartbeats to a watch until it ends.
func (sys *System) scheduleHeartbeat(call uint64) {
	if sys.spec.Discovery.Heartbeat <= 0 {
		return
	}
	sys.scheduleAfter(sys.spec.Discovery.Heartbeat, func() {
		if sys.discovery.indexOfCall(call) >= 0 {
			sys.emit(DiscoveryReply{Call: call})
			sys.scheduleHeartbeat(call)
		}
	})
}

// notifyOfChange notifies the watches of a change at once or, where changes are batched, behind the others of the same time.
func (sys *System) notifyOfChange() {
	service := sys.discovery
	if service.spec.Batch <= 0 {
		sys.notifyWatches()
		return
	}
	if service.isBatchDue {
		return
	}
	service.isBatchDue = true
	sys.schedule(sys.now, func() {
		service.isBatchDue = false
		sys.notifyWatches()
	})
}

// notifyWatches sends to every watch the changes that it has not got yet.
func (sys *System) notifyWatches() {
	service := sys.discovery
	for i, call := range service.calls {
		if call.sentVersion != notAnswered && call.sentVersion != service.version {
			list := service.changesAfter(call.sentVersion)
			service.calls[i].sentVersion = service.version
			sys.emit(DiscoveryReply{Call: call.id, List: &list})
		}
	}
}

func (sys *System) cancelDiscoveryCall(id uint64) {
	service := sys.discovery
	service.calls = slices.DeleteFunc(service.calls, func(call openCall) bool { return call.id == id })
}

// setDiscoveryDown begins (sign 1) or ends (sign -1) an outage of the discovery service. An outage fails all calls.
func (sys *System) setDiscoveryDown(sign int) {
	service := sys.discovery
	service.outages += sign
	sys.emit(DiscoveryReachable{service.outages == 0})
	if service.outages == 0 {
		return
	}
	for _, call := range service.calls {
		sys.emit(DiscoveryReply{Call: call.id, Ends: true, Failed: true})
	}
	service.calls = nil
}

// setDiscoveryEmpty begins (sign 1) or ends (sign -1) a time in which the list is empty.
func (sys *System) setDiscoveryEmpty(sign int) {
	service := sys.discovery
	service.emptyFaults += sign
	service.version++
	service.changes = nil // so that every watch gets the full list
	sys.notifyWatches()
}
