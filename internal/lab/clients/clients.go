// Package clients is a light load of the lab: requests come on a schedule drawn ahead, whether or not earlier ones
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

	"shelfproxy/internal/lab/emulate"
	"shelfproxy/internal/lab/model"
	"shelfproxy/internal/lab/rules"
	"shelfproxy/internal/lab/scenario"
)

// Node is a node as clients see it. Each of its functions may be called at any time.
type Node struct {
	Addr string
	// Process returns a function for the process that is there now: whether the rig has told it to end, so that its
	// connections may close between requests at any time.
	Process func() (stopping func() bool)
	// Used tells whether the front hands out connections to it.
	Used func() bool
}

// Class is what a class of requests came to.
type Class struct {
	Name                                string
	Due, Served, InAim, Refused, Failed int64
	Lost, Unsent                        int64                   // without an answer; for which no node could be reached
	Latency                             *hdrhistogram.Histogram // microseconds, of those served, from when they were due
}

// Load is a load that runs, or has run.
type Load struct {
	plan  *scenario.Plan
	em    *emulate.Emulator
	nodes []Node
	start time.Time
	wg    sync.WaitGroup

	mu      sync.Mutex
	classes []Class
	late    *hdrhistogram.Histogram // microseconds from when a request was due to when it was sent on
	idle    [][]*conn               // by node; the one used last is at the end
}

// New makes a load of a plan.
func New(plan *scenario.Plan, em *emulate.Emulator, nodes []Node) *Load {
	l := &Load{plan: plan, em: em, nodes: nodes, late: histogram(), idle: make([][]*conn, len(nodes))}
	for _, c := range plan.Class {
		l.classes = append(l.classes, Class{Name: c.Name, Latency: histogram()})
	}
	return l
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 2)
}

