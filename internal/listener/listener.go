// Package listener is the clients' side: it reads their RESP2 commands, hands them on as flows, and writes the
// answers in the order of the commands. It knows flows, not the module.
package listener

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/flow"
)

// Limits bound what clients may make the node hold.
type Limits struct {
	Conns     int           // open connections
	Pipelined int           // commands of one connection that wait for their answers
	Value     int           // bytes of a value
	Write     time.Duration // a client that takes no bytes for so long is stuck
	Owed      int           // bytes of answers to all clients together; past it stuck ones are cut off, 0 is no bound

	// How long a connection with no open request may stay.
	Silent time.Duration // with nothing said yet, or half a command: it is owed an error by 3 s on the platform
	Crowd  time.Duration // idle, in a table that is all but full
	Idle   time.Duration // idle otherwise
}

// Bounds of the time between two looks at connections whose time is over, and how many may go at a look.
const (
	soonest = 5 * time.Millisecond
	latest  = 100 * time.Millisecond
	atOnce  = 64
	stuck   = 250 * time.Millisecond // without taking a byte, while too much is owed to all
	small   = 4 << 10                // bytes that are copied into one buffer to be written
	batch   = 256 << 10              // bytes written at a time, so that what a client takes shows
)

// Listener accepts clients and serves them until it is closed.
type Listener struct {
	ln      net.Listener
	sink    flow.Sink
	classes map[string]bool
	tenants map[string]string // each under its own name: no flow holds on to the command for it
	limits  Limits
	count   *counters.Counters

	start    time.Time
	mu       sync.Mutex
	room     sync.Cond // a connection was closed
	table    *admission.Table
	conns    map[uint64]*conn
	lastID   uint64
	turned   int64 // times that there was no place
	draining bool
	done     sync.WaitGroup
}

// New starts nothing yet; Serve does. Classes are those that there are: a request of another one is an error. One of a
// tenant that the deployment does not name belongs to none.
func New(ln net.Listener, sink flow.Sink, classes, tenants []string, limits Limits, count *counters.Counters) *Listener {
	l := &Listener{ln: ln, sink: sink, classes: map[string]bool{}, tenants: map[string]string{}, limits: limits, count: count,
		conns: map[uint64]*conn{}, start: time.Now(),
		table: admission.NewTable(policy(limits))}
	l.room.L = &l.mu
	for _, c := range classes {
		l.classes[c] = true
	}
	for _, t := range tenants {
		l.tenants[t] = t
	}
	return l
}

func policy(l Limits) admission.TablePolicy {
	p := admission.DefaultTable(l.Conns, l.Silent, l.Idle, l.Crowd)
	p.Bytes, p.Stuck = l.Owed, stuck
	return p
}

// Serve accepts until Close.
func (l *Listener) Serve() error {
	go l.sweep()
	for {
		nc, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.count.AcceptFailed.Add(1)
			time.Sleep(5 * time.Millisecond) // out of descriptors, say: those in use come back
			continue
		}
		l.mu.Lock()
		l.lastID++
		c := &conn{l: l, id: l.lastID, net: nc, guard: guard{rd: nc}}
		c.guard.half = func() { l.event(func(now time.Duration) { l.table.Began(now, c.id) }) }
		c.ready.L = &c.mu
		l.conns[c.id] = c
		l.table.Open(l.now(), c.id)
		l.done.Add(2)
		l.count.Accepted.Add(1)
		go c.read()
		go c.write()
		for !l.draining && !l.hasRoom() {
			l.room.Wait() // the rest waits in the kernel's queue
		}
		l.mu.Unlock()
	}
}

func (l *Listener) now() time.Duration { return time.Since(l.start) }

// event tells the table what happened.
func (l *Listener) event(f func(now time.Duration)) {
	l.mu.Lock()
	f(l.now())
	l.mu.Unlock()
}

