package upstream

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"shelfproxy/internal/request"
)

// Attempt is one attempt of a flow at a server, or a probe of it.
type Attempt struct {
	Request            *request.Request // nil for a probe
	Number             int
	Server             string
	SentAt             time.Time // when the node handed it to the pool
	Deadline           time.Time
	WriteBy            time.Time // it is written by then or not at all; zero is no bound
	NeedsNewConnection bool      // wants a connection of its own: on a kept one that is closed just then it may have run

	// The core's.
	conn    *Conn
	until   time.Time // it waits no longer for a connection; zero while one is on its way
	moves   int       // connections that turned out to be of no use before it was written
	started bool      // some of it may be out
	written bool      // all of it may be out
	given   bool      // given up: its answer is read and dropped
}

// tooLate tells whether it must not be written any more: its client has gone, of which the node has not heard yet, or it waited for
// longer than a repeat may.
func (f *Attempt) tooLate(now time.Time) bool {
	return f.Request != nil && f.Request.IsCancelled() || !f.WriteBy.IsZero() && now.After(f.WriteBy)
}

// writeBy is when what has not left of it is given up.
func (f *Attempt) writeBy() time.Time {
	if !f.WriteBy.IsZero() && f.WriteBy.Before(f.Deadline) {
		return f.WriteBy
	}
	return f.Deadline
}

// Response is what a server sent for a forward.
type Response struct {
	Outcome         Outcome
	Value           []byte // Served: the value or receipt
	LoadReport      []byte // the load report, if one came
	ConnectionClose bool   // the server ends the connection after this answer
}

// Decoder takes the bytes of one connection as they come and cuts answers out of them, in order. It has no clock and
// no I/O.
type Decoder interface {
	// ReadBuffer is where the next bytes are to be put; it is never empty.
	ReadBuffer() []byte
	// BytesRead says that so many were put there.
	BytesRead(n int)
	// NextResponse is the next whole answer; false where more bytes are wanted. ended says that no more will come. ErrGarbage is
	// returned for bytes that are no answer.
	NextResponse(ended bool) (Response, bool, error)
	// Buffered is how many bytes came that belong to no answer yet.
	Buffered() int
	// Release ends its use: what it took of a Room is given back.
	Release()
}

// What a Decoder returns for bytes that can't be taken.
var (
	ErrMalformedResponse = errors.New("no answer of this protocol")
	ErrResponseTooLarge  = errors.New("no memory for an answer of this length")
)

// ResponseMemory bounds the memory that long answers take while they come in, over all servers: the value may be far longer than the
// usual one, but not many of them at once. It may be used from any goroutine.
type ResponseMemory struct {
	most int // bytes of one answer
	left atomic.Int64
}

// NewResponseMemory makes a room of so many bytes, of which one answer takes no more than most.
func NewResponseMemory(bytes, most int) *ResponseMemory {
	r := &ResponseMemory{most: most}
	r.left.Store(int64(bytes))
	return r
}

// usual is how long an answer may be where there is no room of its own: what the protocol's page gives.
const usual = 64 << 10

// MaxResponse is how long one value may be.
func (r *ResponseMemory) MaxResponse() int {
	if r == nil {
		return usual
	}
	return r.most
}

// Reserve takes bytes, if they are there.
func (r *ResponseMemory) Reserve(n int) bool {
	if r == nil || r.left.Add(int64(-n)) >= 0 {
		return true
	}
	r.left.Add(int64(n))
	return false
}

// Release gives bytes back.
func (r *ResponseMemory) Release(n int) {
	if r != nil {
		r.left.Add(int64(n))
	}
}

// Available is how many bytes are left.
func (r *ResponseMemory) Available() int { return int(r.left.Load()) }

// Codec is what differs between protocols.
type Codec interface {
	// AppendRequest appends the request's bytes.
	AppendRequest(b []byte, f *Attempt, now time.Time) []byte
	NewDecoder() Decoder
}

// Limits bound a pool.
type Limits struct {
	ConnectTimeout time.Duration // a connection not up by then never comes up
	IdleTimeout    time.Duration // idle connections are closed after this, before the server does it
	MaxStreams     int           // forwards on one connection
	MaxConnections int           // connections of one pool
	MaxQueued      int           // forwards that wait for a connection
	PipelineWithin time.Duration // a forward goes behind one that has been out for less, rather than on a new connection
}

// DescriptorBudget counts the descriptors that several pools share.
type DescriptorBudget struct{ total, left, refused atomic.Int64 }

// NewDescriptorBudget returns a budget of n descriptors.
func NewDescriptorBudget(n int) *DescriptorBudget {
	b := &DescriptorBudget{}
	b.Resize(n)
	return b
}

