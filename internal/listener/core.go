package listener

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/request"
)

// Limits bound what clients may make the node hold.
type Limits struct {
	MaxConnections int           // open connections
	MaxPipelined   int           // commands of one connection that wait for their answers
	MaxValue       int           // bytes of a value
	WriteTimeout   time.Duration // a client that takes no bytes for so long is stuck
	MaxUnsentBytes int           // bytes of answers to all clients together; past it stuck ones are cut off, 0 is no bound

	// How long a connection with no open request may stay.
	FirstCommandTimeout time.Duration // with nothing said yet, or half a command: it is owed an error by 3 s on the platform
	CrowdedIdleTimeout  time.Duration // idle, in a table that is all but full
	IdleTimeout         time.Duration // idle otherwise
}

// Bounds of the time between two looks at connections whose time is over, and how many may go at a look.
const (
	soonest = 5 * time.Millisecond
	latest  = 100 * time.Millisecond
	atOnce  = 64
	stuck   = 250 * time.Millisecond // without taking a byte, while too much is owed to all
	linger  = 500 * time.Millisecond // what a closing connection's client has to read the last answer and close in its turn
	batch   = 256 << 10              // bytes written at a time, so that what a client takes shows
)

// lingerers is how many of the places are for connections that linger: a crowd that is shown out must not keep others out.
func lingerers(places int) int { return max(1, places/16) }

func policy(l Limits) admission.ConnectionPolicy {
	p := admission.DefaultConnectionPolicy(l.MaxConnections-lingerers(l.MaxConnections), l.FirstCommandTimeout, l.IdleTimeout, l.CrowdedIdleTimeout)
	p.MaxUnsentBytes, p.StuckTimeout = l.MaxUnsentBytes, stuck
	return p
}

// EffectKind is what a core wants done.
type EffectKind int

// The kinds of effects.
const (
	HandleRequest      EffectKind = iota // hand Flow on; it may have to wait, and what comes after it on the connection with it
	ClientDisconnected                   // the client of Flow has left
	WriteResponses                       // Conn has answers to write: Pull
	ResumeReading                        // Conn may go on: Continue
	HalfClose                            // end sending on Conn, and read on, to throw away what comes, until it ends: say Ended then
	CloseConnection                      // close Conn
	CapacityAvailable                    // there may be room for another connection
)

// Effect is one thing that a core wants done, in the order in which they come.
type Effect struct {
	Kind    EffectKind
	Conn    *Conn
	Request *request.Request
}

// Effects collects what one call wants done. The core keeps none of it.
type Effects []Effect

func (fx *Effects) add(kind EffectKind, c *Conn, f *request.Request) {
	*fx = append(*fx, Effect{kind, c, f})
}

// slot is the place of one command's answer.
type slot struct {
	flow  *request.Request // until it is answered; nil where the listener answers by itself
	taken bool             // it was a flow
	ready bool
	out   []byte // a RESP prefix, or all of it
	value []byte // between out and CRLF, not copied
}

// Conn is one client's connection, as the core and its shell share it.
type Conn struct {
	// Socket is the shell's.
	Socket any

	core    *Core
	id      uint64 // in the table
	guard   guard
	rd      *redcon.Reader
	slots   []*slot // in the order of their commands
	writing int     // of them, on their way out
	paused  bool    // as many answers are owed as may be: the rest waits
	broken  bool    // its framing: nothing more is read
	last    bool    // close once all that is owed is written
	closed  bool
	lingers time.Time // until when, once it is closed; zero where it does not
}

// ReadBuffer is where the shell puts the next bytes, while the connection is not paused.
func (c *Conn) ReadBuffer() []byte { return c.guard.buf[:] }

// IsPaused tells whether nothing more is to be read before the effect Read.
func (c *Conn) IsPaused() bool { return c.paused }

// IsClosed tells whether it has ended: nothing that comes on it is taken.
func (c *Conn) IsClosed() bool { return c.closed }

// IsLingering tells whether it has ended and is to be read on for a while. A close over bytes that nobody read would reset the
// connection, and take with it the last answers that the client has not read yet.
func (c *Conn) IsLingering() bool { return !c.lingers.IsZero() }

// Core decides for the connections of clients: what a command is, in which order answers go out, how many may wait, and
// who has to go. It has no clock, no sockets and no goroutines; its calls take the time and collect what is to be done.
// It is not safe for concurrent use.
type Core struct {
	// Reply is called with the final answer of a flow, by whoever gives it; the shell passes it to Answer.
	Reply func(c *Conn, s *ResponseSlot, r request.Response)

	classes map[string]bool
	tenants map[string]string // each under its own name: no flow holds on to the command for it
	limits  Limits
	count   *counters.Counters

	start    time.Time
	table    *admission.ConnectionTable
	places   int
	conns    map[uint64]*Conn
	leaving  []*Conn // those that linger, in their order
	lastID   uint64
	turned   int64 // times that there was no place
	draining bool
	settled  time.Time // while draining: until when what began to come before may come whole
}

