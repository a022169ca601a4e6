package listener

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/request"
)

// TestCoreInAnyOrder calls the clients' side in any order that a shell could: each command is answered once, in its turn and with what
// was said of it, a flow whose client left is told once, no more wait for answers than may, what makes no sense gets an error, and
// nothing is held in the end.
func TestCoreInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		limits := Limits{MaxConnections: 4, MaxPipelined: 3, MaxValue: 100, WriteTimeout: time.Second, MaxUnsentBytes: 100 << 10, FirstCommandTimeout: 2 * time.Second, CrowdedIdleTimeout: 50 * time.Millisecond, IdleTimeout: 5 * time.Second}
		l := NewCore(now, []string{"read"}, nil, limits, counters.New([]string{"read"}, request.ResponseKinds(), nil))
		type client struct {
			c       *Conn
			sent    []string // ids of commands, or "?" for one that makes no sense, whose answers have not come
			text    []byte   // on its way in
			reading bool     // there may be more for the core to take
			out     string   // on its way out
			writing bool
			ended   bool
		}
		type open struct {
			of   *client
			slot *ResponseSlot
			flow *request.Request
			gone bool
		}
		var clients []*client
		flows := map[string]*open{}
		replied := map[string]bool{}
		next := 0
		of := func(c *Conn) *client {
			for _, k := range clients {
				if k.c == c {
					return k
				}
			}
			return nil
		}
		carry := func(fx Effects) {
			for _, e := range fx {
				switch e.Kind {
				case HandleRequest:
					flows[string(e.Request.ID)] = &open{of: of(e.Conn), flow: e.Request}
				case ClientDisconnected:
					o := flows[string(e.Request.ID)]
					if o == nil || o.gone || replied[string(e.Request.ID)] {
						t.Fatalf("%s: its client left, and it was told %v, answered %v", e.Request.ID, o != nil && o.gone, replied[string(e.Request.ID)])
					}
					o.gone = true
					if !e.Request.IsCancelled() {
						t.Fatalf("%s: its client left, and the flow does not know", e.Request.ID)
					}
				case HalfClose:
					of(e.Conn).ended = true
				case CloseConnection:
					if e.Conn.IsLingering() {
						t.Fatal("it is closed, and lingers")
					}
					of(e.Conn).ended = true
				case ResumeReading:
					of(e.Conn).reading = true
				}
			}
		}
		l.Reply = func(c *Conn, s *ResponseSlot, r request.Response) {
			var fx Effects
			l.Respond(now, c, s, r, &fx)
			carry(fx)
		}
		// feed moves what a client sent to the core, as far as it takes it.
		feed := func(k *client) {
			for !k.c.IsClosed() && (k.reading || !k.c.IsPaused() && len(k.text) > 0) {
				var fx Effects
				if k.reading {
					k.reading = false
					l.Resume(now, k.c, &fx)
				} else {
					n := copy(k.c.ReadBuffer(), k.text)
					k.text = k.text[n:]
					l.BytesReceived(now, k.c, n, &fx)
				}
				carry(fx)
				if n := len(k.c.slots); n > limits.MaxPipelined+1 {
					t.Fatalf("%d commands wait for answers", n)
				}
			}
		}
		// read is what came out for a client: whole answers, in the order of its commands.
		read := func(k *client) {
			for k.out != "" {
				line, rest, _ := strings.Cut(k.out, "\r\n")
				if len(k.sent) == 0 {
					t.Fatalf("an answer to nothing: %q", line)
				}
				id := k.sent[0]
				k.sent = k.sent[1:]
				switch line[0] {
				case '$':
					var n int
					fmt.Sscanf(line, "$%d", &n)
					if value := rest[:n]; value != "for-"+id {
						t.Fatalf("%s is answered with %q", id, value)
					}
					rest = rest[n+2:]
				case '-':
					if id != "?" && !replied[id] && !strings.HasPrefix(line, "-ERR") {
						t.Fatalf("%s is answered with %q, and nobody said so", id, line)
					}
				default:
					t.Fatalf("no answer: %q", line)
				}
				k.out = rest
			}
		}
		pump := func(k *client, good bool) {
			if k.writing && !k.c.IsClosed() {
				k.writing = false
				if good {
					read(k)
				}
				var fx Effects
				l.WriteCompleted(now, k.c, good, &fx)
				carry(fx)
			}
			if k.c.IsClosed() || k.writing {
				return
			}
			answers, size := l.NextToWrite(k.c, nil)
			if size == 0 {
				return
			}
			for _, a := range answers {
				k.out += string(a)
			}
			k.writing = true
		}
		pick := func() *client {
			if len(clients) == 0 {
				return nil
			}
			return clients[rapid.IntRange(0, len(clients)-1).Draw(t, "client")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"comes": func(t *rapid.T) {
				var fx Effects
				if l.HasCapacity(now, &fx) && len(clients) < 8 {
					clients = append(clients, &client{c: l.Accepted(now)})
				}
				carry(fx)
			},
			"asks": func(t *rapid.T) {
				if k := pick(); k != nil && !k.ended {
					next++
					id := fmt.Sprint("id", next)
					k.sent = append(k.sent, id)
					k.text = fmt.Appendf(k.text, "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$%d\r\n%s\r\n$13\r\nc=read,d=3000\r\n", len(id), id)
				}
			},
			"makes no sense": func(t *rapid.T) {
				if k := pick(); k != nil && !k.ended {
					k.sent = append(k.sent, "?")
					k.text = append(k.text, "*1\r\n$5\r\nHELLO\r\n"...)
				}
			},
			"reads": func(t *rapid.T) {
				if k := pick(); k != nil {
					feed(k)
				}
			},
			"answers": func(t *rapid.T) {
				for id, o := range flows {
					if replied[id] {
						continue
					}
					replied[id] = true
					r := request.Response{Kind: request.ResponseKind(rapid.IntRange(0, 2).Draw(t, "kind"))}
					if r.Kind == request.Served {
						r.Value = []byte("for-" + id)
					}
					o.flow.Reply(r)
					break
				}
			},
			"writes": func(t *rapid.T) {
				if k := pick(); k != nil {
					pump(k, rapid.IntRange(0, 9).Draw(t, "good") > 0)
				}
			},
			"leaves": func(t *rapid.T) {
				if k := pick(); k != nil && rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					var fx Effects
					l.ConnectionEnded(now, k.c, &fx)
					carry(fx)
				}
			},
			"sweeps": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				var fx Effects
				l.ExpireIdle(now, &fx)
				carry(fx)
			},
		})
		// In the end: all is answered and written, then everybody is shown out.
		for range 50 {
			for id, o := range flows {
				if !replied[id] {
					replied[id] = true
					o.flow.Reply(request.Response{Kind: request.Failed})
				}
			}
			for _, k := range clients {
				feed(k)
				pump(k, true)
			}
		}
		for _, k := range clients {
			if len(k.sent) > 0 && !k.ended {
				t.Fatalf("%v were never answered", k.sent)
			}
		}
		var fx Effects
		l.Drain(now, &fx)
		carry(fx)
		now = now.Add(linger) // those that linger end by themselves
		fx = nil
		l.ExpireIdle(now, &fx)
		carry(fx)
		if used, _ := l.Usage(); used != 0 || len(l.conns) != 0 {
			t.Fatalf("%d connections are held in the end", used)
		}
	})
}

