// Package clients sends a load: requests come on a schedule drawn ahead, whether or not earlier ones
// have been answered, and latency counts from the time at which each was due. It looks at every answer as a client
// would and tells the rules what it saw.
package clients

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/internal/testbed/workload"
)

// Node is a node as clients see it. Each of its functions may be called at any time; one that is nil says that nothing
// is ever ended.
type Node struct {
	Addr string
	// Process returns a function for the process that is there now: whether the rig has told it to end, so that its
	// connections may close between requests at any time.
	Process func() (stopping func() bool)
	// Used tells whether the front hands out connections to it.
	Used func() bool
}

// Observer is told what clients see; its methods must not wait for long.
type Observer interface {
	// RequestSent: the last byte of a request is about to be written to a node; wait is how long its client waits from now.
	RequestSent(id, class string, node int, wait time.Duration)
	// RequestAnswered: the last byte of a final answer was read.
	RequestAnswered(id string, kind invariants.Final, value []byte)
	// ConnectionEnded: the node ended the connection with the answer owed, and may, if unread, never have read the request.
	ConnectionEnded(id string, unread bool)
}

// Options say how a load is sent.
type Options struct {
	Nodes    []Node
	Observer Observer // may be nil
	// Closed, if above 0, sends the same requests in a closed loop instead: so many clients, each of which sends its
	// next request when it has the last answer. It is there to show what that hides.
	Closed int
	// Source, if set, gives out what is due in place of the plan's schedule; classes and nodes are the plan's.
	Source func() (workload.Arrival, bool)
	// Record, if set, gets every request as it is taken in hand.
	Record func(workload.Arrival)
	// MaxInFlight bounds the requests that are out at a time; one more makes the run invalid. 0 is 50,000.
	MaxInFlight int
}

// Class is what a class of requests came to.
type Class struct {
	Name                                                 string
	Scheduled, Served, WithinObjective, Rejected, Failed int64
	Unanswered, Unsent                                   int64 // without an answer; for which no node could be reached
	// Latency is of those served, in microseconds from when they were due; Service from when they were sent, which
	// leaves out what they waited for their turn.
	Latency, Service *hdrhistogram.Histogram
}

// Clients is a load that runs, or has run.
type Clients struct {
	plan  *scenario.Plan
	opt   Options
	start time.Time
	wg    sync.WaitGroup

	mu      sync.Mutex
	classes []Class
	gen     generator
	idle    [][]*conn // by node; the one used last is at the end
}

// New makes a load of a plan.
func New(plan *scenario.Plan, opt Options) *Clients {
	if opt.MaxInFlight == 0 {
		opt.MaxInFlight = 50000
	}
	l := &Clients{plan: plan, opt: opt, idle: make([][]*conn, len(opt.Nodes)), gen: newGenerator(plan.Length)}
	for _, c := range plan.Classes {
		l.classes = append(l.classes, Class{Name: c.Name, Latency: histogram(), Service: histogram()})
	}
	return l
}

// histogram is of microseconds, up to two minutes; what is longer counts as that.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest.Microseconds(), 2) }

const longest = 2 * time.Minute

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(1, d.Microseconds()), longest.Microseconds()))
}

// Run sends the load until its end or that of the context, and returns when every request has an answer or its time
// is over.
func (l *Clients) Run(ctx context.Context) {
	l.start = time.Now()
	l.gen.begin()
	next := l.requests()
	if l.opt.Closed > 0 {
		l.closedLoop(ctx, next)
	} else {
		l.openLoop(ctx, next)
	}
	l.wg.Wait()
	l.gen.end()
	l.closeIdle()
}

// requests gives out the requests of the schedule.
func (l *Clients) requests() func() (request, bool) {
	source := l.opt.Source
	if source == nil {
		source = workload.New(l.plan.Workload).Next
	}
	run := strconv.FormatUint(rand.Uint64()>>32, 16)
	n := 0
	return func() (request, bool) {
		a, ok := source()
		n++
		if ok && l.opt.Record != nil {
			l.opt.Record(a)
		}
		return request{Arrival: a, id: fmt.Sprintf("%s-%d", run, n)}, ok
	}
}