// Resize changes the size of the budget. Connections past a smaller one stay until they end.
func (b *DescriptorBudget) Resize(n int) { b.left.Add(int64(n) - b.total.Swap(int64(n))) }

// Usage is how many are in use, and how often there was none left.
func (b *DescriptorBudget) Usage() (used int, refused int64) {
	return int(b.total.Load() - b.left.Load()), b.refused.Load()
}

func (b *DescriptorBudget) take() bool {
	if b.left.Add(-1) >= 0 {
		return true
	}
	b.left.Add(1)
	b.refused.Add(1)
	return false
}

func (b *DescriptorBudget) give() { b.left.Add(1) }

// own is how many connections a pool may hold beside the shared budget, so that no server is out of reach
// because others took it all.
const own = 2

// maxMoves bounds how often a forward is given another connection, for a server that spoils each at its start.
const maxMoves = 3

// EffectKind is what a core wants done.
type EffectKind int

// The kinds of effects.
const (
	Dial            EffectKind = iota // open Conn to Addr, and say Dialed
	Write                             // Conn has something to write: Pull until it has no more
	CloseConnection                   // close Conn, with whatever is on its way on it
	ReportOutcome                     // Forward ended with Answer
)

// Effect is one thing that a core wants done, in the order in which they come.
type Effect struct {
	Kind     EffectKind
	Conn     *Conn
	Addr     string
	Attempt  *Attempt
	Response Response
}

// Effects collects what one call wants done. The core keeps none of it.
type Effects []Effect

func (fx *Effects) report(f *Attempt, a Response) {
	*fx = append(*fx, Effect{Kind: ReportOutcome, Attempt: f, Response: a})
}

// Conn is one connection, as the core and its shell share it.
type Conn struct {
	// Socket is the shell's.
	Socket any
	// Decoder is where the shell puts what it reads. Its methods are called in turn with the core's; only the bytes that
	// Space returned may be filled in meanwhile.
	Decoder Decoder

	shared  bool       // counted in the budget
	only    *Attempt   // it was dialed for
	pending []*Attempt // in the order of their answers
	queue   []*Attempt // of pending, those that are not written yet
	writing *Attempt   // its bytes are on their way out
	closed  bool
	end     Outcome   // why it closed, for those pending
	idle    time.Time // since when it has nothing to do
}

// IsIdle tells whether a forward that is pulled now is the only one on the connection, so that bytes which are there to
// read already can be no answer to it.
func (c *Conn) IsIdle() bool { return len(c.queue) > 0 && len(c.pending) == 1 }

// InFlight is how many forwards are on it.
func (c *Conn) InFlight() int { return len(c.pending) }

// IsClosed tells whether it has ended.
func (c *Conn) IsClosed() bool { return c.closed }

// Core decides for the connections to one server: which one carries a forward, who waits, when one more is opened, when
// one is closed, and how each forward ends. It has no clock, no sockets and no goroutines; its calls take the time and
// return or collect what is to be done. It is not safe for concurrent use.
type Core struct {
	codec  Codec
	limits Limits
	budget *DescriptorBudget

	addr    string
	conns   []*Conn // that are up
	idle    []*Conn // the one used last is at the end
	waiting []*Attempt
	dialing int
	growth  growth
	left    bool // the server drains or is gone: nothing new is written
}

// NewCore makes a core for a server at an address.
func NewCore(addr string, codec Codec, limits Limits, budget *DescriptorBudget) *Core {
	return &Core{addr: addr, codec: codec, limits: limits, budget: budget}
}

// Connections is how many connections are up or on their way.
func (p *Core) Connections() int { return len(p.conns) + p.dialing }

// Queued is how many forwards wait for a connection.
func (p *Core) Queued() int { return len(p.waiting) }

// InFlight is how many forwards are on connections.
func (p *Core) InFlight() (n int) {
	for _, c := range p.conns {
		n += len(c.pending)
	}
	return n
}

// Send starts a forward. When it returns false the forward has ended already, as the End says.
func (p *Core) Send(now time.Time, f *Attempt, fx *Effects) (Outcome, bool) {
	if p.left {
		return ServerDraining, false
	}
	return p.place(now, f, fx)
}

