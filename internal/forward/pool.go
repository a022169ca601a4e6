package forward

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shelfproxy/internal/flow"
)

// Forward is one attempt of a flow at a server, or a probe of it.
type Forward struct {
	Flow     *flow.Flow // nil for a probe
	Attempt  int
	Server   string
	Sent     time.Time // when the node handed it to the pool
	Deadline time.Time
	Fresh    bool // wants a connection of its own: on a kept one that is closed just then it may have run

	// Under the pool's lock.
	conn    *conn
	started bool        // some of it may be out
	moves   int         // connections that turned out to be of no use before it was written
	written bool        // all of it may be out
	given   bool        // given up: its answer is read and dropped
	timer   *time.Timer // ends its wait for a connection; stopped with it, or it would hold the flow and its value
}

// Answer is what a server sent for a forward.
type Answer struct {
	End   End
	Value []byte // Served: the value or receipt
	Load  []byte // the load report, if one came
	Close bool   // the server ends the connection after this answer
}

// Reader reads answers from one connection, in order. Wait blocks until the first byte of an answer is there.
// Buffered is how many bytes were read that belong to no answer yet.
type Reader interface {
	Wait() error
	Read() (Answer, error)
	Buffered() int
}

// ErrGarbage is returned by a Reader for bytes that are no answer.
var ErrGarbage = errors.New("no answer of this protocol")

// Codec is what differs between protocols.
type Codec interface {
	// Append appends the request's bytes.
	Append(b []byte, f *Forward, now time.Time) []byte
	NewReader(net.Conn) Reader
}

// Limits bound a pool.
type Limits struct {
	Connect time.Duration // a connection not up by then never comes up
	Idle    time.Duration // idle connections are closed after this, before the server does it
	Streams int           // forwards on one connection
	Conns   int           // connections of one pool
	Waiting int           // forwards that wait for a connection
	Share   time.Duration // a forward goes behind one that has been out for less, rather than on a new connection
}

// Budget counts the descriptors that several pools share.
type Budget struct{ total, left, refused atomic.Int64 }

// NewBudget returns a budget of n descriptors.
func NewBudget(n int) *Budget {
	b := &Budget{}
	b.Set(n)
	return b
}

// Set changes the size of the budget. Connections past a smaller one stay until they end.
func (b *Budget) Set(n int) { b.left.Add(int64(n) - b.total.Swap(int64(n))) }

// Use is how many are in use, and how often there was none left.
func (b *Budget) Use() (used int, refused int64) {
	return int(b.total.Load() - b.left.Load()), b.refused.Load()
}

func (b *Budget) take() bool {
	if b.left.Add(-1) >= 0 {
		return true
	}
	b.left.Add(1)
	b.refused.Add(1)
	return false
}

func (b *Budget) give() { b.left.Add(1) }

// own is how many connections a pool may hold beside the shared budget, so that no server is out of reach
// because others took it all.
const own = 2

// maxMoves bounds how often a forward is given another connection, for a server that spoils each at its start.
const maxMoves = 3

// Pool holds the connections to one server. Its methods never wait on a socket.
type Pool struct {
	codec  Codec
	limits Limits
	budget *Budget
	report func(*Forward, Answer)
	opened func()

	mu      sync.Mutex
	addr    string
	conns   []*conn
	idle    []*conn // the one used last is at the end
	waiting []*Forward
	dialing int
	growth  growth
	left    bool // the server drains or is gone: nothing new is written
}

// NewPool makes a pool. report is called from the pool's goroutines, once for each forward that ends by
// itself; opened for each new connection.
func NewPool(addr string, codec Codec, limits Limits, budget *Budget, report func(*Forward, Answer),
	opened func()) *Pool {
	return &Pool{addr: addr, codec: codec, limits: limits, budget: budget, report: report, opened: opened}
}

type conn struct {
	pool    *Pool
	net     net.Conn
	raw     syscall.RawConn
	shared  bool // counted in the budget
	queue   chan *Forward
	pending []*Forward // in the order of their answers
	closed  bool
	end     End // why it closed, for those pending
}

// Send starts a forward. When it returns false the forward has ended already, as the End says.
func (p *Pool) Send(f *Forward) (End, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left {
		return Drained, false
	}
	return p.place(f)
}

// place finds a forward of which nothing was written a connection, or lets it wait for one.
func (p *Pool) place(f *Forward) (End, bool) {
	if f.Fresh && p.dialFor(f) {
		return 0, true
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		c.net.SetReadDeadline(time.Time{})
		c.push(f)
		return 0, true
	}
	if c := p.young(f); c != nil && !p.growth.want(time.Duration(time.Now().UnixNano())) {
		c.push(f)
		return 0, true
	}
	if p.dial() {
		p.waiting = append(p.waiting, f)
		return 0, true
	}
	// No more connections may be opened. Answers come in order, so a forward is put behind as few as possible.
	var best *conn
	for _, c := range p.conns {
		if !c.closed && len(c.pending) < p.limits.Streams && (best == nil || len(c.pending) < len(best.pending)) {
			best = c
		}
	}
	switch {
	case best != nil:
		best.push(f)
	case len(p.waiting) < p.limits.Waiting:
		p.waiting = append(p.waiting, f)
		// No connection is on its way for this one. It waits no longer than it would for one, as the module may
		// know better than to let it wait all its time.
		f.timer = time.AfterFunc(p.limits.Connect, func() {
			if end, ok := p.withdraw(f); ok {
				p.report(f, Answer{End: end})
			}
		})
	default:
		return NoRoom, false
	}
	return 0, true
}

