package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// CancelMode says which requests of a connection are dropped when the connection ends.
type CancelMode int

// Modes of cancellation.
const (
	CancelNone   CancelMode = iota // when a connection ends, none of its requests is dropped; all are executed
	CancelQueued                   // when a connection ends, its queued requests are dropped
	CancelAll                      // when a connection ends, its queued and running requests are dropped
)

// CacheServerKind holds the properties that all cache servers of one kind share.
type CacheServerKind struct {
	Name              string
	Cores             int
	Speed             float64       // speed of a core, as a multiple of a standard core's
	Slots             int           // requests that are executed at the same time
	Queue             int           // requests that may wait for a slot; further requests are rejected
	SlowStartFloor    float64       // fraction of its full speed that a server has when it starts
	SlowStartDuration time.Duration // time until a server reaches its full speed; until then its speed grows linearly
	Memory            int64         // bytes available for cached values
	FIFO              bool          // evict the value that was stored first instead of the least recently used one
	MaxConnections    int           // limit of open connections; further connections are reset; 0 means no limit
	ConnectionWork    time.Duration // work that a new connection costs
	HealthCheckWork   time.Duration // work that a health check costs
	MissWork          float64       // work that a miss costs, as a fraction of the request's work
	ChokeAt           float64       // requests per core above which contention slows the server down; 0 means never
	Choke             float64       // each request per core above ChokeAt adds this to the number by which the speed is divided
	Cancel            CancelMode
	DropExpired       bool    // reject requests whose deadline passed while they were queued
	ErrorRate         float64 // fraction of the hits that fail after their work was done
	// A server in slow start crashes permanently if the work that is sent to it during OverloadWindow exceeds OverloadFactor
	// times its capacity. If OverloadFactor is 0, no server crashes.
	OverloadFactor float64
	OverloadWindow time.Duration
}

// slowStartStep is the longest time for which the rate of a server in slow start is treated as constant.
const slowStartStep = 100 * time.Millisecond

// finishTolerance is the remaining work, in seconds, at which a request already counts as finished. It is larger than
// the sum of the rounding errors.
const finishTolerance = 1e-12

// latencyWeight is the weight of the latest sample in the moving average of the latency.
const latencyWeight = 0.1

// cacheServer executes requests. As an operating system's scheduler does, it shares its cores evenly among the running
// requests: of n requests, each gets speed*cores/n, but at most the speed of one core. servedWork is the work that a
// request would have received if it had run since the start of the process. This single figure serves for all running
// requests, so the cost of an event is logarithmic in their number.
type cacheServer struct {
	kind   *CacheServerKind
	speed  float64 // speed of a core, as a multiple of a standard core's
	memory *cache
	random *rand.Rand

	startedAt   Time // start of the process
	isWarm      bool // slow start is over
	hasCrashed  bool
	faultFactor float64 // factor that faults apply to the speed; 0 stops all work

	advancedTo  Time
	servedWork  float64 // seconds of work that one request would have received if it had run since the start of the process
	running     executionHeap
	waiting     []*execution
	inFlight    map[ConnID]int // number of queued and running requests of each open connection
	meanLatency float64        // moving average of the execution time, in seconds
	recentWork  []sentWork     // work sent during slow start; see overloadedBy
}

// sentWork is an amount of work that was sent to a server in slow start.
type sentWork struct {
	at      Time
	seconds float64
}

func newCacheServer(kind *CacheServerKind, speed float64, now Time, warmingUp bool, random *rand.Rand) *cacheServer {
	server := &cacheServer{kind: kind, speed: speed, memory: newCache(kind.Memory, kind.FIFO), random: random, faultFactor: 1,
		inFlight: map[ConnID]int{}}
	server.restart(now, warmingUp)
	return server
}

// restart starts a new process with an empty cache and no requests. If warmingUp is false, the process counts as started
// long ago and skips slow start.
func (c *cacheServer) restart(now Time, warmingUp bool) {
	c.memory.clear()
	c.startedAt, c.advancedTo, c.isWarm = now, now, !warmingUp
	c.hasCrashed, c.recentWork = false, nil
	c.running, c.waiting, c.servedWork, c.meanLatency = nil, nil, 0, 0
	clear(c.inFlight)
}

// slowStart returns the fraction of its full speed that the server has. It is 1 after slow start.
func (c *cacheServer) slowStart(now Time) float64 {
	age := now - c.startedAt
	if c.isWarm || c.kind.SlowStartDuration <= 0 || age >= c.kind.SlowStartDuration {
		return 1
	}
	return c.kind.SlowStartFloor + (1-c.kind.SlowStartFloor)*float64(age)/float64(c.kind.SlowStartDuration)
}

// capacity returns the work that all cores together do per second if no fault slows them down.
func (c *cacheServer) capacity(now Time) float64 {
	return float64(c.kind.Cores) * c.speed * c.slowStart(now)
}

// rate returns the work that each running request receives per second.
func (c *cacheServer) rate(now Time) float64 {
	running := float64(len(c.running))
	if running == 0 {
		return 0
	}
	cores := float64(c.kind.Cores)
	rate := c.speed * c.slowStart(now) * c.faultFactor * math.Min(1, cores/running)
	if perCore := (running + float64(len(c.waiting))) / cores; c.kind.ChokeAt > 0 && perCore > c.kind.ChokeAt {
		rate /= 1 + c.kind.Choke*(perCore-c.kind.ChokeAt)
	}
	return rate
}

