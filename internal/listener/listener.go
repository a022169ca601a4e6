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

	"shelfproxy/internal/counters"
	"shelfproxy/internal/flow"
)

// Limits bound what clients may make the node hold.
type Limits struct {
	Conns     int           // open connections
	Pipelined int           // commands of one connection that wait for their answers
	Value     int           // bytes of a value
	Write     time.Duration // a client that takes no bytes for so long is stuck

	// How long a connection with no open request may stay.
	Silent time.Duration // with nothing said yet, or half a command: it is owed an error by 3 s on the platform
	Crowd  time.Duration // idle, with over half the table in use
	Idle   time.Duration // idle otherwise
}

const (
	young = 100 * time.Millisecond // about to say its first word
	tick  = 200 * time.Millisecond // between looks at all connections
)

// Listener accepts clients and serves them until it is closed.
type Listener struct {
	ln      net.Listener
	sink    flow.Sink
	classes map[string]bool
	limits  Limits
	count   *counters.Counters

	mu       sync.Mutex
	room     sync.Cond // a connection was closed
	conns    map[*conn]struct{}
	draining bool
	done     sync.WaitGroup
}

// New starts nothing yet; Serve does.
func New(ln net.Listener, sink flow.Sink, classes []string, limits Limits, count *counters.Counters) *Listener {
	l := &Listener{ln: ln, sink: sink, classes: map[string]bool{}, limits: limits, count: count,
		conns: map[*conn]struct{}{}}
	l.room.L = &l.mu
	for _, c := range classes {
		l.classes[c] = true
	}
	return l
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
		c := &conn{l: l, net: nc, used: time.Now(), guard: guard{rd: nc}}
		c.ready.L = &c.mu
		l.conns[c] = struct{}{}
		l.done.Add(2)
		l.count.Accepted.Add(1)
		go c.read()
		go c.write()
		for len(l.conns) >= l.limits.Conns && !l.draining {
			l.evict()
			l.room.Wait() // the rest waits in the kernel's queue
		}
		l.mu.Unlock()
	}
}

// evict makes room in a full table: whoever never made a request goes first, then the one idle for longest.
func (l *Listener) evict() {
	var worst *conn
	var said bool
	var used time.Time
	now := time.Now()
	for c := range l.conns {
		s := c.look()
		if s.open || s.leaving || !s.said && now.Sub(s.since) < young {
			continue
		}
		if worst == nil || !s.said && said || s.said == said && s.since.Before(used) {
			worst, said, used = c, s.said, s.since
		}
	}
	if worst != nil {
		l.count.Evicted.Add(1)
		worst.finish()
	}
}

// sweep closes connections that say nothing, or have nothing more to say, until the listener is closed. Without it
// they would stay for good and keep usual clients out.
func (l *Listener) sweep() {
	for range time.Tick(tick) {
		now := time.Now()
		l.mu.Lock()
		if l.draining {
			l.mu.Unlock()
			return
		}
		patience := l.limits.Idle
		if len(l.conns) > l.limits.Conns/2 {
			patience = l.limits.Crowd
		}
		for c := range l.conns {
			s := c.look()
			if s.open || s.leaving || now.Sub(s.since) < min(patience, l.limits.Silent) {
				continue
			}
			if !s.said || now.Sub(s.since) >= patience {
				if !s.said {
					l.count.Silent.Add(1)
				}
				c.finish()
			}
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
	for c := range l.conns {
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
	flow  *flow.Flow // nil where the listener answers by itself
	ready bool
	out   []byte // a RESP prefix, or all of it
	value []byte // between out and CRLF, not copied
}

type conn struct {
	l     *Listener
	net   net.Conn
	guard guard

	mu     sync.Mutex
	ready  sync.Cond
	slots  []*slot
	used   time.Time // when it was accepted, or the last answer was written
	said   bool      // a command came whole
	last   bool      // close once all that is owed is written
	ended  bool      // the writing goroutine is done: no further command is taken
	closed bool
}

// standing is what counts for whether a connection may stay.
type standing struct {
	open    bool // a request is open
	leaving bool // its end is on the way
	said    bool // a command came whole, and none is in hand
	since   time.Time
}

func (c *conn) look() standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := standing{open: len(c.slots) > 0, leaving: c.last || c.closed, said: c.said, since: c.used}
	if began := c.guard.began.Load(); began != 0 {
		s.said, s.since = false, time.Unix(0, began)
	}
	return s
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
	delete(c.l.conns, c)
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
	c.slots, c.said = append(c.slots, s), true
	if s.ready {
		c.ready.Broadcast()
	}
	return true
}

func (c *conn) say(out []byte) { c.add(&slot{ready: true, out: out}) }

func (c *conn) take(cmd redcon.Command) {
	name := cmd.Args[0]
	switch {
	case is(name, "CACHE.GET"), is(name, "CACHE.SET"):
		f, err := c.l.parse(cmd)
		if err != nil {
			c.l.count.Malformed.Add(1)
			c.say(redcon.AppendError(nil, "ERR "+err.Error()))
			return
		}
		s := &slot{flow: f}
		f.Reply = func(r flow.Response) { c.reply(s, r) }
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
		c.l.count.Malformed.Add(1)
		c.say(redcon.AppendError(nil, "ERR unknown command"))
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
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.Kind {
	case flow.Served:
		s.out = append(strconv.AppendInt([]byte{'$'}, int64(len(r.Value)), 10), "\r\n"...)
		s.value = r.Value
	case flow.Refused:
		s.out = []byte("-BUSY\r\n")
		if ms := r.RetryAfter.Milliseconds(); ms > 0 {
			s.out = redcon.AppendError(nil, "BUSY "+strconv.FormatInt(ms, 10))
		}
	case flow.Failed:
		s.out = []byte("-ERR failed\r\n")
	case flow.Invalid:
		s.out = redcon.AppendError(nil, "ERR "+r.Text)
	}
	s.ready = true
	c.ready.Broadcast()
}

var crlf = []byte("\r\n")

// write writes answers in the order of their commands and closes the connection at its end.
func (c *conn) write() {
	defer c.l.done.Done()
	defer c.shut()
	var out net.Buffers
	for {
		out = out[:0]
		c.mu.Lock()
		for !c.closed && (len(c.slots) == 0 || !c.slots[0].ready) && !(c.last && len(c.slots) == 0) {
			c.ready.Wait()
		}
		n := 0
		for ; n < len(c.slots) && c.slots[n].ready; n++ {
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
		bufs := out
		if _, err := bufs.WriteTo(c.net); err != nil {
			c.l.count.WriteFailed.Add(1)
			return
		}
		// Only now are these answers no longer owed: a connection with slots is not closed as idle.
		c.mu.Lock()
		c.slots = append(c.slots[:0:0], c.slots[n:]...)
		c.used = time.Now()
		c.ready.Broadcast()
		c.mu.Unlock()
	}
}