// hasRoom tells whether one more connection may be accepted; where not, one that may go is closed for it.
func (l *Listener) hasRoom() bool {
	ok, victim, found := l.table.Room(l.now())
	if !ok {
		l.turned++
	}
	if found {
		l.count.Evicted.Add(1)
		l.conns[victim].finish()
	}
	return ok
}

// Use is how many connections there are, and how often one more had to wait for a place.
func (l *Listener) Use() (used int, refused int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Used(), l.turned
}

// SetPlaces changes how many connections there may be.
func (l *Listener) SetPlaces(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetPlaces(n)
	l.room.Broadcast()
}

// sweep closes the connections that the table gives up, until the listener is closed. Without it they would stay for
// good and keep usual clients out.
func (l *Listener) sweep() {
	for wait := latest; ; {
		time.Sleep(wait)
		l.mu.Lock()
		if l.draining {
			l.mu.Unlock()
			return
		}
		now := l.now()
		for _, id := range l.table.Due(now, atOnce) {
			if l.table.Stage(id) <= admission.Partial {
				l.count.Silent.Add(1)
			} else {
				l.count.Idle.Add(1)
			}
			l.conns[id].finish()
		}
		for id, found := l.table.Stuck(now); found; id, found = l.table.Stuck(now) {
			l.count.Stuck.Add(1)
			c := l.conns[id]
			go c.shut() // it takes the lock, and closes even under a write that waits
		}
		wait = latest
		if at, ok := l.table.Wake(now); ok {
			wait = min(max(at-now, soonest), latest)
		}
		l.room.Broadcast() // one that is no longer too young may go now
		l.mu.Unlock()
	}
}

// Close stops accepting and closes connections as soon as nothing is owed on them.
func (l *Listener) Close() {
	l.ln.Close()
	l.mu.Lock()
	l.draining = true
	l.room.Broadcast()
	conns := make([]*conn, 0, len(l.conns))
	for _, c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.finish()
	}
}

// Wait returns when the last connection is closed.
func (l *Listener) Wait() { l.done.Wait() }

// slot is the place of one command's answer.
type slot struct {
	flow  *flow.Flow // until it is answered; nil where the listener answers by itself
	taken bool       // it was a flow
	ready bool
	out   []byte // a RESP prefix, or all of it
	value []byte // between out and CRLF, not copied
}

type conn struct {
	l     *Listener
	id    uint64 // in the table
	net   net.Conn
	guard guard

	mu     sync.Mutex
	ready  sync.Cond
	slots  []*slot
	last   bool // close once all that is owed is written
	ended  bool // the writing goroutine is done: no further command is taken
	closed bool
}

func (c *conn) finish() {
	c.mu.Lock()
	c.last = true
	c.ready.Broadcast()
	c.mu.Unlock()
}

// read takes commands until the client leaves or breaks the framing.
func (c *conn) read() {
	defer c.l.done.Done()
	rd := redcon.NewReader(&c.guard)
	for {
		// The reader copies each command's bytes into a buffer of the command's own, so its slices may be kept.
		cmd, err := rd.ReadCommand()
		if err != nil {
			c.left(err)
			return
		}
		c.take(cmd)
	}
}

// left ends the reading side. A broken framing still gets what is owed and one line on it.
func (c *conn) left(err error) {
	var netErr net.Error
	if text := protocolError(err); text != "" && !errors.As(err, &netErr) {
		c.l.count.BadFraming.Add(1)
		c.mu.Lock()
		c.slots = append(c.slots, &slot{ready: true, out: redcon.AppendError(nil, "ERR "+text)})
		c.mu.Unlock()
		c.finish()
		return
	}
	c.shut()
}

// shut closes the connection; flows that still wait for their answers have lost their client.
func (c *conn) shut() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	slots := c.slots
	c.ready.Broadcast()
	var gone []*flow.Flow
	for _, s := range slots {
		if s.flow != nil && !s.ready {
			gone = append(gone, s.flow)
		}
	}
	c.mu.Unlock()
	c.net.Close()
	c.l.mu.Lock()
	delete(c.l.conns, c.id)
	c.l.table.Gone(c.l.now(), c.id)
	c.l.room.Signal()
	c.l.mu.Unlock()
	for _, f := range gone {
		c.l.sink.Gone(f)
	}
}

