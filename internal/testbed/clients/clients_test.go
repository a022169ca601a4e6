package clients

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/scenario"
)

// serviceTime is how long a test server takes to answer a command.
const serviceTime = 2 * time.Millisecond

// stall is an interval in which a server answers nothing. The field at is its start, measured from the first command.
type stall struct {
	at, duration time.Duration
}

// startServer starts a server that answers every command with a value, except during a stall. It returns the address.
func startServer(t *testing.T, stall stall) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	firstCommand := sync.OnceValue(time.Now)
	go func() { // ends when the listener is closed
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn, firstCommand, stall)
		}
	}()
	return listener.Addr().String()
}

// answerAll answers the commands of a connection until the connection ends.
func answerAll(conn net.Conn, firstCommand func() time.Time, stall stall) {
	defer func() { _ = conn.Close() }()
	reader := redcon.NewReader(bufio.NewReader(conn))
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		if sinceStall := time.Since(firstCommand()) - stall.at; sinceStall >= 0 && sinceStall < stall.duration {
			time.Sleep(stall.duration - sinceStall)
		}
		time.Sleep(serviceTime)
		if _, err := fmt.Fprintf(conn, "$%d\r\n%s\r\n", len(command.Args[2]), command.Args[2]); err != nil {
			return
		}
	}
}

func runLoad(t *testing.T, text string, options Options) (*Clients, Generator) {
	t.Helper()
	parsed, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatalf("parse the scenario: %v", err)
	}
	load := New(parsed.Draw(1), options)
	load.Run(t.Context())
	return load, load.Generator()
}

const scenarioText = `
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

// Guards against a load generator that hides a stall of the server. An open loop sends requests when they are due, so a stall
// of 2 s shows in the percentiles and at its place in the timeline. A closed loop sends almost nothing during the stall, so
// its percentiles hide the stall.
func TestOpenLoopShowsAStallThatAClosedLoopHides(t *testing.T) {
	t.Parallel()
	twoSeconds := stall{at: time.Second, duration: 2 * time.Second}
	open, generator := runLoad(t, scenarioText, Options{Nodes: []Node{{Address: startServer(t, twoSeconds)}}})
	closed, _ := runLoad(t, scenarioText, Options{Nodes: []Node{{Address: startServer(t, twoSeconds)}}, ClosedLoop: 4})
	millis := func(load *Clients, quantile float64) int64 {
		return load.Classes()[0].Latency.ValueAtQuantile(quantile) / 1000
	}
	t.Logf("p90, p99 and max: open loop %d, %d, %d ms; closed loop %d, %d, %d ms", millis(open, 90), millis(open, 99), millis(open, 100),
		millis(closed, 90), millis(closed, 99), millis(closed, 100))
	if millis(open, 99) < 1500 || millis(closed, 99) > millis(open, 99)/3 || millis(closed, 100) < 1500 {
		t.Errorf("p99 %d ms in the open loop, want 1500 at least; p99 %d ms, max %d ms in the closed one, want a third of it at most and 1500 at least",
			millis(open, 99), millis(closed, 99), millis(closed, 100))
	}
	beforeStall, inStall := generator.Timeline[0].Latency.Max(), generator.Timeline[1].Latency.Max()
	if beforeStall >= inStall || inStall < 1_500_000 {
		t.Errorf("the timeline shows at most %d us in the first second and %d us in that of the stall", beforeStall, inStall)
	}
	if served := open.Classes()[0].Served; served < 700 {
		t.Errorf("%d served of 800, want 700 at least", served)
	}
}

func TestRequestsBeyondMaxInFlightAreCountedAsUnsent(t *testing.T) {
	t.Parallel()
	load, generator := runLoad(t, strings.Replace(scenarioText, `"4s"`, `"1s"`, 1),
		Options{MaxInFlight: 3, Nodes: []Node{{Address: startServer(t, stall{duration: 800 * time.Millisecond})}}})
	if reasons := strings.Join(generator.Invalid(), "; "); !strings.Contains(reasons, "were not sent, as 3 were in flight") {
		t.Errorf("with a bound of 3 requests the run is not valid because of %q", reasons)
	}
	if class := load.Classes()[0]; class.Unsent != generator.Overflow || class.Scheduled != class.Served+class.Unsent {
		t.Errorf("%+v with %d not sent", class, generator.Overflow)
	}
}

func TestGeneratorThatFellBehindSaysWhy(t *testing.T) {
	t.Parallel()
	for want, change := range map[string]func(g *Generator){
		"":                                   func(*Generator) {},
		"20 of 1000 requests were sent over": func(g *Generator) { g.Late = 20 },
		"one request was sent 700ms late":    func(g *Generator) { record(g.Lag, 700*time.Millisecond) },
		"of processor time in":               func(g *Generator) { g.CPU = 1000 * time.Second },
		"the garbage collector stopped it":   func(g *Generator) { g.GCPauses = time.Second },
	} {
		generator := Generator{Sent: 1000, Late: 5, Lag: newHistogram(), Elapsed: 10 * time.Second, CPU: time.Second}
		change(&generator)
		reasons := generator.Invalid()
		if want == "" && len(reasons) > 0 || want != "" && (len(reasons) != 1 || !strings.Contains(reasons[0], want)) {
			t.Errorf("reasons %q, want %q", reasons, want)
		}
	}
}

func TestLatencyBeyondTheRangeCountsAsItsEnd(t *testing.T) {
	histogram := newHistogram()
	record(histogram, time.Hour)
	record(histogram, -time.Second)
	if histogram.TotalCount() != 2 || histogram.Max() < maxLatency.Microseconds()*99/100 {
		t.Errorf("%d recorded, at most %d us; want 2 and %d us", histogram.TotalCount(), histogram.Max(), maxLatency.Microseconds())
	}
}