// place finds a forward of which nothing was written a connection, or lets it wait for one.
func (p *Core) place(now time.Time, f *Attempt, fx *Effects) (Outcome, bool) {
	if f.NeedsNewConnection && p.dial(f, fx) {
		return 0, true
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.push(c, f, fx)
		return 0, true
	}
	for _, c := range p.conns {
		if len(c.pending) == 0 && c.writing != nil { // its answer came before the word that it is written: it is free in a moment
			p.push(c, f, fx)
			return 0, true
		}
	}
	if c := p.young(now, f); c != nil && !p.growth.want(now) {
		p.push(c, f, fx)
		return 0, true
	}
	if p.dial(nil, fx) {
		p.waiting = append(p.waiting, f)
		return 0, true
	}
	// No more connections may be opened. Answers come in order, so a forward is put behind as few as possible.
	var best *Conn
	for _, c := range p.conns {
		if len(c.pending) < p.limits.MaxStreams && (best == nil || len(c.pending) < len(best.pending)) {
			best = c
		}
	}
	switch {
	case best != nil:
		p.push(best, f, fx)
	case len(p.waiting) < p.limits.MaxQueued:
		// No connection is on its way for this one. It waits no longer than it would for one, as the module may
		// know better than to let it wait all its time.
		f.until = now.Add(p.limits.ConnectTimeout)
		p.waiting = append(p.waiting, f)
	default:
		return PoolExhausted, false
	}
	return 0, true
}

// young finds a connection with one forward out, and that for no more than a moment: an answer behind it will be little
// later than on a connection that has to come up first. A probe must not wait behind others, nor they behind it.
func (p *Core) young(now time.Time, f *Attempt) *Conn {
	if f.Request == nil || f.NeedsNewConnection || p.limits.MaxStreams < 2 {
		return nil
	}
	for _, c := range p.conns {
		if len(c.pending) == 1 {
			if h := c.pending[0]; h.Request != nil && !h.given && now.Sub(h.SentAt) < p.limits.PipelineWithin {
				return c
			}
		}
	}
	return nil
}

// NextTimer is when Due is wanted next; the zero time is not.
func (p *Core) NextTimer() (at time.Time) {
	sooner := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	if len(p.idle) > 0 { // the one idle for longest is first
		sooner(p.idle[0].idle.Add(p.limits.IdleTimeout))
	}
	for _, f := range p.waiting {
		if !f.until.IsZero() {
			sooner(f.until)
			break // they wait equally long, in their order
		}
	}
	return at
}

// HandleTimers ends waits and idle connections whose time is over.
func (p *Core) HandleTimers(now time.Time, fx *Effects) {
	for len(p.idle) > 0 && !now.Before(p.idle[0].idle.Add(p.limits.IdleTimeout)) {
		p.close(now, p.idle[0], ConnectionLost, fx)
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(f *Attempt) bool {
		over := !f.until.IsZero() && !now.Before(f.until)
		if over {
			end := PoolExhausted
			if f.Request == nil || len(p.conns) == 0 {
				end = ConnectFailed
			}
			fx.report(f, Response{Outcome: end})
		}
		return over
	})
}

// Abandon gives a forward up and tells whether any of it may have been written. Its connection is closed,
// which tells the server, unless others wait for answers on it: those must not be killed.
func (p *Core) Abandon(now time.Time, f *Attempt, fx *Effects) (written bool) {
	f.given = true
	p.unqueue(now, f, fx)
	return f.written
}

// unqueue takes a forward out of whatever it waits in, if nothing of it is written.
func (p *Core) unqueue(now time.Time, f *Attempt, fx *Effects) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Attempt) bool { return w == f })
	c := f.conn
	if c == nil {
		return
	}
	if i := slices.Index(c.queue, f); i >= 0 { // not one byte of it was written, and none will be
		c.queue = slices.Delete(c.queue, i, i+1)
		c.pending = slices.DeleteFunc(c.pending, func(o *Attempt) bool { return o == f })
		f.conn = nil
	}
	p.wasted(now, c, fx)
	p.next(now, c, fx)
}

// Withdraw gives up a forward of which nothing was written, and tells whether it did.
func (p *Core) Withdraw(now time.Time, f *Attempt, fx *Effects) bool {
	if f.started || f.given {
		return false
	}
	p.Abandon(now, f, fx)
	return true
}

// wasted closes a connection on which only answers are awaited that nobody wants any more.
func (p *Core) wasted(now time.Time, c *Conn, fx *Effects) {
	if len(c.pending) > 0 && !slices.ContainsFunc(c.pending, func(o *Attempt) bool { return !o.given }) {
		p.close(now, c, ConnectionLost, fx)
	}
}

// CloseIdle closes the connections that nothing waits on.
func (p *Core) CloseIdle(now time.Time, fx *Effects) {
	for len(p.idle) > 0 {
		p.close(now, p.idle[len(p.idle)-1], ConnectionLost, fx)
	}
}