// Run sends the load until its end or that of the context, and returns when every request has an answer or its time
// is over.
func (l *Load) Run(ctx context.Context) {
	l.start = time.Now()
	r := model.Stream(l.plan.Seed, "clients")
	zipf := rand.NewZipf(r, l.plan.Skew, 1, uint64(max(0, l.plan.Keys-1)))
	run := strconv.FormatUint(rand.Uint64()>>32, 16)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for at, n := time.Duration(0), 0; l.plan.Rate > 0; n++ {
		at += time.Duration(r.ExpFloat64() / l.plan.Rate * float64(time.Second)) // Poisson arrivals
		q := request{due: at, class: l.drawClass(r), node: l.drawNode(r), id: fmt.Sprintf("%s-%d", run, n),
			key: "k" + strconv.FormatUint(zipf.Uint64(), 36), once: strconv.FormatUint(r.Uint64(), 16)}
		if c := l.plan.Class[q.class]; c.Write {
			q.size = c.Bytes.Int(r)
		}
		if at > l.plan.Length {
			break
		}
		timer.Reset(time.Until(l.start.Add(at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			l.wg.Wait()
			l.closeIdle()
			return
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.serve(q)
		}()
	}
	l.wg.Wait()
	l.closeIdle()
}

type request struct {
	due         time.Duration
	class, node int
	id, key     string
	once        string
	size        int
}

func (l *Load) drawClass(r *rand.Rand) int {
	total := 0.0
	for _, c := range l.plan.Class {
		total += c.Share
	}
	at := r.Float64() * total
	for i, c := range l.plan.Class {
		if at -= c.Share; at < 0 {
			return i
		}
	}
	return len(l.plan.Class) - 1
}

func (l *Load) drawNode(r *rand.Rand) int {
	at := r.Float64()
	for i, s := range l.plan.Shares {
		if at -= s; at < 0 {
			return i
		}
	}
	return len(l.nodes) - 1
}

// pick is the node that the front gives a client: the one drawn, or the next that is in use.
func (l *Load) pick(drawn int) (int, bool) {
	for i := range l.nodes {
		n := (drawn + i) % len(l.nodes)
		if l.nodes[n].Used() {
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

func (l *Load) serve(q request) {
	l.mu.Lock()
	l.classes[q.class].Due++
	l.late.RecordValue(max(1, (time.Since(l.start) - q.due).Microseconds()))
	l.mu.Unlock()
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
func (l *Load) try(q request) (over bool) {
	n, ok := l.pick(q.node)
	if !ok {
		time.Sleep(50 * time.Millisecond)
		return false
	}
	class := l.plan.Class[q.class]
	c, err := l.conn(n)
	if err != nil {
		time.Sleep(50 * time.Millisecond) // a front takes a moment to notice
		return false
	}
	sent := time.Now()
	deadline := sent.Add(class.Deadline.D())
	due := l.em.Now() + class.Deadline.D()
	l.em.Tell(func(now time.Duration, check *rules.Checker) { check.Taken(now, q.id, class.Name, n, due) })
	c.SetDeadline(deadline.Add(l.plan.Rules.Grace.D() + 500*time.Millisecond))
	_, err = c.Write(q.words(class))
	var kind rules.Final
	var value []byte
	if err == nil {
		kind, value, err = c.answer()
	}
	if err != nil {
		c.Close()
		return l.ended(q, n, c, sent, err)
	}
	madeFor := emulate.MadeFor(value)
	l.em.Tell(func(now time.Duration, check *rules.Checker) { check.Answered(now, q.id, kind, madeFor) })
	c.used = time.Now()
	l.mu.Lock()
	l.idle[n] = append(l.idle[n], c)
	l.mu.Unlock()
	took := time.Since(l.start) - q.due
	l.count(q, func(k *Class) {
		switch kind {
		case rules.Served:
			k.Served++
			if took <= class.Aim.D() {
				k.InAim++
			}
			k.Latency.RecordValue(max(1, took.Microseconds()))
		case rules.Refused:
			k.Refused++
		case rules.Failed:
			k.Failed++
		}
	})
	return true
}

// ended deals with a connection that ended, or stayed silent, with an answer owed on it.
func (l *Load) ended(q request, n int, c *conn, sent time.Time, err error) (over bool) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() { // the rules find it at the deadline
		l.count(q, func(k *Class) { k.Lost++ })
		return true
	}
	unread := !c.used.IsZero() && sent.Sub(c.used) > crossing || c.stopping()
	l.em.Tell(func(now time.Duration, check *rules.Checker) { check.Ended(now, q.id, unread) })
	if unread {
		return false
	}
	l.count(q, func(k *Class) { k.Lost++ })
	return true
}

func (l *Load) count(q request, f func(*Class)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.classes[q.class])
}

// conn takes the connection to a node that was used last, or opens one.
func (l *Load) conn(n int) (*conn, error) {
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
	stopping := l.nodes[n].Process()
	nc, err := net.DialTimeout("tcp", l.nodes[n].Addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, rd: bufio.NewReader(nc), stopping: stopping}, nil
}

func (l *Load) closeIdle() {
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
	if class.Effect == "deduplicated" {
		extras += ",k=" + q.once
	}
	b := redcon.AppendArray(nil, map[bool]int{false: 4, true: 5}[class.Write])
	b = redcon.AppendBulkString(b, map[bool]string{false: "CACHE.GET", true: "CACHE.SET"}[class.Write])
	b = redcon.AppendBulkString(b, q.key)
	b = redcon.AppendBulkString(b, q.id)
	b = redcon.AppendBulkString(b, extras)
	if class.Write {
		b = redcon.AppendBulkString(b, strings.Repeat("v", q.size))
	}
	return b
}

// answer reads one answer.
func (c *conn) answer() (rules.Final, []byte, error) {
	line, err := c.rd.ReadString('\n')
	if err != nil {
		return 0, nil, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if strings.HasPrefix(line, "*") { // an array that begins with the value
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 1 {
			return rules.Failed, nil, err
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
		return rules.Failed, nil, nil
	case strings.HasPrefix(line, "$"):
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 || n > 1<<20 {
			return 0, nil, fmt.Errorf("bad length %q", line)
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(c.rd, b); err != nil {
			return 0, nil, err
		}
		return rules.Served, b[:n], nil
	case strings.HasPrefix(line, "-BUSY"):
		return rules.Refused, nil, nil
	}
	return rules.Failed, nil, nil
}

// Classes is what the load came to so far, and how late requests were sent.
func (l *Load) Classes() (classes []Class, late *hdrhistogram.Histogram) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.classes {
		c.Latency = hdrhistogram.Import(c.Latency.Export())
		classes = append(classes, c)
	}
	return classes, hdrhistogram.Import(l.late.Export())
}
