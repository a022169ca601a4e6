package emulator

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/wireformat"
)

// fastScenario is a scenario whose servers respond within milliseconds.
const fastScenario = `
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

// A read misses at a cache server and is served by the origin. The next read is a hit, and a write invalidates the copy.
// All responses are encoded as the protocol requires.
func TestReadIsCachedUntilItsKeyIsWritten(t *testing.T) {
	t.Parallel()
	rig := newRig(t, fastScenario)
	cache, origin := rig.dial(1), rig.dial(0)
	cache.send("CACHE.GET", "k", "id1", "c=read,d=900")
	cache.wantLines("read of a key that is not cached", 5, "*3 $-1 $4 miss $-1")
	got := origin.roundTrip("GET /k HTTP/1.1\r\nHost: o\r\nX-Request-Id: id1\r\nX-Extras: c=read,d=900\r\n\r\n")
	if got.status != 200 || wireformat.RequestOfValue(got.body) != "id1" || !strings.Contains(got.loadReport, "inflight=") {
		t.Errorf("the origin answers %d with the load report %q and %.40q, want 200, a load report and a value for id1", got.status, got.loadReport, got.body)
	}
	cache.send("CACHE.GET", "k", "id2", "c=read,d=900")
	cache.send("PING")
	cache.send("INFO", "load")
	if got := cache.readLines(5); !strings.HasPrefix(got, "*3 $1800 id2|k|v0|") || !strings.HasSuffix(got, "$3 hit") {
		t.Errorf("read of a cached key: %.80q, want a hit for id2", got)
	}
	if got := cache.readLines(4); !strings.HasPrefix(got, "$-1 +PONG $") || !strings.Contains(got, "latency_ms=") {
		t.Errorf("health checks behind it: %q, want PONG and a load report", got)
	}
	got = origin.roundTrip("PUT /k HTTP/1.1\r\nHost: o\r\nX-Request-Id: id3\r\nX-Extras: c=cert,d=900\r\nContent-Length: 3\r\n\r\nnew")
	if got.status != 200 || wireformat.RequestOfValue(got.body) != "id3" {
		t.Errorf("the write is answered %d %q, want 200 and a receipt for id3", got.status, got.body)
	}
	cache.send("CACHE.GET", "k", "id4", "c=read,d=900")
	cache.wantLines("read after the write", 4, "*3 $-1 $4 miss")
	if got := rig.emulator.Summary(); got.Requests != 5 || got.HealthChecks != 2 || got.Malformed != 0 || len(got.Violations) != 0 {
		t.Errorf("summary %+v, want 5 requests, 2 health checks, nothing malformed and no violation", got)
	}
}

func TestMalformedCommandsAreAnsweredWithErrors(t *testing.T) {
	t.Parallel()
	rig := newRig(t, fastScenario)
	cache := rig.dial(1)
	for _, args := range [][]string{
		{"CACHE.GET", "k"},
		{"CACHE.GET", "k", "id", "c=none,d=9"},
		{"CACHE.GET", "k", "id", "c=read"},
		{"CACHE.GET", "k", "id", "c=cert,d=9"},
		{"CACHE.GET", "k", "id", "c=read,d=-1"},
		{"CACHE.SET", "k", "id", "c=read,d=9", "v"},
	} {
		cache.send(args...)
		if got := cache.readLines(1); !strings.HasPrefix(got, "-SYNTAX ") {
			t.Errorf("%q: %q, want -SYNTAX", args, got)
		}
	}
	cache.send("HELLO", "3")
	cache.send("CLIENT", "SETNAME", "x")
	cache.wantLines("HELLO and CLIENT", 2, "-ERR unknown command +OK")
	if _, err := io.WriteString(cache, "*1\r\n$x\r\n"); err != nil {
		t.Fatal(err)
	}
	if got := cache.readLines(2); !strings.HasPrefix(got, "-ERR ") || !strings.HasSuffix(got, "closed") {
		t.Errorf("malformed framing: %q, want -ERR and the end of the connection", got)
	}
	if got := rig.emulator.Summary().Malformed; got != 7 {
		t.Errorf("%d malformed commands, want 7", got)
	}
}

// When a cache server's process dies, its connections are reset and new ones are refused.
func TestDeadProcessRefusesConnectionsUntilItRestarts(t *testing.T) {
	t.Parallel()
	rig := newRig(t, fastScenario+`
[[fault]]
kind = "kill"
at = "300ms"
for = "500ms"
boxes = ["box-0"]
`)
	cache := rig.dial(1)
	cache.send("PING")
	cache.wantLines("health check before and after the end of the process", 2, "+PONG closed")
	if _, err := rig.dialOnce(1); err == nil || isTimeout(err) {
		t.Errorf("connecting to a dead process: %v, want refused", err)
	}
	rig.waitUntilResponsive(1)
}

// During a network partition, new connections to a machine are neither established nor refused. Connections that were
// open before are reset at the end of the partition.
func TestPartitionedMachineIsUnresponsiveUntilItHeals(t *testing.T) {
	t.Parallel()
	rig := newRig(t, fastScenario+`
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
	rig.waitUntil("the process is dead", func() bool { _, err := rig.dialOnce(1); return err != nil })
	rig.waitUntilResponsive(1)
	cache := rig.dial(1)
	cache.send("PING")
	cache.wantLines("health check after the restart", 1, "+PONG")
	rig.waitUntil("connections are not established", func() bool { _, err := rig.dialOnce(1); return isTimeout(err) })
	cache.send("PING")
	cache.wantLines("a connection that was open during the partition", 1, "closed")
	rig.waitUntilResponsive(1)
}

