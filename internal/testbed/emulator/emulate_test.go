package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/internal/testbed/wireformat"
)

// patience is generous: it only bounds how long a failing test takes.
const patience = 20 * time.Second

// list is a list as nodes read it.
type list struct {
	Version   int64      `json:"generation"`
	Whole     bool       `json:"reset"`
	Instances []instance `json:"instances"`
}

type instance struct {
	ID      string `json:"instanceId"`
	Addr    string `json:"hostPort"`
	Kind    string `json:"machineType"`
	State   string `json:"lifecycle"`
	Started int64  `json:"startedAtMs"`
}

// rig is an emulator that a test speaks to as a node would.
type rig struct {
	t    *testing.T
	e    *Emulator
	list list
	cfg  map[string]any
}

func newRig(t *testing.T, text string) *rig {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	e, err := New(s.Draw(1), Options{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, e: e}
	configs, err := e.WriteConfigs(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	text2, err := os.ReadFile(configs[0].Path)
	if err != nil {
		t.Fatal(err)
	}
	var file struct{ Known list }
	if err := json.Unmarshal(text2, &file); err != nil {
		t.Fatal(err)
	}
	json.Unmarshal(text2, &r.cfg)
	r.list = file.Known
	return r
}

func (r *rig) until(what string, done func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("never seen: %s", what)
		}
	}
}

// peer is a connection of a node.
type peer struct {
	net.Conn
	rd *bufio.Reader
}

