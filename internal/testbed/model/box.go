package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// CancelMode says what the end of a connection does to the requests that came on it.
type CancelMode int

// The modes of cancelling.
const (
	CancelNone   CancelMode = iota // all goes on
	CancelQueued                   // what waits is dropped, what runs goes on
	CancelAll                      // both are dropped
)

// CacheServerKind is what the boxes of a kind have in common.
type CacheServerKind struct {
	Name              string
	Cores             int
	Speed             float64       // of a core, against the standard one
	Slots             int           // requests served at once
	Queue             int           // requests that wait for a slot; one more is turned away
	SlowStartFloor    float64       // share of its speed at its start
	SlowStartDuration time.Duration // it has all of it by then, growing evenly
	Memory            int64         // bytes for copies
	FIFO              bool          // gives up the copy that came first, not the one used longest ago
	MaxConnections    int           // open connections; one more is refused
	ConnectionWork    time.Duration // what a new connection costs
	HealthCheckWork   time.Duration // what a probe costs
	MissWork          float64       // share of a request's work that a miss costs
	ChokeAt           float64       // requests a core from which on it slows down; 0: never
	Choke             float64       // by how much for each further one
	Cancel            CancelMode
	DropExpired       bool    // what waited past its time is turned away
	ErrorRate         float64 // of requests that fail after their work
	// Sent more work than FallFactor times what it can do, for FallAfter, a cold box falls over and stays down.
	OverloadFactor float64
	OverloadWindow time.Duration
}

// Request is one attempt as a box or the origin receives it.
type Request struct {
	Conn           ConnID
	Seq            uint64 // of the attempt; the driver's own, unique in a run
	ID             string // of the client's request
	Key            string
	Class          string
	Write          bool
	Size           int           // of the value of a write
	IdempotencyKey string        // the idempotency key, if there is one
	Work           time.Duration // on a standard core
	Deadline       Time          // when whoever sent it stops waiting
}

// ConnID is a connection, named by the driver; unique in a run.
type ConnID uint64

// Outcome is how a box or the origin answered.
type Outcome int

// The outcomes.
const (
	Hit            Outcome = iota // with a value made for this request
	Miss                          // the box has no copy
	Failed                        // an error: it may have run
	RejectedUnseen                // away, before anything ran
	Written                       // the origin's receipt
	Pong                          // to a probe
)

var outcomes = [...]string{"hit", "miss", "failed", "turned_away", "written", "pong"}

func (o Outcome) String() string { return outcomes[o] }

// Load is what a probe tells.
type Load struct {
	Inflight int
	Latency  time.Duration // recent time of service, without waiting
}

// run is a request that a box works on or holds.
type run struct {
	*Request
	probe   bool
	load    bool    // a probe that asks for the load
	work    float64 // seconds on a standard core
	arrived Time
	started Time
	ends    float64 // served work per request at which it is done
	copied  Copy
	outcome Outcome
	dropped bool
	index   int // in the heap
}

// box shares its cores evenly among the requests it serves, as a scheduler does: each gets speed times cores over
// their number, at most one core's worth. The work that each has got so far is one figure for all of them, so an
// event costs the logarithm of their number.
type box struct {
	kind    *CacheServerKind
	speed   float64 // of this box
	memory  *cache
	rand    *rand.Rand
	born    Time // last start
	warm    bool
	last    Time
	served  float64 // work that a request in service since the start would have got
	running runs
	waiting []*run
	conns   map[ConnID]int // attempts that are held for each open connection
	latency float64        // seconds, a moving mean
	factor  float64        // of speed, by faults; 0 stalls it

	sent   []charge // of late, while cold; see overloaded
	fallen bool
}

func newBox(kind *CacheServerKind, speed float64, now Time, cold bool, r *rand.Rand) *box {
	b := &box{kind: kind, speed: speed, memory: newCache(kind.Memory, kind.FIFO), rand: r, factor: 1,
		conns: map[ConnID]int{}}
	b.restart(now, cold)
	return b
}

// restart begins the life of a process: nothing held, and cold unless it started long ago.
func (b *box) restart(now Time, cold bool) {
	b.memory.clear()
	b.born, b.last, b.warm, b.fallen, b.sent = now, now, !cold, false, nil
	b.running, b.waiting, b.served, b.latency = nil, nil, 0, 0
	clear(b.conns)
}

// warmth is the share of its speed that a box has.
func (b *box) warmth(now Time) float64 {
	if b.warm || b.kind.SlowStartDuration <= 0 || now-b.born >= b.kind.SlowStartDuration {
		return 1
	}
	return b.kind.SlowStartFloor + (1-b.kind.SlowStartFloor)*float64(now-b.born)/float64(b.kind.SlowStartDuration)
}

// capacity is the work that it can do in a second, all cores together, by its own measure of warmth.
func (b *box) capacity(now Time) float64 { return float64(b.kind.Cores) * b.speed * b.warmth(now) }

// rate is the work that each request in service gets in a second.
func (b *box) rate(now Time) float64 {
	n := float64(len(b.running))
	if n == 0 {
		return 0
	}
	cores := float64(b.kind.Cores)
	per := b.speed * b.warmth(now) * b.factor * math.Min(1, cores/n)
	if crowd := (n + float64(len(b.waiting))) / cores; b.kind.ChokeAt > 0 && crowd > b.kind.ChokeAt {
		per /= 1 + b.kind.Choke*(crowd-b.kind.ChokeAt)
	}
	return per
}