// ResponseSlot is the place of one command's answer, as flows know it.
type ResponseSlot = slot

// NewCore makes a core. Classes are those that there are: a request of another one is an error. One of a tenant that the
// deployment does not name belongs to none.
func NewCore(now time.Time, classes, tenants []string, limits Limits, count *counters.Counters) *Core {
	l := &Core{classes: map[string]bool{}, tenants: map[string]string{}, limits: limits, count: count, places: limits.MaxConnections,
		conns: map[uint64]*Conn{}, start: now, table: admission.NewConnectionTable(policy(limits))}
	for _, c := range classes {
		l.classes[c] = true
	}
	for _, t := range tenants {
		l.tenants[t] = t
	}
	return l
}

func (l *Core) at(now time.Time) time.Duration { return now.Sub(l.start) }

// Accepted takes a connection that a client opened.
func (l *Core) Accepted(now time.Time) *Conn {
	l.lastID++
	c := &Conn{core: l, id: l.lastID}
	c.rd = redcon.NewReader(&c.guard)
	c.last = l.draining
	l.conns[c.id] = c
	l.table.Accepted(l.at(now), c.id)
	l.count.Accepted.Add(1)
	return c
}

// HasCapacity tells whether one more connection may be accepted; where not, one that may go is closed for it.
func (l *Core) HasCapacity(now time.Time, fx *Effects) bool {
	ok, victim, found := l.table.Admit(l.at(now))
	if !ok {
		l.turned++
	}
	if found {
		l.count.ClosedForCapacity.Add(1)
		l.finish(now, l.conns[victim], fx)
	}
	return ok || l.draining
}

// Usage is how many connections there are, those that linger too, and how often one more had to wait for a place.
func (l *Core) Usage() (used int, refused int64) { return l.table.Len() + len(l.leaving), l.turned }

// SetMaxConnections changes how many connections there may be.
func (l *Core) SetMaxConnections(n int, fx *Effects) {
	l.places = n
	l.table.SetCapacity(n - lingerers(n))
	fx.add(CapacityAvailable, nil, nil)
}

// ExpireIdle closes the connections that the table gives up, and tells when to sweep next. Without it they would stay for good
// and keep usual clients out.
func (l *Core) ExpireIdle(now time.Time, fx *Effects) (next time.Duration) {
	at := l.at(now)
	for len(l.leaving) > 0 && !now.Before(l.leaving[0].lingers) {
		l.shut(l.leaving[0], fx)
	}
	if l.draining {
		if !now.Before(l.settled) {
			for _, id := range slices.Sorted(maps.Keys(l.conns)) {
				l.finish(now, l.conns[id], fx)
			}
		}
		return latest
	}
	for _, id := range l.table.ExpireIdle(at, atOnce) {
		if l.table.Stage(id) <= admission.StagePartialCommand {
			l.count.ClosedSilent.Add(1)
		} else {
			l.count.ClosedIdle.Add(1)
		}
		l.finish(now, l.conns[id], fx)
	}
	for id, found := l.table.NextStuck(at); found; id, found = l.table.NextStuck(at) {
		l.count.ClosedStuck.Add(1)
		l.close(now, l.conns[id], false, fx) // even under a write that waits
	}
	fx.add(CapacityAvailable, nil, nil) // one that is no longer too young may go now
	next = latest
	if wake, ok := l.table.NextExpiry(at); ok {
		next = min(max(wake-at, soonest), latest)
	}
	return next
}

// Drain closes connections as soon as nothing is owed on them. A command of which half has come, and one on a connection that
// is accepted from now on, has a moment to come whole.
func (l *Core) Drain(now time.Time, fx *Effects) {
	l.draining, l.settled = true, now.Add(linger)
	fx.add(CapacityAvailable, nil, nil)
	for _, id := range slices.Sorted(maps.Keys(l.conns)) {
		if c := l.conns[id]; c.guard.half() {
			c.last = true
		} else {
			l.finish(now, c, fx)
		}
	}
}

// finish closes a connection once all that is owed on it is written.
func (l *Core) finish(now time.Time, c *Conn, fx *Effects) {
	c.last = true
	if len(c.slots) == 0 {
		l.close(now, c, true, fx)
	}
}

// BytesReceived says that the shell put so many bytes into Space.
func (l *Core) BytesReceived(now time.Time, c *Conn, n int, fx *Effects) {
	if c.closed {
		return
	}
	c.guard.took(n)
	l.decode(now, c, fx)
}