func (r *rig) dial(i int) (*peer, error) {
	c, err := net.DialTimeout("tcp", r.list.Instances[i].Addr, 200*time.Millisecond)
	if err != nil {
		return nil, err
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &peer{c, bufio.NewReader(c)}, nil
}

func (r *rig) mustDial(i int) *peer {
	r.t.Helper()
	p, err := r.dial(i)
	if err != nil {
		r.t.Fatal(err)
	}
	return p
}

func (p *peer) send(args ...string) {
	b := redcon.AppendArray(nil, len(args))
	for _, a := range args {
		b = redcon.AppendBulkString(b, a)
	}
	p.Write(b)
}

// lines reads as many lines, or "closed".
func (p *peer) lines(n int) string {
	var out []string
	for range n {
		line, err := p.rd.ReadString('\n')
		if err != nil {
			return strings.Join(append(out, "closed"), " ")
		}
		out = append(out, strings.TrimSuffix(line, "\r\n"))
	}
	return strings.Join(out, " ")
}

const fast = `
[boxes]
count = 2
[link]
same = "100us"
cross = "100us"
[roster]
lag = "10ms"
[origin]
median = "5ms"
[[kind]]
name = "box"
share = 1
error_rate = 0
connection_work = "1us"
[[class]]
name = "read"
share = 1
work = "2ms"
aim = "1s"
deadline = "3s"
effect = "idempotent"
[[class]]
name = "cert"
share = 0
work = "2ms"
aim = "1s"
deadline = "3s"
write = true
effect = "at_most_once"
`

// A read misses at a box, is fetched from the origin, and is a hit then; all as the protocol words it.
func TestLifeOfARequest(t *testing.T) {
	t.Parallel()
	r := newRig(t, fast)
	box, origin := r.mustDial(1), r.mustDial(0)
	box.send("CACHE.GET", "k", "id1", "c=read,d=900")
	if got := box.lines(4); got != "*3 $-1 $4 miss" {
		t.Fatalf("a key that is not held: %q", got)
	}
	box.lines(1)
	fmt.Fprintf(origin, "GET /k HTTP/1.1\r\nHost: o\r\nX-Request-Id: id1\r\nX-Extras: c=read,d=900\r\n\r\n")
	resp, err := http.ReadResponse(origin.rd, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != 200 || wireformat.RequestOfValue(body) != "id1" || !strings.Contains(resp.Header.Get("X-Load"), "inflight=") {
		t.Errorf("the origin answers %d %v %.40q", resp.StatusCode, resp.Header, body)
	}
	box.send("CACHE.GET", "k", "id2", "c=read,d=900")
	box.send("PING")
	box.send("INFO", "load")
	if got := box.lines(5); !strings.HasPrefix(got, "*3 $1800 id2|k|v0|") || !strings.HasSuffix(got, "$3 hit") {
		t.Errorf("a key that is held: %.80q", got)
	}
	if got := box.lines(4); !strings.HasPrefix(got, "$-1 +PONG $") || !strings.Contains(got, "latency_ms=") {
		t.Errorf("the probes behind it: %q", got)
	}
	fmt.Fprintf(origin, "PUT /k HTTP/1.1\r\nHost: o\r\nX-Request-Id: id3\r\nX-Extras: c=cert,d=900\r\nContent-Length: 3\r\n\r\nnew")
	resp, err = http.ReadResponse(origin.rd, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("the write: %v %v", resp, err)
	}
	body, _ = io.ReadAll(resp.Body)
	if wireformat.RequestOfValue(body) != "id3" {
		t.Errorf("the receipt is %q", body)
	}
	box.send("CACHE.GET", "k", "id4", "c=read,d=900")
	if got := box.lines(4); got != "*3 $-1 $4 miss" {
		t.Errorf("after the write: %q", got)
	}
	if sum := r.e.Summary(); sum.Requests != 5 || sum.Probes != 2 || sum.Malformed != 0 || len(sum.Broken) != 0 {
		t.Errorf("summary %+v", sum)
	}
}

func TestMalformedCommands(t *testing.T) {
	t.Parallel()
	r := newRig(t, fast)
	p := r.mustDial(1)
	for _, args := range [][]string{{"CACHE.GET", "k"}, {"CACHE.GET", "k", "id", "c=none,d=9"}, {"CACHE.GET", "k", "id", "c=read"},
		{"CACHE.GET", "k", "id", "c=cert,d=9"}, {"CACHE.GET", "k", "id", "c=read,d=-1"}, {"CACHE.SET", "k", "id", "c=read,d=9", "v"}} {
		p.send(args...)
		if got := p.lines(1); !strings.HasPrefix(got, "-SYNTAX ") {
			t.Errorf("%q: %q", args, got)
		}
	}
	p.send("HELLO", "3")
	p.send("CLIENT", "SETNAME", "x")
	if got := p.lines(2); got != "-ERR unknown command +OK" {
		t.Errorf("HELLO and CLIENT: %q", got)
	}
	fmt.Fprint(p, "*1\r\n$x\r\n")
	if got := p.lines(2); !strings.HasPrefix(got, "-ERR ") || !strings.HasSuffix(got, "closed") {
		t.Errorf("broken framing: %q", got)
	}
	if n := r.e.Summary().Malformed; n != 7 {
		t.Errorf("%d malformed, want 7", n)
	}
}

// A process that dies resets and refuses, a machine that is cut off says nothing, whichever comes first, and after
// both all is as it was, at the same address.
func TestDoors(t *testing.T) {
	t.Parallel()
	r := newRig(t, fast+`
[[fault]]
kind = "kill"
at = "300ms"
for = "500ms"
boxes = ["box-0"]
[[fault]]
kind = "cut"
at = "1200ms"
for = "800ms"
boxes = ["box-0"]
`)
	p := r.mustDial(1)
	p.send("PING")
	if got := p.lines(2); got != "+PONG closed" {
		t.Errorf("as the process dies: %q", got)
	}
	if _, err := r.dial(1); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("a dead process: %v, want refused", err)
	}
	r.until("it is back", func() bool { p, err := r.dial(1); return err == nil && p.Close() == nil })
	p = r.mustDial(1)
	p.send("PING")
	if got := p.lines(1); got != "+PONG" {
		t.Errorf("back again: %q", got)
	}
	r.until("connections no longer come up", func() bool {
		_, err := r.dial(1)
		ne, ok := err.(net.Error)
		return ok && ne.Timeout()
	})
	p.send("PING") // open and silent; reset once the machine is back
	if got := p.lines(1); got != "closed" {
		t.Errorf("the connection that was open meanwhile: %q", got)
	}
	r.until("it is back", func() bool {
		p, err := r.dial(1)
		if err != nil {
			return false
		}
		p.send("PING")
		return p.lines(1) == "+PONG"
	})
}

// A frozen process keeps its connections open and silent, takes new ones, and answers all that came once it goes on.
func TestFreezeIsSilent(t *testing.T) {
	t.Parallel()
	r := newRig(t, fast+`
[[fault]]
kind = "freeze"
at = "0s"
for = "4s"
boxes = ["box-0"]
`)
	a, b := r.mustDial(1), r.mustDial(1)
	a.send("PING")
	b.send("CACHE.GET", "k", "id1", "c=read,d=2900")
	a.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := a.rd.Peek(1); err == nil || !err.(net.Error).Timeout() {
		t.Errorf("while it is frozen: %v, want silence", err)
	}
	a.SetReadDeadline(time.Now().Add(patience))
	if got := a.lines(1) + " " + b.lines(4); got != "+PONG *3 $-1 $4 miss" {
		t.Errorf("as it goes on: %q", got)
	}
}

// The watch tells a box that was replaced at the address of one that has gone, and the rules see work that a node
// still sends to it.
func TestReplacedAtItsAddressAndWatched(t *testing.T) {
	t.Parallel()
	r := newRig(t, fast+`
[rules]
drain_within = "200ms"
grace = "50ms"
[[fault]]
kind = "deploy"
at = "100ms"
for = "100ms"
batch = 1
boxes = ["box-0"]
drain_for = "1500ms"
same_address = 1
`)
	resp, err := http.Get(fmt.Sprintf("http://%s/discovery/hosts?watch=1&after=%d", r.cfg["discovery"], r.list.Version))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	states := map[string]string{}
	next := func(id, state string) instance {
		t.Helper()
		for lines.Scan() {
			var l list
			if lines.Text() == "" {
				continue
			}
			if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
				t.Fatalf("%q: %v", lines.Text(), err)
			}
			for _, in := range l.Instances {
				states[in.ID] = in.State
				if in.ID == id && in.State == state {
					return in
				}
			}
		}
		t.Fatalf("%s %s was never told; told %v", id, state, states)
		return instance{}
	}
	next("box-0", "draining")
	time.Sleep(300 * time.Millisecond) // past drain_within and its grace
	p := r.mustDial(1)
	p.send("CACHE.GET", "k", "late", "c=read,d=900")
	if got := p.lines(1); got != "-BUSY" {
		t.Errorf("a box that drains answers %q", got)
	}
	if in := next("box-2", "up"); in.Addr != r.list.Instances[1].Addr || in.Started == 0 {
		t.Errorf("the successor is %+v, want it at %s", in, r.list.Instances[1].Addr)
	}
	broken := r.e.Summary().Broken
	if len(broken) != 1 || broken[0].Invariant != invariants.SentToDraining || !strings.Contains(broken[0].Text, "late was sent to box-0") {
		t.Errorf("rules broken: %v", broken)
	}
}