// grain is the longest time over which the rate of a box that warms up is taken as one.
const grain = 100 * time.Millisecond

// advance brings the served work up to now.
func (b *box) advance(now Time) {
	for b.last < now {
		step := now - b.last
		if !b.warm {
			step = min(step, grain)
		}
		b.served += b.rate(b.last+step/2) * step.Seconds()
		b.last += step
		if now-b.born >= b.kind.SlowStartDuration {
			b.warm = true
		}
	}
}

// wake is when the next request will be done at the present rate.
func (b *box) wake() Time {
	if len(b.running) == 0 {
		return Never
	}
	rate := b.rate(b.last)
	if rate <= 0 {
		return Never
	}
	need := max(0, b.running[0].ends-b.served)
	at := b.last + time.Duration(math.Ceil(need/rate*1e9)) + 1
	if !b.warm {
		at = min(at, b.last+grain)
	}
	return at
}

// overloaded takes it that work was sent to a cold box and tells whether it falls over: within FallAfter it got more than FallFactor
// times what it can do, which is N requests of mean work, and as few requests come unevenly 2 roots of N and 2 more.
func (b *box) overloaded(now Time, work float64) bool {
	if b.warm || b.kind.OverloadFactor <= 0 || b.fallen {
		return false
	}
	b.sent = append(b.sent, charge{now, work})
	for now-b.sent[0].at > b.kind.OverloadWindow {
		b.sent = b.sent[1:]
	}
	sum := 0.0
	for _, c := range b.sent {
		sum += c.work
	}
	mean, most := sum/float64(len(b.sent)), b.kind.OverloadFactor*b.capacity(now)*b.kind.OverloadWindow.Seconds()
	return mean > 0 && sum > most+mean*(2*math.Sqrt(most/mean)+2)
}

// charge is work that was sent to a cold box.
type charge struct {
	at   Time
	work float64
}

// arrive takes a request; the outcome counts only where the box turns it away at once.
func (b *box) arrive(now Time, q *Request, probe bool) (r *run, taken bool) {
	r = &run{Request: q, probe: probe, work: q.Work.Seconds(), arrived: now, outcome: RejectedUnseen, index: -1}
	if len(b.running) >= b.kind.Slots && len(b.waiting) >= b.kind.Queue {
		return r, false
	}
	switch v, ok := b.memory.get(q.Key); {
	case probe:
		r.outcome = Pong
	case q.Write || !ok: // boxes store; writes are for the origin
		r.outcome = Miss
		r.work *= b.kind.MissWork
	case b.kind.ErrorRate > 0 && b.rand.Float64() < b.kind.ErrorRate:
		r.outcome = Failed
	default:
		r.outcome, r.copied = Hit, v
	}
	b.conns[q.Conn]++
	b.waiting = append(b.waiting, r)
	return r, true
}

// fill puts those that wait into free slots; turned are those whose time is over.
func (b *box) fill(now Time) (turned []*run) {
	for len(b.waiting) > 0 && len(b.running) < b.kind.Slots {
		r := b.waiting[0]
		b.waiting[0] = nil
		b.waiting = b.waiting[1:]
		if b.kind.DropExpired && !r.probe && now > r.Deadline {
			r.outcome = RejectedUnseen
			turned = append(turned, r)
			b.release(r)
			continue
		}
		r.started, r.ends = now, b.served+r.work
		heap.Push(&b.running, r)
	}
	return turned
}

// finish returns the requests that are done, in the order they became so.
func (b *box) finish(now Time) (done []*run) {
	for len(b.running) > 0 && b.running[0].ends <= b.served+1e-12 {
		r := heap.Pop(&b.running).(*run)
		b.release(r)
		if !r.probe {
			b.latency += 0.1 * ((now - r.started).Seconds() - b.latency)
		}
		done = append(done, r)
	}
	return done
}

func (b *box) release(r *run) {
	if n, ok := b.conns[r.Conn]; ok {
		b.conns[r.Conn] = n - 1
	}
}

// closed ends a connection and drops what the kind lets go of.
func (b *box) closed(id ConnID) {
	held := b.conns[id]
	delete(b.conns, id)
	if held == 0 || b.kind.Cancel == CancelNone {
		return
	}
	kept := b.waiting[:0]
	for _, r := range b.waiting {
		if r.Conn != id {
			kept = append(kept, r)
		}
	}
	b.waiting = kept
	if b.kind.Cancel == CancelAll {
		for i := 0; i < len(b.running); {
			if r := b.running[i]; r.Conn == id {
				heap.Remove(&b.running, i)
				i = 0
			} else {
				i++
			}
		}
	}
}

func (b *box) load() Load {
	return Load{Inflight: len(b.running) + len(b.waiting), Latency: time.Duration(b.latency * 1e9)}
}

// runs is a heap by the work at which a request is done; of equals the one that came first goes first.
type runs []*run

func (h runs) Len() int { return len(h) }
func (h runs) Less(i, j int) bool {
	return h[i].ends < h[j].ends || h[i].ends == h[j].ends && h[i].Seq < h[j].Seq
}
func (h runs) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *runs) Push(x any) {
	r := x.(*run)
	r.index = len(*h)
	*h = append(*h, r)
}
func (h *runs) Pop() any {
	end := len(*h) - 1
	r := (*h)[end]
	(*h)[end] = nil
	*h = (*h)[:end]
	r.index = -1
	return r
}