// add queues the slot of an answer, unless the connection is at its end. The queue is bounded: a client that
// sends more waits.
func (c *conn) add(s *slot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.slots) >= c.l.limits.Pipelined && !c.closed && !c.ended {
		c.ready.Wait()
	}
	if c.closed || c.ended {
		return false
	}
	c.slots = append(c.slots, s)
	if s.ready {
		c.ready.Broadcast()
	}
	return true
}

// asked tells the table of a command that came whole, before its answer can be written.
func (c *conn) asked(kind admission.Command) {
	c.l.event(func(now time.Duration) { c.l.table.Asked(now, c.id, kind) })
}

// say answers a command without the node.
func (c *conn) say(out []byte) {
	c.asked(admission.Other)
	c.add(&slot{ready: true, out: out})
}

// complain answers a command that makes no sense.
func (c *conn) complain(text string) {
	c.l.count.Malformed.Add(1)
	c.asked(admission.Senseless)
	c.add(&slot{ready: true, out: redcon.AppendError(nil, "ERR "+text)})
}

func (c *conn) take(cmd redcon.Command) {
	name := cmd.Args[0]
	switch {
	case is(name, "CACHE.GET"), is(name, "CACHE.SET"):
		f, err := c.l.parse(cmd)
		if err != nil {
			c.complain(err.Error())
			return
		}
		f.Conn = c.id
		s := &slot{flow: f, taken: true}
		f.Reply = func(r flow.Response) { c.reply(s, r) }
		c.asked(admission.Request)
		if c.add(s) {
			c.l.sink.Take(f)
		}
	case is(name, "PING") && len(cmd.Args) == 1:
		c.say(redcon.AppendString(nil, "PONG"))
	case is(name, "PING") && len(cmd.Args) == 2:
		c.say(redcon.AppendBulk(nil, cmd.Args[1]))
	case is(name, "INFO"):
		c.say(redcon.AppendBulkString(nil, c.l.count.String()))
	case is(name, "CLIENT"), is(name, "SELECT"):
		c.say(redcon.AppendOK(nil))
	case is(name, "QUIT"):
		c.say(redcon.AppendOK(nil))
		c.finish()
	default:
		c.complain("unknown command")
	}
}

func is(name []byte, word string) bool { return bytes.EqualFold(name, []byte(word)) }

// parse makes a flow of a command, or says what is wrong with it.
func (l *Listener) parse(cmd redcon.Command) (*flow.Flow, error) {
	f := &flow.Flow{Taken: time.Now(), Write: is(cmd.Args[0], "CACHE.SET")}
	want := 4
	if f.Write {
		want = 5
	}
	if len(cmd.Args) != want {
		return nil, errors.New("wrong number of arguments for '" + string(cmd.Args[0]) + "'")
	}
	f.Key, f.ID, f.Extras = cmd.Args[1], cmd.Args[2], cmd.Args[3]
	if f.Write {
		f.Value = cmd.Args[4]
	}
	switch {
	case len(f.Key) == 0 || len(f.Key) > maxName || bytes.ContainsFunc(f.Key, unprintable):
		return nil, errors.New("bad key")
	case len(f.ID) == 0 || len(f.ID) > maxName || bytes.ContainsFunc(f.ID, unprintable):
		return nil, errors.New("bad request id")
	case len(f.Extras) > maxExtras || bytes.ContainsFunc(f.Extras, unprintable):
		return nil, errors.New("bad list of names and values")
	case len(f.Value) > l.limits.Value:
		return nil, errors.New("value is too large")
	}
	for rest := f.Extras; len(rest) > 0; {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{'='})
		if !ok {
			return nil, errors.New("bad list of names and values")
		}
		switch string(name) {
		case "c":
			f.Class = string(value)
		case "t":
			f.Tenant = l.tenants[string(value)]
		case "d":
			ms, err := strconv.Atoi(string(value))
			if err != nil || ms <= 0 || ms > maxWait {
				return nil, errors.New("bad d")
			}
			f.Wait = time.Duration(ms) * time.Millisecond
		}
	}
	switch {
	case f.Wait == 0:
		return nil, errors.New("d is missing")
	case !l.classes[f.Class]:
		return nil, errors.New("unknown class")
	}
	return f, nil
}

