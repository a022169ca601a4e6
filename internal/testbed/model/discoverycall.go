package model

import (
	"slices"
	"strconv"
)

// beginDiscoveryCall accepts a call to the discovery service. The service answers it after all earlier calls.
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

// answerDiscoveryCall answers a call with the list, or fails the call if it was not accepted. It does nothing if the call
// was cancelled or an outage began in the meantime.
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

// scheduleHeartbeat sends heartbeats to a watch until the watch ends.
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

// notifyOfChange notifies the watches of a change. Without batches it does so at once. With batches it notifies them once,
// after all other changes of the same time.
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

// notifyWatches sends every watch the changes that were not sent to it yet.
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

// setDiscoveryDown begins (sign 1) or ends (sign -1) an outage of the discovery service. An outage fails all open
// calls.
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

// setDiscoveryEmpty begins (sign 1) or ends (sign -1) a fault that empties the endpoint list.
func (sys *System) setDiscoveryEmpty(sign int) {
	service := sys.discovery
	service.emptyFaults += sign
	service.version++
	service.changes = nil // forgets the changes, so that every watch gets the full list
	sys.notifyWatches()
}
