package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// activeFault is a fault that has begun, with its targets.
type activeFault struct {
	Fault
	random  *rand.Rand
	targets []*server
}

// Values of the parameter sign of applyFault.
const (
	faultBegins = 1
	faultEnds   = -1
)

// beginFault begins the fault with the given index in the specification and schedules its end.
func (sys *System) beginFault(index int) {
	fault := &activeFault{Fault: sys.spec.Faults[index], random: RandomStream(sys.spec.Seed, fmt.Sprintf("fault/%d", index))}
	if fault.Kind.AffectsCacheServers() {
		fault.targets = sys.selectTargets(fault)
	}
	sys.logEvent("fault", fault.Kind.String(), strconv.Itoa(len(fault.targets)))
	switch fault.Kind {
	case Deploy:
		sys.deploy(fault)
	case Shrink:
		sys.shrink(fault)
	case Flap:
		sys.flap(fault)
	default:
		sys.applyFault(fault, faultBegins)
		if fault.For > 0 {
			sys.scheduleAfter(fault.For, func() {
				sys.logEvent("fault-over", fault.Kind.String())
				sys.applyFault(fault, faultEnds)
			})
		}
	}
}

// applyFault begins (sign 1) or ends (sign -1) the effect of a fault. All state that it changes is a count, sum, product
// or list over the active faults, so overlapping faults may end in any order.
func (sys *System) applyFault(fault *activeFault, sign int) {
	switch fault.Kind {
	case DiscoveryLag:
		sys.discovery.extraLag += time.Duration(sign) * fault.Lag
	case DiscoveryDown:
		sys.setDiscoveryDown(sign)
	case DiscoveryEmpty:
		sys.setDiscoveryEmpty(sign)
	case OriginSlow:
		sys.origin.origin.slowdown *= math.Pow(fault.Factor, float64(sign))
	case OriginStall:
		sys.origin.origin.stallFaults += sign
		sys.startOriginWaiting()
	}
	for _, target := range fault.targets {
		sys.applyToServer(fault, target, sign)
	}
}

// applyToServer begins (sign 1) or ends (sign -1) the effect of a fault on one cache server.
func (sys *System) applyToServer(fault *activeFault, srv *server, sign int) {
	switch fault.Kind {
	case Drain:
		srv.drains += sign
		sys.publish(srv)
		return
	case CorruptResponse:
		srv.corruption = addOrRemove(srv.corruption, fault.Share, sign)
		return
	case PacketLoss:
		srv.packetLoss = addOrRemove(srv.packetLoss, fault.Share, sign)
		return
	case Kill:
		srv.kills += sign
	case Freeze:
		srv.freezes += sign
	case Stall:
		srv.stalls += sign
	case Slow:
		srv.slowdowns = addOrRemove(srv.slowdowns, fault.Factor, sign)
	case Partition:
		for node := range srv.partitions {
			if len(fault.Nodes) == 0 || slices.Contains(fault.Nodes, node) {
				srv.partitions[node] += sign
			}
		}
	}
	sys.reconcile(srv)
}

// addOrRemove adds the value of a fault that begins to the values of the active faults, or removes the value of a fault
// that ends.
func addOrRemove(active []float64, value float64, sign int) []float64 {
	if sign == faultBegins {
		return append(active, value)
	}
	if at := slices.Index(active, value); at >= 0 {
		return slices.Delete(active, at, at+1)
	}
	return active
}

// anyOf returns the probability that at least one of several independent events happens.
func anyOf(probabilities []float64) float64 {
	none := 1.0
	for _, probability := range probabilities {
		none *= 1 - probability
	}
	return 1 - none
}

// selectTargets draws the targets of a fault from the cache servers. Before the draw these are in the order of the
// endpoint list.
func (sys *System) selectTargets(fault *activeFault) []*server {
	var candidates []*server
	for _, srv := range sys.servers {
		if srv.cache != nil && !srv.removed && !srv.retiring && fault.Select.matches(srv) {
			candidates = append(candidates, srv)
		}
	}
	count := len(candidates)
	switch {
	case fault.Select.Count > 0:
		count = min(count, fault.Select.Count)
	case fault.Select.Share > 0:
		count = min(count, int(math.Round(fault.Select.Share*float64(count))))
	default:
		return candidates
	}
	fault.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:count]
}

// matches reports whether a cache server has the id, kind and zone that a selector asks for.
func (s Selector) matches(srv *server) bool {
	return (s.Kind == "" || srv.kind.Name == s.Kind) &&
		(s.Zone == "" || srv.zone == s.Zone) &&
		(len(s.IDs) == 0 || slices.Contains(s.IDs, srv.id))
}

// deploy replaces the targets of a fault in batches, which are spread evenly over the duration of the fault.
func (sys *System) deploy(fault *activeFault) {
	cacheServers := 0
	for _, srv := range sys.servers {
		if srv.cache != nil && !srv.removed {
			cacheServers++
		}
	}
	batchSize := max(1, int(math.Floor(fault.Batch*float64(cacheServers))))
	batches := slices.Collect(slices.Chunk(fault.targets, batchSize))
	for i, batch := range batches {
		sys.scheduleAfter(fault.For*time.Duration(i)/time.Duration(len(batches)), func() {
			for _, srv := range batch {
				sys.retire(srv, fault.DrainFor, func() { sys.replace(srv, fault.random.Float64() < fault.SameSlot) })
			}
		})
	}
}

// shrink removes the targets of a fault one after another, spread evenly over the duration of the fault.
func (sys *System) shrink(fault *activeFault) {
	for i, srv := range fault.targets {
		sys.scheduleAfter(fault.For*time.Duration(i)/time.Duration(len(fault.targets)), func() {
			sys.retire(srv, fault.DrainFor, func() {})
		})
	}
}

// flap kills and restarts the targets of a fault periodically until the duration of the fault is over. The last step is
// a restart.
func (sys *System) flap(fault *activeFault) {
	end := Never
	if fault.For > 0 {
		end = sys.now + fault.For
	}
	kill := &activeFault{Fault: Fault{Kind: Kill}, targets: fault.targets}
	var begin, restart func()
	begin = func() {
		sys.applyFault(kill, faultBegins)
		sys.scheduleAfter(fault.Period/2, restart)
	}
	restart = func() {
		sys.applyFault(kill, faultEnds)
		if sys.now+fault.Period/2 < end {
			sys.scheduleAfter(fault.Period/2, begin)
		}
	}
	begin()
}
