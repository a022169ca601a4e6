package model

import (
	"math/rand/v2"
	"strconv"
	"time"

	"shelfproxy/internal/testbed/eventlog"
	"shelfproxy/internal/testbed/eventqueue"
)

// System is the simulated system around the nodes. It is not safe for concurrent use.
type System struct {
	spec    Spec
	now     Time
	events  eventqueue.Queue
	effects []Effect // effects since the last call of the driver
	started bool

	servers     []*server // servers in the order in which they were added, without those whose retirement has ended
	bySlot      map[int]*server
	slots       int // number of slots that were ever used
	nextID      int // number in the id of the next cache server
	origin      *server
	discovery   *discoveryService
	connections map[ConnID]*connection
	classes     map[string]ClassSpec
	misses      map[string]*cacheMiss // cache servers at which each request missed, by request id
	missOrder   []*cacheMiss          // the values of the map misses, in the order of cacheMiss.at

	discoveryLagRandom, linkRandom, corruptionRandom *rand.Rand

	log   *eventlog.Log
	Trace func(entry []byte) // receives each line of the event log, if set; it must not retain the slice
}

// New returns a system that is not yet started. Start must be called first, which starts it at time 0.
func New(spec Spec) *System {
	sys := &System{
		spec:        spec,
		bySlot:      map[int]*server{},
		connections: map[ConnID]*connection{},
		classes:     map[string]ClassSpec{},
		misses:      map[string]*cacheMiss{},
		log:         eventlog.New(),
		discovery:   &discoveryService{spec: spec.Discovery},

		discoveryLagRandom: RandomStream(spec.Seed, "lags"),
		linkRandom:         RandomStream(spec.Seed, "links"),
		corruptionRandom:   RandomStream(spec.Seed, "spoilt"),
	}
	for _, class := range spec.Classes {
		sys.classes[class.Name] = class
	}
	return sys
}

// Start starts the origin and the cache servers and schedules the faults. A second call does nothing.
func (sys *System) Start() []Effect {
	if sys.started {
		return nil
	}
	sys.started = true
	sys.origin = sys.addServer(&server{id: OriginID, zone: sys.spec.OriginZone, origin: newOrigin(sys.spec.Origin, sys.spec.Seed)})
	sys.discovery.set(sys.listEntry(sys.origin))
	for _, spec := range sys.spec.CacheServers {
		srv := sys.addCacheServer(spec, sys.slots, false)
		sys.discovery.set(sys.listEntry(srv))
	}
	for i, fault := range sys.spec.Faults {
		sys.schedule(fault.At, func() { sys.beginFault(i) })
	}
	return sys.takeEffects()
}

// Step runs everything that is scheduled up to now, processes an event, and returns the resulting effects. Time never goes back:
// if now is before the time that the system has reached, the system stays at that time.
func (sys *System) Step(now Time, event Event) []Effect {
	sys.runScheduled(now)
	switch event := event.(type) {
	case Connect:
		sys.connect(event)
	case Closed:
		sys.connectionClosed(event.Conn)
	case RequestArrived:
		sys.requestArrived(event)
	case HealthCheck:
		sys.healthCheck(event)
	case DiscoveryCall:
		sys.beginDiscoveryCall(event)
	case DiscoveryCancelled:
		sys.logEvent("hang-up", strconv.FormatUint(event.Call, 10))
		sys.cancelDiscoveryCall(event.Call)
	}
	return sys.takeEffects()
}

// Advance runs everything that is scheduled up to now and returns the resulting effects.
func (sys *System) Advance(now Time) []Effect {
	sys.runScheduled(now)
	return sys.takeEffects()
}

// NextEvent returns the time at which Advance has to be called next, or Never.
func (sys *System) NextEvent() Time {
	if at, ok := sys.events.Next(); ok {
		return at
	}
	return Never
}

// Hash returns the hash of the event log so far.
func (sys *System) Hash() uint64 { return sys.log.Hash() }

// List returns the current full list of the discovery service.
func (sys *System) List() List { return sys.discovery.fullList() }

// ServerOf returns the id of the server that a connection leads to, or "" once the connection has ended.
func (sys *System) ServerOf(id ConnID) string {
	if conn := sys.connections[id]; conn != nil {
		return conn.server.id
	}
	return ""
}

// runScheduled runs everything that is scheduled up to now, each event at its own time.
func (sys *System) runScheduled(now Time) {
	for event, ok := sys.events.PopUntil(now); ok; event, ok = sys.events.PopUntil(now) {
		sys.now = max(sys.now, event.At)
		event.Run()
	}
	sys.now = max(sys.now, now)
}

// schedule runs a function at a given time, or now if that time has passed.
func (sys *System) schedule(at Time, run func()) { sys.events.Schedule(max(at, sys.now), run) }

// scheduleAfter runs a function after a delay.
func (sys *System) scheduleAfter(delay time.Duration, run func()) { sys.schedule(sys.now+delay, run) }

// emit adds an effect for the driver.
func (sys *System) emit(effect Effect) { sys.effects = append(sys.effects, effect) }

func (sys *System) takeEffects() []Effect {
	effects := sys.effects
	sys.effects = nil
	return effects
}

// logEvent adds an event to the event log.
func (sys *System) logEvent(name string, fields ...string) {
	entry := sys.log.Append(sys.now, name, fields...)
	if sys.Trace != nil {
		sys.Trace(entry)
	}
}