// young finds a connection with one forward out, and that for no more than a moment: an answer behind it will be little
// later than on a connection that has to come up first. A probe must not wait behind others, nor they behind it.
func (p *Pool) young(f *Forward) *conn {
	if f.Flow == nil || f.Fresh || p.limits.Streams < 2 {
		return nil
	}
	for _, c := range p.conns {
		if len(c.pending) == 1 && !c.closed {
			if h := c.pending[0]; h.Flow != nil && !h.given && time.Since(h.Sent) < p.limits.Share {
				return c
			}
		}
	}
	return nil
}

// withdraw takes a forward out of those that wait for a connection, if it still does, and tells how it ends.
func (p *Pool) withdraw(f *Forward) (End, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, f)
	if i < 0 {
		return 0, false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	if f.Flow == nil || len(p.conns) == 0 {
		return NoConnect, true
	}
	return NoRoom, true
}

// Abandon gives a forward up and tells whether any of it may have been written. Its connection is closed,
// which tells the server, unless others wait for answers on it: those must not be killed.
func (p *Pool) Abandon(f *Forward) (written bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f.given = true
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Forward) bool { return w == f })
	f.placed()
	if c := f.conn; c != nil && !slices.ContainsFunc(c.pending, func(o *Forward) bool { return !o.given }) {
		c.close(Broken)
	}
	return f.written
}

// CloseIdle closes the connections that nothing waits on.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range slices.Clone(p.idle) {
		c.close(Broken)
	}
}

// Update says where the server is now and whether it takes new work. Forwards that have not been written to a
// server that left end as Drained: those that waited for a connection are returned, the others reported.
func (p *Pool) Update(addr string, left bool) (drained []*Forward) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != p.addr {
		for _, c := range slices.Clone(p.idle) {
			c.close(Broken)
		}
	}
	p.addr, p.left = addr, left
	if left {
		drained, p.waiting = p.waiting, nil
		for _, f := range drained {
			f.placed()
		}
		for _, c := range slices.Clone(p.idle) {
			c.close(Broken)
		}
	}
	return drained
}

// dial opens a connection if the limits allow one more.
func (p *Pool) dial() bool { return p.dialFor(nil) }

// dialFor opens one for this forward alone, where there is one.
func (p *Pool) dialFor(f *Forward) bool {
	n := len(p.conns) + p.dialing
	if n >= p.limits.Conns {
		return false
	}
	shared := n >= own
	if shared && !p.budget.take() {
		return false
	}
	p.dialing++
	go p.connect(p.addr, shared, f)
	return true
}

// dialMore opens a connection if more forwards wait than connections are on their way.
func (p *Pool) dialMore() {
	if len(p.waiting) > p.dialing {
		p.dial()
	}
}

func (p *Pool) connect(addr string, shared bool, only *Forward) {
	nc, err := net.DialTimeout("tcp", addr, p.limits.Connect)
	p.mu.Lock()
	p.dialing--
	if err != nil {
		if shared {
			p.budget.give()
		}
		failed := only
		if only == nil && len(p.waiting) > 0 {
			failed = p.pop()
		}
		if failed != nil && failed.given {
			failed = nil
		}
		p.dialMore()
		p.mu.Unlock()
		if failed != nil {
			p.report(failed, Answer{End: NoConnect})
		}
		return
	}
	raw, _ := nc.(syscall.Conn).SyscallConn() // a TCP connection has one
	c := &conn{pool: p, net: nc, raw: raw, shared: shared, queue: make(chan *Forward, p.limits.Streams)}
	p.conns = append(p.conns, c)
	p.opened()
	go c.write()
	go c.read()
	wanted := only != nil && !only.given
	if wanted && !p.left {
		c.push(only)
	}
	c.next()
	drained := wanted && p.left
	p.mu.Unlock()
	if drained {
		p.report(only, Answer{End: Drained})
	}
}

// placed says that a forward no longer waits for a connection.
func (f *Forward) placed() {
	if f.timer != nil {
		f.timer.Stop()
		f.timer = nil
	}
}

// pop takes the forward that has waited for longest.
func (p *Pool) pop() *Forward {
	f := p.waiting[0]
	p.waiting[0] = nil // as for pending
	p.waiting = p.waiting[1:]
	f.placed()
	return f
}

// push gives a forward to a connection that has room for it.
func (c *conn) push(f *Forward) {
	f.placed()
	f.conn = c
	c.pending = append(c.pending, f)
	c.queue <- f // holds as many as may be pending
}