// TestDrainWithHalfACommand: a command of which half had come as the draining began is taken if the rest comes within a moment, and its
// connection ends behind the answer; else it ends without. One that is accepted later has as long, and one that rests has none.
func TestDrainWithHalfACommand(t *testing.T) {
	const command = "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$13\r\nc=read,d=3000\r\n"
	for late, taken := range map[time.Duration]bool{linger - time.Nanosecond: true, linger: false} {
		for _, cut := range []int{0, 1, 30, len(command) - 1} {
			now := time.Unix(1000, 0)
			l := NewCore(now, []string{"read"}, nil, Limits{MaxConnections: 64, MaxPipelined: 3, MaxValue: 100, FirstCommandTimeout: time.Minute, CrowdedIdleTimeout: time.Minute, IdleTimeout: time.Minute},
				counters.New([]string{"read"}, request.ResponseKinds(), nil))
			l.Reply = func(c *Conn, s *ResponseSlot, r request.Response) {
				var fx Effects
				l.Respond(now, c, s, r, &fx)
			}
			var fx Effects
			put := func(c *Conn, text string) {
				l.BytesReceived(now, c, copy(c.ReadBuffer(), text), &fx)
			}
			rests, c := l.Accepted(now), l.Accepted(now)
			if cut > 0 {
				put(c, command[:cut])
			}
			l.Drain(now, &fx)
			if cut == 0 { // it comes now, with nothing yet
				c = l.Accepted(now)
			}
			if !rests.IsClosed() || c.IsClosed() {
				t.Fatalf("cut at %d: the one that rests has ended: %v; the one with a part: %v", cut, rests.IsClosed(), c.IsClosed())
			}
			now = now.Add(late)
			l.ExpireIdle(now, &fx)
			fx = nil
			put(c, command[cut:])
			if got := len(fx) > 0 && fx[0].Kind == HandleRequest; got != taken {
				t.Errorf("cut at %d, the rest after %v: taken %v", cut, late, got)
			}
			if !taken {
				continue
			}
			fx[0].Request.Reply(request.Response{Kind: request.Failed})
			l.NextToWrite(c, nil)
			if l.WriteCompleted(now, c, true, &fx); !c.IsClosed() || !c.IsLingering() {
				t.Errorf("cut at %d: it goes on behind its answer", cut)
			}
		}
	}
}