// Spoilt answers come on the wire as such; what follows one on its connection is never sent.
func TestSpoiltAnswers(t *testing.T) {
	t.Parallel()
	r := newRig(t, fast+"[[fault]]\nkind = \"spoilt\"\nat = \"0s\"\nanswers = 1\n")
	seen := map[string]bool{}
	for i := range 60 {
		p := r.mustDial(1)
		p.send("PING")
		p.SetDeadline(time.Now().Add(100 * time.Millisecond))
		b := make([]byte, 256)
		n, _ := io.ReadAtLeast(p, b, 5)
		seen[fmt.Sprintf("%.6q", b[:n])] = true
		p.Close()
		if i > 20 && len(seen) >= 5 {
			break
		}
	}
	if len(seen) < 5 {
		t.Errorf("only %d forms of spoilt answers: %v", len(seen), seen)
	}
}

func TestPortTaken(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s, _ := scenario.Parse("t.toml", []byte(fast))
	port := ln.Addr().(*net.TCPAddr).Port
	_, err = New(s.Draw(1), Options{Log: slog.New(slog.DiscardHandler), BasePort: port - 100})
	if err == nil || !strings.Contains(err.Error(), fmt.Sprintf("port %d is taken", port)) {
		t.Errorf("with its port taken: %v", err)
	}
	if _, err := newDoor(port, nil); err == nil || !strings.Contains(err.Error(), "is taken") {
		t.Errorf("a door at a taken port: %v", err)
	}
}

// Two hundred boxes for four nodes come up; they may take three seconds, and the log of the test says how long it was.
func TestManyBoxes(t *testing.T) {
	start := time.Now()
	r := newRig(t, strings.Replace(fast, "count = 2", "count = 200", 1)+"[nodes]\ncount = 4\n")
	t.Logf("200 boxes for 4 nodes were up after %s", time.Since(start))
	if n := len(r.list.Instances); n != 201 {
		t.Fatalf("%d servers are listed", n)
	}
	for _, i := range []int{1, 100, 200} {
		p := r.mustDial(i)
		p.send("PING")
		if got := p.lines(1); got != "+PONG" {
			t.Errorf("box %d: %q", i, got)
		}
	}
}

// BenchmarkEmulator is what the rig itself costs: hits at 20 boxes over 64 connections, through sockets, model and
// rules. Its processor time is for both sides of the sockets.
func BenchmarkEmulator(b *testing.B) {
	text := strings.Replace(strings.Replace(fast, "count = 2", "count = 20", 1), "100us", "1us", 2)
	s, err := scenario.Parse("bench.toml", []byte(strings.ReplaceAll(text, `work = "2ms"`, `work = "1us"`)))
	if err != nil {
		b.Fatal(err)
	}
	e, err := New(s.Draw(1), Options{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	if err := e.Start(); err != nil {
		b.Fatal(err)
	}
	var l list
	e.Do(func(_ time.Duration, p *model.System, _ *invariants.Checker) { json.Unmarshal(e.wire(p.List(), 0), &l) })
	cpu := func() time.Duration {
		var u syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	var next atomic.Int64
	start := cpu()
	b.SetParallelism(64 / runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		n := next.Add(1)
		c, err := net.Dial("tcp", l.Instances[1+n%20].Addr)
		if err != nil {
			b.Error(err)
			return
		}
		defer c.Close()
		p := &peer{c, bufio.NewReader(c)}
		for i := 0; pb.Next(); i++ {
			p.send("CACHE.GET", "k", fmt.Sprint(n, "-", i), "c=read,d=2900")
			if got := p.lines(5); strings.HasSuffix(got, "closed") {
				b.Error(got)
				return
			}
		}
	})
	b.ReportMetric(float64((cpu()-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
