package clients

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/scenario"
)

// server answers every command after 2 ms with a value, but for a stall, in which it answers nothing.
func server(t *testing.T, stallAt, stallFor time.Duration) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	start := sync.OnceValue(time.Now) // the first command begins its time
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				rd := redcon.NewReader(bufio.NewReader(c))
				for {
					cmd, err := rd.ReadCommand()
					if err != nil {
						return
					}
					if in := time.Since(start()) - stallAt; in >= 0 && in < stallFor {
						time.Sleep(stallFor - in)
					}
					time.Sleep(2 * time.Millisecond)
					fmt.Fprintf(c, "$%d\r\n%s\r\n", len(cmd.Args[2]), cmd.Args[2])
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func run(t *testing.T, text string, opt Options) (*Clients, Generator) {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	l := New(s.Draw(1), opt)
	l.Run(context.Background())
	return l, l.Generator()
}

const text = `
length = "4s"
[nodes]
count = 1
[load]
rate = 200
uniform = true
[[class]]
name = "read"
share = 1
aim = "1s"
deadline = "6s"
effect = "idempotent"
`

// A server that stands still for 2 s shows in the percentiles and in the time line at its place when requests are sent
// as they are due. A closed loop sends next to nothing meanwhile, and its percentiles hide it.
func TestAStallShowsInAnOpenLoopOnly(t *testing.T) {
	t.Parallel()
	open, g := run(t, text, Options{Nodes: []Node{{Addr: server(t, time.Second, 2*time.Second)}}})
	closed, _ := run(t, text, Options{Nodes: []Node{{Addr: server(t, time.Second, 2*time.Second)}}, Closed: 4})
	ms := func(l *Clients, q float64) int64 { return l.Classes()[0].Latency.ValueAtQuantile(q) / 1000 }
	t.Logf("p90, p99 and max: open loop %d, %d, %d ms; closed loop %d, %d, %d ms", ms(open, 90), ms(open, 99), ms(open, 100),
		ms(closed, 90), ms(closed, 99), ms(closed, 100))
	if ms(open, 99) < 1500 || ms(closed, 99) > ms(open, 99)/3 || ms(closed, 100) < 1500 {
		t.Errorf("the stall does not show as it should")
	}
	if first, second := g.Seconds[0].Latency.Max(), g.Seconds[1].Latency.Max(); first >= second || second < 1_500_000 {
		t.Errorf("the time line shows at most %d us in the first second and %d us in that of the stall", first, second)
	}
	if n := open.Classes()[0].Served; n < 700 {
		t.Errorf("%d served of 800", n)
	}
}

// A generator that can't keep its schedule says so and why.
func TestAGeneratorThatFellBehindSaysSo(t *testing.T) {
	t.Parallel()
	l, g := run(t, strings.Replace(text, `"4s"`, `"1s"`, 1), Options{MaxInFlight: 3, Nodes: []Node{{Addr: server(t, 0, 800*time.Millisecond)}}})
	if why := strings.Join(g.Invalid(), "; "); !strings.Contains(why, "were not sent, as 3 were out") {
		t.Errorf("with room for 3 requests: %v", why)
	}
	if c := l.Classes()[0]; c.Unsent != g.Overflow || c.Scheduled != c.Served+c.Unsent {
		t.Errorf("%+v with %d not sent", c, g.Overflow)
	}
	for want, change := range map[string]func(g *Generator){
		"":                                   func(g *Generator) {},
		"20 of 1000 requests were sent over": func(g *Generator) { g.Late = 20 },
		"one request was sent 700ms late":    func(g *Generator) { g.Lag.RecordValue(700_000) },
		"of processor in":                    func(g *Generator) { g.CPU = 1000 * time.Second },
		"the collector stopped it":           func(g *Generator) { g.Pauses = time.Second },
	} {
		g := Generator{Sent: 1000, Late: 5, Lag: histogram(), Elapsed: 10 * time.Second, CPU: time.Second}
		change(&g)
		why := g.Invalid()
		if want == "" && len(why) > 0 || want != "" && (len(why) != 1 || !strings.Contains(why[0], want)) {
			t.Errorf("%q: %v", want, why)
		}
	}
}

// A latency beyond the range of the histogram counts as its end, and does not vanish.
func TestLatencyBeyondTheRange(t *testing.T) {
	h := histogram()
	record(h, time.Hour)
	record(h, -time.Second)
	if h.TotalCount() != 2 || h.Max() < longest.Microseconds()*99/100 {
		t.Errorf("%d recorded, at most %d us", h.TotalCount(), h.Max())
	}
}