// advance brings servedWork and isWarm up to the given time.
func (c *cacheServer) advance(now Time) {
	for c.advancedTo < now {
		step := now - c.advancedTo
		if !c.isWarm {
			step = min(step, slowStartStep)
		}
		c.servedWork += c.rate(c.advancedTo+step/2) * step.Seconds()
		c.advancedTo += step
		if now-c.startedAt >= c.kind.SlowStartDuration {
			c.isWarm = true
		}
	}
}

// nextFinish returns when the next request will be finished at the current rate, or Never. During slow start it
// returns an earlier time if the rate has to be recomputed before.
func (c *cacheServer) nextFinish() Time {
	if len(c.running) == 0 {
		return Never
	}
	rate := c.rate(c.advancedTo)
	if rate <= 0 {
		return Never
	}
	remaining := max(0, c.running[0].finishAt-c.servedWork)
	at := c.advancedTo + time.Duration(math.Ceil(remaining/rate*1e9)) + 1
	if !c.isWarm {
		at = min(at, c.advancedTo+slowStartStep)
	}
	return at
}

// overloadedBy records work, in seconds, that was sent to the server. It reports whether the server crashes because of this work:
// a server in slow start crashes if it got more than OverloadFactor times its capacity within OverloadWindow. Small numbers of
// requests arrive unevenly, so the limit is raised: if it equals the work of N mean requests, 2*sqrt(N)+2 more mean requests are
// allowed.
func (c *cacheServer) overloadedBy(now Time, work float64) bool {
	if c.isWarm || c.kind.OverloadFactor <= 0 || c.hasCrashed {
		return false
	}
	c.recentWork = append(c.recentWork, sentWork{now, work})
	for now-c.recentWork[0].at > c.kind.OverloadWindow {
		c.recentWork = c.recentWork[1:]
	}
	sum := 0.0
	for _, sent := range c.recentWork {
		sum += sent.seconds
	}
	mean := sum / float64(len(c.recentWork))
	limit := c.kind.OverloadFactor * c.capacity(now) * c.kind.OverloadWindow.Seconds()
	return mean > 0 && sum > limit+mean*(2*math.Sqrt(limit/mean)+2)
}

// receive puts a request into the queue and decides its outcome from what is cached now. accepted is false if the
// server rejects the request because the queue is full.
func (c *cacheServer) receive(request *Request, isHealthCheck bool) (exec *execution, accepted bool) {
	exec = &execution{Request: request, isHealthCheck: isHealthCheck, work: request.Work.Seconds(), outcome: Rejected}
	if len(c.running) >= c.kind.Slots && len(c.waiting) >= c.kind.Queue {
		return exec, false
	}
	switch value, cached := c.memory.get(request.Key); {
	case isHealthCheck:
		exec.outcome = Pong
	case request.Write || !cached: // only the origin executes writes
		exec.outcome = Miss
		exec.work *= c.kind.MissWork
	case c.kind.ErrorRate > 0 && c.random.Float64() < c.kind.ErrorRate:
		exec.outcome = Failed
	default:
		exec.outcome, exec.copy = Hit, value
	}
	c.inFlight[request.Conn]++
	c.waiting = append(c.waiting, exec)
	return exec, true
}

// startWaiting moves queued requests into free slots. If CacheServerKind.DropExpired is set, it rejects and returns the queued
// requests whose deadline has passed.
func (c *cacheServer) startWaiting(now Time) (expired []*execution) {
	for len(c.waiting) > 0 && len(c.running) < c.kind.Slots {
		exec := c.waiting[0]
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
		if c.kind.DropExpired && !exec.isHealthCheck && now > exec.Deadline {
			exec.outcome = Rejected
			expired = append(expired, exec)
			c.release(exec)
			continue
		}
		exec.startedAt, exec.finishAt = now, c.servedWork+exec.work
		heap.Push(&c.running, exec)
	}
	return expired
}

// finish removes and returns the requests that are finished, in the order in which they finished.
func (c *cacheServer) finish(now Time) (finished []*execution) {
	for len(c.running) > 0 && c.running[0].finishAt <= c.servedWork+finishTolerance {
		exec := heap.Pop(&c.running).(*execution)
		c.release(exec)
		if !exec.isHealthCheck {
			c.meanLatency += latencyWeight * ((now - exec.startedAt).Seconds() - c.meanLatency)
		}
		finished = append(finished, exec)
	}
	return finished
}

// release removes a request from the count of its connection, if the connection is still open.
func (c *cacheServer) release(exec *execution) {
	if inFlight, open := c.inFlight[exec.Conn]; open {
		c.inFlight[exec.Conn] = inFlight - 1
	}
}

// connectionClosed drops the requests of a closed connection that the kind's CancelMode covers.
func (c *cacheServer) connectionClosed(id ConnID) {
	inFlight := c.inFlight[id]
	delete(c.inFlight, id)
	if inFlight == 0 || c.kind.Cancel == CancelNone {
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(exec *execution) bool { return exec.Conn == id })
	if c.kind.Cancel == CancelAll {
		c.running.removeConnection(id)
	}
}

// load returns the server's load report.
func (c *cacheServer) load() Load {
	return Load{Inflight: len(c.running) + len(c.waiting), Latency: time.Duration(c.meanLatency * 1e9)}
}