// waitUntilResponsive waits until an endpoint answers a health check on a new connection.
func (r *rig) waitUntilResponsive(index int) {
	r.t.Helper()
	r.waitUntil("the server answers", func() bool {
		conn, err := r.dialOnce(index)
		if err != nil {
			return false
		}
		conn.send("PING")
		return conn.readLines(1) == "+PONG"
	})
}

// A frozen process keeps its connections open, accepts new ones, and answers everything once it is no longer frozen.
func TestFrozenProcessAnswersAfterwards(t *testing.T) {
	t.Parallel()
	rig := newRig(t, fastScenario+`
[[fault]]
kind = "freeze"
at = "0s"
for = "4s"
boxes = ["box-0"]
`)
	checking, reading := rig.dial(1), rig.dial(1)
	checking.send("PING")
	reading.send("CACHE.GET", "k", "id1", "c=read,d=2900")
	checking.wantSilence(300 * time.Millisecond)
	checking.wantLines("health check", 1, "+PONG")
	reading.wantLines("read", 4, "*3 $-1 $4 miss")
}

// A watch reports the server that replaces a draining one at the same address. A request that a node still sends to the
// draining server is a violation.
func TestRequestForDrainingServerIsAViolation(t *testing.T) {
	t.Parallel()
	rig := newRig(t, fastScenario+`
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
	watch := rig.watch()
	watch.waitFor("box-0", "draining")
	notified := rig.emulator.Now()
	rig.waitUntil("drain_within and its grace have passed", func() bool { return rig.emulator.Now() > notified+300*time.Millisecond })
	cache := rig.dial(1)
	cache.send("CACHE.GET", "k", "late", "c=read,d=900")
	cache.wantLines("read at a draining server", 1, "-BUSY")
	if got := watch.waitFor("box-2", "up"); got.Address != rig.list.Endpoints[1].Address || got.Started == 0 {
		t.Errorf("replacement %+v, want it at %s with a start time", got, rig.list.Endpoints[1].Address)
	}
	violations := rig.emulator.Summary().Violations
	if len(violations) != 1 || violations[0].Invariant != invariants.SentToDraining || !strings.Contains(violations[0].Text, "late was sent to box-0") {
		t.Errorf("violations %v, want one that late was sent to box-0", violations)
	}
}

// Responses with the different kinds of corruption reach the node as different bytes.
func TestCorruptResponsesTakeDifferentForms(t *testing.T) {
	t.Parallel()
	rig := newRig(t, fastScenario+"[[fault]]\nkind = \"spoilt\"\nat = \"0s\"\nanswers = 1\n")
	const wantForms = 5
	seen := map[string]bool{}
	for i := range 60 {
		cache := rig.dial(1)
		cache.send("PING")
		cache.setReadTimeout(100 * time.Millisecond)
		form := make([]byte, 256)
		n, _ := io.ReadAtLeast(cache, form, 5) // the error is ignored: some corrupt responses are shorter
		seen[fmt.Sprintf("%.6q", form[:n])] = true
		if err := cache.Close(); err != nil {
			t.Fatal(err)
		}
		if i > 20 && len(seen) >= wantForms {
			break
		}
	}
	if len(seen) < wantForms {
		t.Errorf("%d forms of corrupt responses, want %d at least: %v", len(seen), wantForms, seen)
	}
}

func TestPortInUseIsNamed(t *testing.T) {
	t.Parallel()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	port := listener.Addr().(*net.TCPAddr).Port
	want := &PortTakenError{port}
	options := Options{Log: slog.New(slog.DiscardHandler), BasePort: port - discoveryPortOffset}
	if _, err := New(parsePlan(t, fastScenario), options); !isPortTaken(err, port) || !strings.Contains(err.Error(), want.Error()) {
		t.Errorf("emulator at a port in use: %v, want %v", err, want)
	}
	if _, err := newAcceptor(port, nil); !isPortTaken(err, port) {
		t.Errorf("acceptor at a port in use: %v, want %v", err, want)
	}
}

// 200 cache servers for four nodes start. This should take three seconds at most. The test logs the time but does not check it.
func TestTwoHundredCacheServersStart(t *testing.T) {
	start := time.Now()
	rig := newRig(t, strings.Replace(fastScenario, "count = 2", "count = 200", 1)+"[nodes]\ncount = 4\n")
	t.Logf("200 cache servers for 4 nodes had started after %s", time.Since(start))
	if got := len(rig.list.Endpoints); got != 201 {
		t.Fatalf("%d endpoints are listed, want 201", got)
	}
	for _, index := range []int{1, 100, 200} {
		conn := rig.dial(index)
		conn.send("PING")
		conn.wantLines(fmt.Sprintf("health check of endpoint %d", index), 1, "+PONG")
	}
}