// openLoop sends each request when it is due, whatever became of those before.
func (l *Clients) openLoop(ctx context.Context, next func() (request, bool)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for q, ok := next(); ok; q, ok = next() {
		timer.Reset(time.Until(l.start.Add(q.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if !l.gen.sends(time.Since(l.start)-q.At, l.opt.MaxInFlight) {
			l.count(q, func(c *Class) { c.Scheduled++; c.Unsent++ })
			continue
		}
		l.wg.Go(func() {
			defer l.gen.done()
			l.serve(q)
		})
	}
}

// closedLoop sends each request when the client before has its answer.
func (l *Clients) closedLoop(ctx context.Context, next func() (request, bool)) {
	if l.plan.Peak() <= 0 {
		return
	}
	var mu sync.Mutex
	end := l.start.Add(l.plan.Length)
	for range l.opt.Closed {
		l.wg.Go(func() {
			for ctx.Err() == nil && time.Now().Before(end) {
				mu.Lock()
				q, ok := next()
				for !ok && l.opt.Source == nil { // a loop that is faster than the schedule begins another
					l.plan.Workload.Seed++
					next = l.requests()
					q, ok = next()
				}
				mu.Unlock()
				if !ok {
					return
				}
				q.At = time.Since(l.start) // that is the point: it is due when there is time for it
				l.gen.sends(0, l.opt.MaxInFlight)
				l.serve(q)
				l.gen.done()
			}
		})
	}
}

type request struct {
	workload.Arrival
	id string
}

// pick is the node that the front gives a client: the one drawn, or the next that is in use.
func (l *Clients) pick(drawn int) (int, bool) {
	for i := range l.opt.Nodes {
		n := (drawn + i) % len(l.opt.Nodes)
		if used := l.opt.Nodes[n].Used; used == nil || used() {
			return n, true
		}
	}
	return 0, false
}

type conn struct {
	net.Conn
	rd       *bufio.Reader
	used     time.Time // when it last had an answer; zero for a new one
	stopping func() bool
}

// stale tells whether the node has closed a connection that stood idle. A client sees that before it writes.
func (c *conn) stale() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || !errors.Is(peeked, syscall.EAGAIN)
}

// crossing is how long a connection must have been idle for its close to pass for one between requests.
const crossing = time.Second

func (l *Clients) serve(q request) {
	l.count(q, func(c *Class) { c.Scheduled++ })
	for i := range 3 {
		if i > 0 {
			q.id += "r" // every try has an id of its own
		}
		if l.try(q) {
			return
		}
	}
	l.count(q, func(c *Class) { c.Unsent++ })
}

// try sends a request once. It is false where the node never read it and it may go out again.
func (l *Clients) try(q request) (over bool) {
	n, ok := l.pick(q.Node)
	if !ok {
		time.Sleep(50 * time.Millisecond)
		return false
	}
	class := l.plan.Classes[q.Class]
	c, err := l.conn(n)
	if err != nil {
		time.Sleep(50 * time.Millisecond) // a front takes a moment to notice
		return false
	}
	if w := l.opt.Observer; w != nil {
		w.RequestSent(q.id, class.Name, n, class.Deadline.D())
	}
	sent := time.Now()
	c.SetDeadline(sent.Add(class.Deadline.D() + l.plan.Invariants.Grace.D() + 500*time.Millisecond))
	_, err = c.Write(q.words(class))
	var kind invariants.Final
	var value []byte
	if err == nil {
		kind, value, err = c.answer()
	}
	if err != nil {
		c.Close()
		return l.ended(q, c, sent, err)
	}
	if w := l.opt.Observer; w != nil {
		w.RequestAnswered(q.id, kind, value)
	}
	c.used = time.Now()
	took, service := c.used.Sub(l.start)-q.At, c.used.Sub(sent)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[n] = append(l.idle[n], c)
	k := &l.classes[q.Class]
	switch kind {
	case invariants.Served:
		k.Served++
		if took <= class.LatencyObjective.D() {
			k.WithinObjective++
		}
		record(k.Latency, took)
		record(k.Service, service)
		l.gen.served(q.At, took)
	case invariants.Rejected:
		k.Rejected++
	case invariants.Failed:
		k.Failed++
	}
	return true
}

// ended deals with a connection that ended, or stayed silent, with an answer owed on it.
func (l *Clients) ended(q request, c *conn, sent time.Time, err error) (over bool) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() { // the rules find it at the deadline
		l.count(q, func(k *Class) { k.Unanswered++ })
		return true
	}
	unread := !c.used.IsZero() && sent.Sub(c.used) > crossing || c.stopping()
	if w := l.opt.Observer; w != nil {
		w.ConnectionEnded(q.id, unread)
	}
	if unread {
		return false
	}
	l.count(q, func(k *Class) { k.Unanswered++ })
	return true
}

func (l *Clients) count(q request, f func(*Class)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.classes[q.Class])
}