// next gives a connection without work the longest waiting forward, or makes it idle.
func (c *conn) next() {
	p := c.pool
	switch {
	case c.closed || len(c.pending) > 0:
	case p.left:
		c.close(Broken)
	case len(p.waiting) > 0:
		c.push(p.pop())
	default:
		c.net.SetReadDeadline(time.Now().Add(p.limits.Idle))
		p.idle = append(p.idle, c)
	}
}

// close ends a connection; the reading goroutine reports what was pending on it.
func (c *conn) close(end End) {
	if c.closed {
		return
	}
	p := c.pool
	c.closed, c.end = true, end
	p.conns = slices.DeleteFunc(p.conns, func(o *conn) bool { return o == c })
	p.idle = slices.DeleteFunc(p.idle, func(o *conn) bool { return o == c })
	c.net.Close()
	close(c.queue)
}

func (c *conn) write() {
	p := c.pool
	var buf []byte
	for f := range c.queue {
		now := time.Now()
		p.mu.Lock()
		// The list may have changed since the forward was queued here, and its flow may be over.
		skip := c.closed || p.left || f.given
		if !skip && len(c.pending) == 1 && stale(c.raw) {
			c.close(Garbage) // what was pending, unwritten, goes to another connection
			skip = true
		}
		if !skip {
			f.started, f.written = true, true
		} else if !c.closed {
			c.pending = slices.DeleteFunc(c.pending, func(o *Forward) bool { return o == f })
			c.next()
		}
		drained := skip && !c.closed && !f.given
		p.mu.Unlock()
		if drained {
			p.report(f, Answer{End: Drained})
		}
		if skip {
			continue
		}
		buf = p.codec.Append(buf[:0], f, now)
		c.net.SetWriteDeadline(f.Deadline)
		if n, err := c.net.Write(buf); err != nil {
			p.mu.Lock()
			if n < len(buf) {
				f.written = false // its last byte never left
			}
			c.close(Broken)
			p.mu.Unlock()
		}
		if cap(buf) > 32<<10 {
			buf = nil
		}
	}
}

func (c *conn) read() {
	p := c.pool
	r := p.codec.NewReader(c.net)
	end := Broken
	for {
		err := r.Wait()
		p.mu.Lock()
		if errors.Is(err, os.ErrDeadlineExceeded) && len(c.pending) > 0 && !c.closed {
			p.mu.Unlock() // it was put to use as its idle time ended
			continue
		}
		if err == nil && (len(c.pending) == 0 || !c.pending[0].written) {
			err = ErrGarbage // an answer to nothing
		}
		p.mu.Unlock()
		var a Answer
		if err == nil {
			a, err = r.Read()
		}
		if err != nil {
			if errors.Is(err, ErrGarbage) {
				end = Garbage
			}
			break
		}
		p.mu.Lock()
		if c.closed {
			p.mu.Unlock()
			break
		}
		f := c.pending[0]
		if f.Flow != nil && a.End == Served && a.Value == nil {
			end = Garbage // a PONG, say, serves nobody
			p.mu.Unlock()
			break
		}
		c.pending[0] = nil // the array outlives it, and with it the flow and its value would stay
		c.pending = c.pending[1:]
		if a.Close {
			c.close(Broken)
		}
		if !c.closed && len(c.pending) > 0 && !slices.ContainsFunc(c.pending, func(o *Forward) bool { return !o.given }) {
			c.close(Broken) // the rest was given up
		}
		given := f.given
		if r.Buffered() > 0 && (len(c.pending) == 0 || !c.pending[0].written) {
			c.close(Garbage) // bytes behind the answer would pass for that of the next forward
		}
		c.next()
		p.mu.Unlock()
		if !given {
			p.report(f, a)
		}
		if a.Close {
			break
		}
	}
	p.mu.Lock()
	c.close(end)
	pending := c.pending
	c.pending = nil
	if c.shared {
		p.budget.give()
	}
	// Forwards may wait for a connection that this one's end makes room for.
	p.dialMore()
	type result struct {
		f *Forward
		Answer
	}
	var results []result
	for _, f := range pending {
		switch {
		case f.given:
		case f.written:
			results = append(results, result{f, Answer{End: c.end}})
		case f.started:
			results = append(results, result{f, Answer{End: CutShort}})
		case p.left:
			results = append(results, result{f, Answer{End: Drained}})
		case f.moves == maxMoves:
			results = append(results, result{f, Answer{End: NoConnect}})
		default: // not one byte of it was written
			f.conn = nil
			f.moves++
			if end, ok := p.place(f); !ok {
				results = append(results, result{f, Answer{End: end}})
			}
		}
	}
	p.mu.Unlock()
	for _, r := range results {
		p.report(r.f, r.Answer)
	}
}

// stale tells whether a connection on which nothing is awaited has bytes to read or has ended. An answer to a
// request written now would not be told from such bytes, and a request written to a closed connection is lost. It
// looks past the reading goroutine, which may not have run since the bytes came.
func stale(raw syscall.RawConn) bool {
	if raw == nil {
		return true
	}
	var peeked error
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || !errors.Is(peeked, syscall.EAGAIN)
}