// Resume goes on with what a paused connection has sent already.
func (l *Core) Resume(now time.Time, c *Conn, fx *Effects) { l.decode(now, c, fx) }

// ConnectionEnded says that the client ended the connection, or that it broke.
func (l *Core) ConnectionEnded(now time.Time, c *Conn, fx *Effects) {
	if c.IsLingering() {
		l.shut(c, fx)
		return
	}
	l.close(now, c, false, fx)
}

// shut ends a connection that lingers.
func (l *Core) shut(c *Conn, fx *Effects) {
	c.lingers = time.Time{}
	l.leaving = slices.DeleteFunc(l.leaving, func(o *Conn) bool { return o == c })
	fx.add(CloseConnection, c, nil)
	fx.add(CapacityAvailable, nil, nil)
}

// decode takes the commands that have come whole, as long as their answers have places.
func (l *Core) decode(now time.Time, c *Conn, fx *Effects) {
	for c.paused = false; !c.closed; {
		if len(c.slots) >= l.limits.MaxPipelined {
			c.paused = true
			return
		}
		// The reader copies each command's bytes into a buffer of the command's own, so its slices may be kept.
		cmd, err := c.rd.ReadCommand()
		switch {
		case errors.Is(err, errMore):
			if c.guard.half() {
				l.table.PartialCommand(l.at(now), c.id)
			}
			return
		case err != nil: // a broken framing still gets what is owed and one line on it
			l.count.BadFraming.Add(1)
			c.slots = append(c.slots, &slot{ready: true, out: redcon.AppendError(nil, "ERR "+err.Error())})
			c.paused, c.broken = true, true
			l.finish(now, c, fx)
			l.wake(c, fx)
			return
		}
		l.take(now, c, cmd, fx)
	}
}

// wake has the shell write what is ready at the head of the line.
func (l *Core) wake(c *Conn, fx *Effects) {
	if !c.closed && c.writing == 0 && len(c.slots) > 0 && c.slots[0].ready {
		fx.add(WriteResponses, c, nil)
	}
}

// say answers a command without the node.
func (l *Core) say(now time.Time, c *Conn, kind admission.Command, out []byte, fx *Effects) {
	l.table.CommandReceived(l.at(now), c.id, kind)
	c.slots = append(c.slots, &slot{ready: true, out: out})
	l.wake(c, fx)
}

// complain answers a command that makes no sense.
func (l *Core) complain(now time.Time, c *Conn, text string, fx *Effects) {
	l.count.Malformed.Add(1)
	l.say(now, c, admission.CommandInvalid, redcon.AppendError(nil, "ERR "+text), fx)
}

func (l *Core) take(now time.Time, c *Conn, cmd redcon.Command, fx *Effects) {
	name := cmd.Args[0]
	switch {
	case is(name, "CACHE.GET"), is(name, "CACHE.SET"):
		f, err := l.parse(now, cmd)
		if err != nil {
			l.complain(now, c, err.Error(), fx)
			return
		}
		f.ConnectionID = c.id
		s := &slot{flow: f, taken: true}
		f.Reply = func(r request.Response) { l.Reply(c, s, r) }
		l.table.CommandReceived(l.at(now), c.id, admission.CommandRequest)
		c.slots = append(c.slots, s)
		fx.add(HandleRequest, c, f)
	case is(name, "PING") && len(cmd.Args) == 1:
		l.say(now, c, admission.CommandOther, redcon.AppendString(nil, "PONG"), fx)
	case is(name, "PING") && len(cmd.Args) == 2:
		l.say(now, c, admission.CommandOther, redcon.AppendBulk(nil, cmd.Args[1]), fx)
	case is(name, "INFO"):
		l.say(now, c, admission.CommandOther, redcon.AppendBulkString(nil, l.count.String()), fx)
	case is(name, "CLIENT"), is(name, "SELECT"):
		l.say(now, c, admission.CommandOther, redcon.AppendOK(nil), fx)
	case is(name, "QUIT"):
		l.say(now, c, admission.CommandOther, redcon.AppendOK(nil), fx)
		l.finish(now, c, fx)
	default:
		l.complain(now, c, "unknown command", fx)
	}
}

func is(name []byte, word string) bool { return bytes.EqualFold(name, []byte(word)) }

