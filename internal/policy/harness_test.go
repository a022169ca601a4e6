package policy

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// originID is the id of the origin in these tests; no cache server has this id.
const originID = "o"

// testSettings returns the settings of a router that may make health checks and cancel attempts, but may not gossip.
func testSettings() Settings {
	return Settings{
		Nodes: 2, OriginKind: "origin", OverQuotaFraction: 0.1, MayHealthCheck: true, MayCancel: true,
		MaxAttempts: 5, MaxRetryAfter: 2 * time.Second, Tick: 5 * ms,
		SlowStartFloor: 0.2, SlowStartDuration: 20 * time.Second, OverloadFactor: 3,
		Classes: []Class{
			{Name: "high", PriorityWeight: 10, LatencyObjective: 500 * ms},
			{Name: "middle", PriorityWeight: 5, LatencyObjective: 500 * ms},
			{Name: "low", PriorityWeight: 1, LatencyObjective: 500 * ms},
			{Name: "late", PriorityWeight: 10, LatencyObjective: 500 * ms, LateFraction: 0.3},
			{
				Name: "keyed", PriorityWeight: 10, LatencyObjective: time.Second,
				Effect: Deduplicated, DedupWindow: 800 * ms,
			},
			{
				Name: "keyed-zone", PriorityWeight: 10, LatencyObjective: time.Second,
				Effect: Deduplicated, DedupScope: SameZone, DedupWindow: 800 * ms,
			},
			{Name: "unsafe", PriorityWeight: 10, LatencyObjective: time.Second, Effect: AtMostOnce},
		},
		Tenants: []Tenant{{Name: "t", Quota: 20}},
	}
}

// routerDriver feeds events to one router. It simulates no servers: a test has to pass every event, such as the end of
// an attempt, to the router itself.
type routerDriver struct {
	t         *testing.T
	router    *Router
	now       Time
	nextID    uint64
	sendCount map[uint64]int // number of Send actions for each request, by its id
}

// newDriver returns the driver of a router whose endpoint list names the origin and the given cache servers.
func newDriver(t *testing.T, settings Settings, servers ...string) *routerDriver {
	t.Helper()
	router, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	driver := &routerDriver{t: t, router: router, now: 100 * time.Second, nextID: 1, sendCount: map[uint64]int{}}
	list := EndpointUpdate{Scope: CachedList, Servers: []Server{{ID: originID, Kind: "origin", Zone: "a"}}}
	for _, id := range servers {
		list.Servers = append(list.Servers, Server{ID: id, Kind: "cache", Zone: "a", Capacity: 1})
	}
	driver.handle(list)
	return driver
}

// newTrainedDriver returns the driver of a router that has learned that its origin answers in 50 ms at low load. The
// cache servers are s1, s2, s3 and the servers that the parameter more names.
func newTrainedDriver(t *testing.T, more ...string) *routerDriver {
	t.Helper()
	driver := newDriver(t, testSettings(), append([]string{"s1", "s2", "s3"}, more...)...)
	driver.feedOrigin(80, 50*ms, Succeeded)
	return driver
}

// handle passes an event to the router at the driver's current time and returns the router's actions.
func (driver *routerDriver) handle(event Event) []Action {
	actions := driver.router.Handle(driver.now, event)
	for _, send := range actionsOf[Send](actions) {
		driver.sendCount[send.ID]++
	}
	return actions
}

// request sends the router a read whose deadline is in two seconds, and returns the read's id and the router's actions.
// If change is not nil, it can modify the read first, for example make it a write.
func (driver *routerDriver) request(class, key string, change func(*Request)) (uint64, []Action) {
	event := Request{ID: driver.nextID, Class: class, Key: key, Deadline: driver.now + 2*time.Second}
	if change != nil {
		change(&event)
	}
	driver.nextID++
	return event.ID, driver.handle(event)
}

// asWrite changes a request into a write.
func asWrite(request *Request) { request.Write = true }

// ofTenant changes a request into a request of the tenant named t, which has a quota.
func ofTenant(request *Request) { request.Tenant = "t" }

// requestMiss sends the router a read and, if the router sends it to a server, ends the attempt with a miss. It returns
// the read's id and the router's last actions.
func (driver *routerDriver) requestMiss(class, key string, change func(*Request)) (uint64, []Action) {
	id, actions := driver.request(class, key, change)
	if len(actionsOf[Send](actions)) == 1 {
		actions = driver.endAttempt(id, Miss, ms)
	}
	return id, actions
}

// endAttempt ends the last attempt of a request with the given reason. A success also ends the request.
func (driver *routerDriver) endAttempt(id uint64, reason Reason, took time.Duration) []Action {
	return driver.handle(Outcome{
		ID: id, Attempt: driver.sendCount[id] - 1, Reason: reason, Took: took, Ended: reason == Succeeded,
	})
}

// runUpkeep fires the timer of the router's periodic work, which is due every 250 ms, and returns the actions.
func (driver *routerDriver) runUpkeep() []Action {
	return driver.handle(TimerFired{Token: upkeepToken})
}

// restart gives the router a changed entry of the endpoint list. The entry says that a cache server has just restarted
// and that the server is in the given zone.
func (driver *routerDriver) restart(id, zone string) {
	driver.update(Server{ID: id, Kind: "cache", Zone: zone, Capacity: 1, StartedAt: driver.now})
}

// update gives the router changed entries of the endpoint list. All other entries stay as they were.
func (driver *routerDriver) update(changed ...Server) {
	driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: changed})
}

// feedOrigin has the router send writes to the origin, and ends each of them with the same latency and reason.
func (driver *routerDriver) feedOrigin(count int, took time.Duration, reason Reason) {
	for range count {
		id, _ := driver.request("high", fmt.Sprint("feed", driver.nextID), asWrite)
		driver.now += 10 * ms
		driver.endAttempt(id, reason, took)
	}
}

// readOtherKeys sends reads of keys that tests do not use otherwise. Without these reads, the key that a test reads
// would get most of all requests, which would make it a hot key.
func (driver *routerDriver) readOtherKeys(count int) {
	for range count {
		id, _ := driver.request("high", fmt.Sprint("other", driver.nextID), nil)
		driver.endAttempt(id, Succeeded, ms)
	}
}

// ownerOf returns the id of the cache server that owns the key.
func (driver *routerDriver) ownerOf(key string) string {
	order := driver.router.orderOf(slotOf(key), &request{})
	return order.next().ID
}

// keyOwnedBy returns a key that starts with the prefix and is owned by the server.
func (driver *routerDriver) keyOwnedBy(id, prefix string) string {
	driver.t.Helper()
	for i := range 1000 {
		if key := fmt.Sprint(prefix, i); driver.ownerOf(key) == id {
			return key
		}
	}
	driver.t.Fatalf("none of 1000 keys is owned by %s", id)
	return ""
}

// sentTo returns the server to which the router sends an attempt. It fails the test unless exactly one of the actions
// is a Send.
func (driver *routerDriver) sentTo(actions []Action) string {
	driver.t.Helper()
	sends := actionsOf[Send](actions)
	if len(sends) != 1 {
		driver.t.Fatalf("got %v, want one send", actions)
	}
	return sends[0].Server
}

// actionsOf returns the actions of type A.
func actionsOf[A Action](actions []Action) (found []A) {
	for _, action := range actions {
		if typed, ok := action.(A); ok {
			found = append(found, typed)
		}
	}
	return found
}