// Update says where the server is now and whether it takes new work. Forwards of which nothing was written to a server
// that left are returned: they end as Drained.
func (p *Core) Update(now time.Time, addr string, left bool, fx *Effects) (drained []*Attempt) {
	if addr != p.addr {
		p.CloseIdle(now, fx)
	}
	p.addr, p.left = addr, left
	if !left {
		return nil
	}
	drained, p.waiting = p.waiting, nil
	for _, c := range slices.Clone(p.conns) {
		drained = append(drained, c.queue...)
		c.pending = slices.DeleteFunc(c.pending, func(f *Attempt) bool { return slices.Contains(c.queue, f) })
		c.queue = nil
		p.next(now, c, fx)
	}
	p.CloseIdle(now, fx)
	for _, f := range drained {
		f.conn = nil
	}
	return drained
}

// dial opens a connection if the limits allow one more; for this forward alone, where there is one.
func (p *Core) dial(only *Attempt, fx *Effects) bool {
	n := p.Connections()
	if n >= p.limits.MaxConnections {
		return false
	}
	c := &Conn{only: only, shared: n >= own}
	if c.shared && !p.budget.take() {
		return false
	}
	p.dialing++
	*fx = append(*fx, Effect{Kind: Dial, Conn: c, Addr: p.addr})
	return true
}

// dialMore opens a connection if more forwards wait than connections are on their way.
func (p *Core) dialMore(fx *Effects) {
	if len(p.waiting) > p.dialing {
		p.dial(nil, fx)
	}
}

// DialCompleted says whether a connection came up.
func (p *Core) DialCompleted(now time.Time, c *Conn, up bool, fx *Effects) {
	p.dialing--
	only := c.only
	c.only = nil
	if only != nil && only.given {
		only = nil
	}
	if !up {
		if c.shared {
			p.budget.give()
		}
		if only == nil && len(p.waiting) > 0 {
			only = p.pop()
		}
		p.dialMore(fx)
		if only != nil {
			fx.report(only, Response{Outcome: ConnectFailed})
		}
		return
	}
	c.Decoder = p.codec.NewDecoder()
	p.conns = append(p.conns, c)
	if only != nil && !p.left {
		p.push(c, only, fx)
	}
	p.next(now, c, fx)
	if only != nil && p.left {
		fx.report(only, Response{Outcome: ServerDraining})
	}
}

// pop takes the forward that has waited for longest.
func (p *Core) pop() *Attempt {
	f := p.waiting[0]
	p.waiting[0] = nil // the array outlives it, and with it the flow and its value would stay
	p.waiting = p.waiting[1:]
	return f
}

// push gives a forward to a connection that has room for it.
func (p *Core) push(c *Conn, f *Attempt, fx *Effects) {
	f.conn, f.until = c, time.Time{}
	c.pending, c.queue = append(c.pending, f), append(c.queue, f)
	*fx = append(*fx, Effect{Kind: Write, Conn: c})
}

// next gives a connection without work the longest waiting forward, or makes it idle.
func (p *Core) next(now time.Time, c *Conn, fx *Effects) {
	switch {
	case c.closed || len(c.pending) > 0 || c.writing != nil:
	case p.left:
		p.close(now, c, ConnectionLost, fx)
	case len(p.waiting) > 0:
		p.push(c, p.pop(), fx)
	case !slices.Contains(p.idle, c):
		c.idle = now
		p.idle = append(p.idle, c)
	}
}

// NextToWrite is the next forward to write to a connection, of which the shell writes the bytes and then says Wrote; nil where
// there is none. From here on it may have run. The list is looked at for the last time here, and whether the client is still
// there and a repeat in its time: one that is not ends as NotSent. stale says that a connection on which nothing is awaited
// has bytes to read or has ended: an answer to a request written now could not be told from such bytes, and a request written
// to a closed connection is lost.
func (p *Core) NextToWrite(now time.Time, c *Conn, stale bool, fx *Effects) *Attempt {
	if c.closed || c.writing != nil || len(c.queue) == 0 {
		return nil
	}
	if stale && c.IsIdle() {
		p.close(now, c, CorruptResponse, fx) // what was pending, unwritten, goes to another connection
		return nil
	}
	f := c.queue[0]
	for f.tooLate(now) {
		p.unqueue(now, f, fx)
		fx.report(f, Response{Outcome: NotSent})
		if c.closed || len(c.queue) == 0 {
			return nil
		}
		f = c.queue[0]
	}
	c.queue[0] = nil
	c.queue = c.queue[1:]
	f.started, f.written = true, true
	c.writing = f
	return f
}

