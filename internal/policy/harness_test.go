package policy

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

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
			{Name: "keyed", PriorityWeight: 10, LatencyObjective: time.Second, Effect: Deduplicated, DedupWindow: 800 * ms},
			{Name: "keyed-zone", PriorityWeight: 10, LatencyObjective: time.Second, Effect: Deduplicated, DedupScope: SameZone, DedupWindow: 800 * ms},
			{Name: "unsafe", PriorityWeight: 10, LatencyObjective: time.Second, Effect: AtMostOnce},
		},
		Tenants: []Tenant{{Name: "t", Quota: 20}},
	}
}

// routerDriver drives one router by hand. It is no simulator: every event is written by the test.
type routerDriver struct {
	t         *testing.T
	router    *Router
	now       Time
	nextID    uint64
	sendCount map[uint64]int
}

func newDriver(t *testing.T, settings Settings, servers ...string) *routerDriver {
	t.Helper()
	r, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	driver := &routerDriver{t: t, router: r, now: 100 * time.Second, nextID: 1, sendCount: map[uint64]int{}}
	list := EndpointUpdate{Scope: CachedList, Servers: []Server{{ID: "o", Kind: "origin", Zone: "a"}}}
	for _, id := range servers {
		list.Servers = append(list.Servers, Server{ID: id, Kind: "cache", Zone: "a", Capacity: 1})
	}
	driver.handle(list)
	return driver
}

func (driver *routerDriver) handle(ev Event) []Action {
	actions := driver.router.Handle(driver.now, ev)
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			driver.sendCount[s.ID]++
		}
	}
	return actions
}

func (driver *routerDriver) request(class, key string, change func(*Request)) (uint64, []Action) {
	q := Request{ID: driver.nextID, Class: class, Key: key, Deadline: driver.now + 2*time.Second}
	if change != nil {
		change(&q)
	}
	driver.nextID++
	return q.ID, driver.handle(q)
}

func (driver *routerDriver) endAttempt(id uint64, reason Reason, took time.Duration) []Action {
	ended := reason == Succeeded
	return driver.handle(Outcome{ID: id, Attempt: driver.sendCount[id] - 1, Reason: reason, Took: took, Ended: ended})
}

func actionsOf[A Action](actions []Action) (found []A) {
	for _, a := range actions {
		if v, ok := a.(A); ok {
			found = append(found, v)
		}
	}
	return found
}

func (driver *routerDriver) sentTo(actions []Action) string {
	driver.t.Helper()
	sends := actionsOf[Send](actions)
	if len(sends) != 1 {
		driver.t.Fatalf("want one send, got %v", actions)
	}
	return sends[0].Server
}

func asWrite(q *Request) { q.Write = true }

// feedOrigin gives the origin fetches that took as long as said, each from its own miss.
func (driver *routerDriver) feedOrigin(n int, took time.Duration, reason Reason) {
	for range n {
		id, _ := driver.request("high", fmt.Sprint("feed", driver.nextID), asWrite)
		driver.now += 10 * ms
		driver.endAttempt(id, reason, took)
	}
}

func (driver *routerDriver) ownerOf(key string) string {
	s, _ := driver.router.nextServer(slotOf(key), 0, &request{})
	return s.ID
}

// readOtherKeys has other keys read, so that a repeated one is not the most of all requests.
func (driver *routerDriver) readOtherKeys(n int) {
	for range n {
		id, _ := driver.request("high", fmt.Sprint("other", driver.nextID), nil)
		driver.endAttempt(id, Succeeded, ms)
	}
}

// newTrainedDriver is a router whose origin answers in 50 ms when it is quiet.
func newTrainedDriver(t *testing.T, more ...string) *routerDriver {
	driver := newDriver(t, testSettings(), append([]string{"s1", "s2", "s3"}, more...)...)
	driver.feedOrigin(80, 50*ms, Succeeded)
	return driver
}

// requestMiss asks for a key and has its cache server miss it.
func (driver *routerDriver) requestMiss(class, key string, change func(*Request)) (uint64, []Action) {
	id, actions := driver.request(class, key, change)
	if len(actionsOf[Send](actions)) == 1 {
		actions = driver.endAttempt(id, Miss, ms)
	}
	return id, actions
}