const (
	maxName   = 512
	maxExtras = 1 << 10
	maxWait   = 3600 * 1000 // milliseconds
)

// unprintable keeps spaces and control characters out of what is passed on as a line of a header.
func unprintable(r rune) bool { return r <= ' ' || r >= 0x7f }

// reply fills a slot; the writing goroutine writes it in its turn.
func (c *conn) reply(s *slot, r flow.Response) {
	var out, value []byte
	switch r.Kind {
	case flow.Served:
		out = append(strconv.AppendInt([]byte{'$'}, int64(len(r.Value)), 10), "\r\n"...)
		value = r.Value
	case flow.Refused:
		out = []byte("-BUSY\r\n")
		if ms := r.RetryAfter.Milliseconds(); ms > 0 {
			out = redcon.AppendError(nil, "BUSY "+strconv.FormatInt(ms, 10))
		}
	case flow.Failed:
		out = []byte("-ERR failed\r\n")
	case flow.Invalid:
		out = redcon.AppendError(nil, "ERR "+r.Text)
	}
	// The table's lock is never taken under a connection's.
	c.l.event(func(now time.Duration) { c.l.table.Owes(now, c.id, len(out)+len(value)) })
	c.mu.Lock()
	s.out, s.value, s.ready = out, value, true
	s.flow = nil // else the command's buffer, with its value, would stay until the answers before this one are written
	c.ready.Broadcast()
	c.mu.Unlock()
}

var crlf = []byte("\r\n")

// write writes answers in the order of their commands and closes the connection at its end.
func (c *conn) write() {
	defer c.l.done.Done()
	defer c.shut()
	var out net.Buffers
	var buf []byte // at most small and its line ends
	for {
		out = out[:0]
		c.mu.Lock()
		for !c.closed && (len(c.slots) == 0 || !c.slots[0].ready) && !(c.last && len(c.slots) == 0) {
			c.ready.Wait()
		}
		n, size, owed := 0, 0, 0
		for ; n < len(c.slots) && c.slots[n].ready && size < batch; n++ {
			s := c.slots[n]
			size += len(s.out) + len(s.value)
			if s.taken {
				owed += len(s.out) + len(s.value)
			}
			out = append(out, c.slots[n].out)
			if c.slots[n].value != nil {
				out = append(out, c.slots[n].value, crlf)
			}
		}
		over := c.closed || n == 0
		c.ended = over
		c.mu.Unlock()
		if over {
			return
		}
		c.net.SetWriteDeadline(time.Now().Add(c.l.limits.Write))
		var err error
		if size <= small { // one buffer costs less than a list of them
			buf = buf[:0]
			for _, b := range out {
				buf = append(buf, b...)
			}
			_, err = c.net.Write(buf)
		} else {
			bufs := out
			_, err = bufs.WriteTo(c.net)
		}
		if err != nil {
			c.l.count.WriteFailed.Add(1)
			return
		}
		// Only now are these answers no longer owed: a connection with slots is not closed as idle.
		c.mu.Lock()
		c.slots = append(c.slots[:0:0], c.slots[n:]...)
		c.ready.Broadcast()
		c.mu.Unlock()
		c.l.event(func(now time.Duration) {
			c.l.table.Owes(now, c.id, -owed)
			c.l.table.Answered(now, c.id, n)
		})
	}
}