// WriteCompleted says how the writing of a pulled forward ended: whether its last byte is out, and whether the connection is still
// good for another.
func (p *Core) WriteCompleted(now time.Time, c *Conn, whole, good bool, fx *Effects) {
	f := c.writing
	c.writing = nil
	if f == nil {
		return
	}
	if !whole {
		f.written = false // its last byte never left
	}
	switch {
	case c.closed: // this one was left for now
		if i := slices.Index(c.pending, f); i >= 0 {
			c.pending = slices.Delete(c.pending, i, i+1)
			p.settle(now, c, f, fx)
		}
	case !good:
		p.close(now, c, ConnectionLost, fx)
	default:
		p.next(now, c, fx) // its answer may have come before
	}
}

// BytesReceived says that the shell put so many bytes into the connection's decoder.
func (p *Core) BytesReceived(now time.Time, c *Conn, n int, fx *Effects) {
	c.Decoder.BytesRead(n)
	p.decode(now, c, false, fx)
}

// ConnectionEnded says that a connection has ended, and not by the core. whole: the server ended it in order, which is the end of an answer
// without a length too; a reset, or whatever else broke it, is the end of none.
func (p *Core) ConnectionEnded(now time.Time, c *Conn, whole bool, fx *Effects) {
	if whole {
		p.decode(now, c, true, fx)
	}
	p.close(now, c, ConnectionLost, fx)
}

// decode takes the answers that have come whole.
func (p *Core) decode(now time.Time, c *Conn, ended bool, fx *Effects) {
	for !c.closed && (c.Decoder.Buffered() > 0) {
		if len(c.pending) == 0 || !c.pending[0].written {
			p.close(now, c, CorruptResponse, fx) // an answer to nothing
			return
		}
		a, ok, err := c.Decoder.NextResponse(ended)
		if err != nil {
			end := CorruptResponse
			if errors.Is(err, ErrResponseTooLarge) {
				end = ResponseTooLarge
			}
			p.close(now, c, end, fx)
			return
		}
		if !ok {
			return
		}
		p.answered(now, c, a, fx)
	}
}

// answered gives an answer to the forward whose turn it is.
func (p *Core) answered(now time.Time, c *Conn, a Response, fx *Effects) {
	f := c.pending[0]
	if f.Request != nil && a.Outcome == Served && a.Value == nil {
		p.close(now, c, CorruptResponse, fx) // a PONG, say, serves nobody
		return
	}
	c.pending[0] = nil // as in pop
	c.pending = c.pending[1:]
	if !f.given {
		fx.report(f, a)
	}
	switch {
	case a.ConnectionClose:
		p.close(now, c, ConnectionLost, fx)
	case c.Decoder.Buffered() > 0 && (len(c.pending) == 0 || !c.pending[0].written):
		p.close(now, c, CorruptResponse, fx) // bytes behind the answer would pass for that of the next forward
	default:
		p.wasted(now, c, fx)
		p.next(now, c, fx)
	}
}

// close ends a connection and what was pending on it.
func (p *Core) close(now time.Time, c *Conn, end Outcome, fx *Effects) {
	if c.closed {
		return
	}
	c.closed, c.end = true, end
	p.conns = slices.DeleteFunc(p.conns, func(o *Conn) bool { return o == c })
	p.idle = slices.DeleteFunc(p.idle, func(o *Conn) bool { return o == c })
	*fx = append(*fx, Effect{Kind: CloseConnection, Conn: c})
	c.Decoder.Release()
	if c.shared {
		p.budget.give()
	}
	pending := c.pending
	c.pending, c.queue = nil, nil
	if c.writing != nil && slices.Contains(pending, c.writing) {
		c.pending = []*Attempt{c.writing} // whether its last byte left is known in a moment
	}
	p.dialMore(fx) // forwards may wait for a connection that this one's end makes room for
	for _, f := range pending {
		if f != c.writing {
			p.settle(now, c, f, fx)
		}
	}
}

// settle ends a forward whose connection has closed, or gives it another where nothing of it was written.
func (p *Core) settle(now time.Time, c *Conn, f *Attempt, fx *Effects) {
	f.conn = nil
	switch {
	case f.given:
	case f.written:
		fx.report(f, Response{Outcome: c.end})
	case f.started:
		fx.report(f, Response{Outcome: WriteInterrupted})
	case p.left:
		fx.report(f, Response{Outcome: ServerDraining})
	case f.moves == maxMoves:
		fx.report(f, Response{Outcome: ConnectFailed})
	default: // not one byte of it was written
		f.moves++
		if end, ok := p.place(now, f, fx); !ok {
			fx.report(f, Response{Outcome: end})
		}
	}
}