// conn takes the connection to a node that was used last, or opens one.
func (l *Clients) conn(n int) (*conn, error) {
	for {
		l.mu.Lock()
		k := len(l.idle[n])
		if k == 0 {
			l.mu.Unlock()
			break
		}
		c := l.idle[n][k-1]
		l.idle[n] = l.idle[n][:k-1]
		l.mu.Unlock()
		if !c.stale() {
			return c, nil
		}
		c.Close()
	}
	stopping := func() bool { return false }
	if p := l.opt.Nodes[n].Process; p != nil {
		stopping = p()
	}
	nc, err := net.DialTimeout("tcp", l.opt.Nodes[n].Addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, rd: bufio.NewReader(nc), stopping: stopping}, nil
}

func (l *Clients) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, conns := range l.idle {
		for _, c := range conns {
			c.Close()
		}
		l.idle[n] = nil
	}
}

// words is the command of a request.
func (q request) words(class scenario.Class) []byte {
	extras := fmt.Sprintf("c=%s,d=%d", class.Name, class.Deadline.D().Milliseconds())
	if q.IdempotencyKey != "" {
		extras += ",k=" + q.IdempotencyKey
	}
	b := redcon.AppendArray(nil, map[bool]int{false: 4, true: 5}[class.Write])
	b = redcon.AppendBulkString(b, map[bool]string{false: "CACHE.GET", true: "CACHE.SET"}[class.Write])
	b = redcon.AppendBulkString(b, q.Key)
	b = redcon.AppendBulkString(b, q.id)
	b = redcon.AppendBulkString(b, extras)
	if class.Write {
		b = redcon.AppendBulkString(b, strings.Repeat("v", q.Size))
	}
	return b
}

// answer reads one answer.
func (c *conn) answer() (invariants.Final, []byte, error) {
	line, err := c.rd.ReadString('\n')
	if err != nil {
		return 0, nil, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if strings.HasPrefix(line, "*") { // an array that begins with the value
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 1 {
			return invariants.Failed, nil, err
		}
		kind, value, err := c.answer()
		for range n - 1 {
			if err == nil {
				_, _, err = c.answer()
			}
		}
		return kind, value, err
	}
	switch {
	case line == "$-1":
		return invariants.Failed, nil, nil
	case strings.HasPrefix(line, "$"):
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 || n > 1<<20 {
			return 0, nil, fmt.Errorf("bad length %q", line)
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(c.rd, b); err != nil {
			return 0, nil, err
		}
		return invariants.Served, b[:n], nil
	case strings.HasPrefix(line, "-BUSY"):
		return invariants.Rejected, nil, nil
	}
	return invariants.Failed, nil, nil
}

// Classes is what the load came to so far.
func (l *Clients) Classes() (classes []Class) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.classes {
		c.Latency, c.Service = hdrhistogram.Import(c.Latency.Export()), hdrhistogram.Import(c.Service.Export())
		classes = append(classes, c)
	}
	return classes
}

// Generator is how the generator itself did.
func (l *Clients) Generator() Generator {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gen.report()
}