// parse makes a flow of a command, or says what is wrong with it.
func (l *Core) parse(now time.Time, cmd redcon.Command) (*request.Request, error) {
	f := &request.Request{ReceivedAt: now, IsWrite: is(cmd.Args[0], "CACHE.SET")}
	want := 4
	if f.IsWrite {
		want = 5
	}
	if len(cmd.Args) != want {
		return nil, errors.New("wrong number of arguments for '" + string(cmd.Args[0]) + "'")
	}
	f.Key, f.ID, f.Parameters = cmd.Args[1], cmd.Args[2], cmd.Args[3]
	if f.IsWrite {
		f.Value = cmd.Args[4]
	}
	switch {
	case len(f.Key) == 0 || len(f.Key) > maxName || bytes.ContainsFunc(f.Key, unprintable):
		return nil, errors.New("bad key")
	case len(f.ID) == 0 || len(f.ID) > maxName || bytes.ContainsFunc(f.ID, unprintable):
		return nil, errors.New("bad request id")
	case len(f.Parameters) > maxExtras || bytes.ContainsFunc(f.Parameters, unprintable):
		return nil, errors.New("bad list of names and values")
	case len(f.Value) > l.limits.MaxValue:
		return nil, errors.New("value is too large")
	}
	for rest := f.Parameters; len(rest) > 0; {
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
			f.ClientTimeout = time.Duration(ms) * time.Millisecond
		}
	}
	switch {
	case f.ClientTimeout == 0:
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

// Respond fills the place of a flow's answer; it goes out in its turn.
func (l *Core) Respond(now time.Time, c *Conn, s *ResponseSlot, r request.Response, fx *Effects) {
	if c.closed || s.ready {
		return
	}
	switch r.Kind {
	case request.Served:
		s.out = append(strconv.AppendInt([]byte{'$'}, int64(len(r.Value)), 10), "\r\n"...)
		s.value = r.Value
	case request.Rejected:
		s.out = []byte("-BUSY\r\n")
		if ms := r.RetryAfter.Milliseconds(); ms > 0 {
			s.out = redcon.AppendError(nil, "BUSY "+strconv.FormatInt(ms, 10))
		}
	case request.Failed:
		s.out = []byte("-ERR failed\r\n")
	case request.Invalid:
		s.out = redcon.AppendError(nil, "ERR "+r.Text)
	}
	l.table.AddUnsentBytes(l.at(now), c.id, len(s.out)+len(s.value))
	s.ready = true
	s.flow = nil // else the command's buffer, with its value, would stay until the answers before this one are written
	l.wake(c, fx)
}

var crlf = []byte("\r\n")

// NextToWrite is the answers to write next, appended to out, and their bytes; the shell writes them and says Wrote. There are none
// while others are on their way.
func (l *Core) NextToWrite(c *Conn, out [][]byte) (answers [][]byte, size int) {
	if c.closed || c.writing > 0 {
		return out, 0
	}
	n := 0
	for ; n < len(c.slots) && c.slots[n].ready && size < batch; n++ {
		s := c.slots[n]
		size += len(s.out) + len(s.value)
		out = append(out, s.out)
		if s.value != nil {
			out = append(out, s.value, crlf)
		}
	}
	c.writing = n
	return out, size
}

// WriteCompleted says that what was pulled is written, or that it could not be.
func (l *Core) WriteCompleted(now time.Time, c *Conn, good bool, fx *Effects) {
	n := c.writing
	c.writing = 0
	if c.closed || n == 0 {
		return
	}
	if !good {
		l.count.WriteFailed.Add(1)
		l.close(now, c, false, fx)
		return
	}
	// Only now are these answers no longer owed: a connection with slots is not closed as idle.
	owed := 0
	for _, s := range c.slots[:n] {
		if s.taken {
			owed += len(s.out) + len(s.value)
		}
	}
	c.slots = append(c.slots[:0:0], c.slots[n:]...)
	l.table.AddUnsentBytes(l.at(now), c.id, -owed)
	l.table.ResponsesWritten(l.at(now), c.id, n)
	switch {
	case c.last && len(c.slots) == 0:
		l.close(now, c, true, fx)
		return
	case c.paused && !c.broken:
		fx.add(ResumeReading, c, nil)
	}
	l.wake(c, fx)
}

// close ends a connection, in order where its client may still read; flows that wait for their answers have lost their client.
func (l *Core) close(now time.Time, c *Conn, inOrder bool, fx *Effects) {
	if c.closed {
		return
	}
	c.closed = true
	delete(l.conns, c.id)
	l.table.Closed(l.at(now), c.id)
	if inOrder {
		c.lingers = now.Add(linger)
		l.leaving = append(l.leaving, c)
		fx.add(HalfClose, c, nil)
		if len(l.leaving) > lingerers(l.places) {
			l.shut(l.leaving[0], fx)
		}
	} else {
		fx.add(CloseConnection, c, nil)
	}
	for _, s := range c.slots {
		if s.flow != nil && !s.ready {
			s.flow.Cancel()
			fx.add(ClientDisconnected, c, s.flow)
		}
	}
	c.slots = nil
	fx.add(CapacityAvailable, nil, nil)
}
