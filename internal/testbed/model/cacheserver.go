package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// CancelMode says what the end of a connection does to the requests that arrived on it.
type CancelMode int

// The modes of cancellation.
const (
	CancelNone   CancelMode = iota // all requests are executed
	CancelQueued                   // queued requests are dropped
	CancelAll                      // queued and running requests are dropped
)

// CacheServerKind is what the cache servers of a kind have in common.
type CacheServerKind struct {
	Name              string
	Cores             int
	Speed             float64       // of a core, against the standard one
	Slots             int           // requests executed at once
	Queue             int           // requests that wait for a slot; further ones are rejected
	SlowStartFloor    float64       // fraction of its speed that a server has as it starts
	SlowStartDuration time.Duration // until it has all of its speed, which grows linearly
	Memory            int64         // bytes for cached values
	FIFO              bool          // evicts the value that was stored first instead of the least recently used one
	MaxConnections    int           // open connections; further ones are reset; 0 is no limit
	ConnectionWork    time.Duration // cost of a new connection
	HealthCheckWork   time.Duration // cost of a health check
	MissWork          float64       // cost of a miss, as a fraction of the request's work
	ChokeAt           float64       // requests per core beyond which contention slows the server down; 0 is never
	Choke             float64       // contention that each further request per core adds
	Cancel            CancelMode
	DropExpired       bool    // rejects requests whose deadline passed in the queue
	ErrorRate         float64 // fraction of the hits that fail after their work
	// A server in slow start crashes for good if more work than OverloadFactor times its capacity is sent to it
	// during OverloadWindow. A factor of 0 is never.
	OverloadFactor float64
	OverloadWindow time.Duration
}

// slowStartStep is the longest time over which the rate of a server in slow start is taken as constant.
const slowStartStep = 100 * time.Millisecond

// finishTolerance is the work, in seconds, that may be missing when a request counts as finished: more than rounding
// errors add up to.
const finishTolerance = 1e-12

// latencyWeight is the weight of the latest sample in the moving mean of the latency.
const latencyWeight = 0.1

// cacheServer executes requests. Its cores are shared evenly among the requests in execution, as a scheduler does:
// each gets speed times cores divided by their number, at most one core's worth. The work that a request would have
// got since the start of the process is a single figure for all of them, so an event costs the logarithm of their
// number.
type cacheServer struct {
	kind   *CacheServerKind
	speed  float64 // factor on the speed of a standard core
	memory *cache
	random *rand.Rand

	startedAt   Time // of the process
	isWarm      bool // slow start is over
	hasCrashed  bool
	faultFactor float64 // of the speed, by faults; 0 stops all work

	advancedTo  Time
	servedWork  float64 // seconds of work that a request in execution since the start would have got
	running     executionHeap
	waiting     []*execution
	inFlight    map[ConnID]int // executions by open connection
	meanLatency float64        // seconds
	recentWork  []sentWork     // during slow start; see overloadedBy
}

// sentWork is work that was sent to a server in slow start.
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

// restart starts a new process, with an empty cache and no requests. One that is not warmingUp is taken to have
// started long ago.
func (c *cacheServer) restart(now Time, warmingUp bool) {
	c.memory.clear()
	c.startedAt, c.advancedTo, c.isWarm = now, now, !warmingUp
	c.hasCrashed, c.recentWork = false, nil
	c.running, c.waiting, c.servedWork, c.meanLatency = nil, nil, 0, 0
	clear(c.inFlight)
}

// slowStart returns the fraction of its speed that the server has, 1 after slow start.
func (c *cacheServer) slowStart(now Time) float64 {
	age := now - c.startedAt
	if c.isWarm || c.kind.SlowStartDuration <= 0 || age >= c.kind.SlowStartDuration {
		return 1
	}
	return c.kind.SlowStartFloor + (1-c.kind.SlowStartFloor)*float64(age)/float64(c.kind.SlowStartDuration)
}

// capacity returns the work that all cores together do in a second, without faults.
func (c *cacheServer) capacity(now Time) float64 {
	return float64(c.kind.Cores) * c.speed * c.slowStart(now)
}

// rate returns the work that each request in execution gets in a second.
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

// advance brings the served work up to now.
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

// nextFinish returns when the next request will be finished at the present rate, or Never. During slow start it
// returns an earlier time if the rate has to be computed anew before.
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

// overloadedBy records work, in seconds, that was sent to the server and reports whether a server in slow start
// crashes from it: it got more than OverloadFactor times its capacity within OverloadWindow. As few requests arrive
// unevenly, the limit of N requests of mean size is exceeded by 2*sqrt(N)+2 of them.
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

// receive puts a request into the queue. The outcome is decided here, from what is cached now. accepted is false if
// the server rejects the request because the queue is full.
func (c *cacheServer) receive(request *Request, isHealthCheck bool) (exec *execution, accepted bool) {
	exec = &execution{Request: request, isHealthCheck: isHealthCheck, work: request.Work.Seconds(), outcome: RejectedUnseen}
	if len(c.running) >= c.kind.Slots && len(c.waiting) >= c.kind.Queue {
		return exec, false
	}
	switch value, cached := c.memory.get(request.Key); {
	case isHealthCheck:
		exec.outcome = Pong
	case request.Write || !cached: // writes are for the origin
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

// startWaiting moves queued requests into free slots. It returns those that it rejects as their deadline has passed.
func (c *cacheServer) startWaiting(now Time) (expired []*execution) {
	for len(c.waiting) > 0 && len(c.running) < c.kind.Slots {
		exec := c.waiting[0]
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
		if c.kind.DropExpired && !exec.isHealthCheck && now > exec.Deadline {
			exec.outcome = RejectedUnseen
			expired = append(expired, exec)
			c.release(exec)
			continue
		}
		exec.startedAt, exec.finishAt = now, c.servedWork+exec.work
		heap.Push(&c.running, exec)
	}
	return expired
}

// finish removes and returns the requests that are finished, in the order in which they became so.
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

// release ends the count of an execution on its connection, if that is still open.
func (c *cacheServer) release(exec *execution) {
	if inFlight, open := c.inFlight[exec.Conn]; open {
		c.inFlight[exec.Conn] = inFlight - 1
	}
}

// connectionClosed drops the requests of a connection, as far as the kind's CancelMode says.
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

// load returns the load report.
func (c *cacheServer) load() Load {
	return Load{Inflight: len(c.running) + len(c.waiting), Latency: time.Duration(c.meanLatency * 1e9)}
}
