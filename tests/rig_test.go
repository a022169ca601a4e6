// Package tests starts the real program as a process and talks to it as clients, cache servers, the origin and
// discovery would. This file is the one helper that all tests share.
package tests

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// patience is generous: it only bounds how long a failing test takes.
const patience = 20 * time.Second

// The real programs.
var program, lab string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "shelfproxy")
	if err != nil {
		panic(err)
	}
	program, lab = filepath.Join(dir, "shelfproxy"), filepath.Join(dir, "testbed")
	args := append([]string{"build", "-buildvcs=false", "-o", dir + "/"}, buildFlags...)
	if out, err := exec.Command("go", append(args, "shelfproxy/cmd/shelfproxy", "shelfproxy/cmd/testbed")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// rig is a node and all that it talks to.
type rig struct {
	t       *testing.T
	config  map[string]any
	cmd     *exec.Cmd
	addr    string
	log     lockedBuffer
	exited  chan error
	path    string      // of the configuration
	changes chan string // lines for the watch
	watches chan string // queries of the watches that were opened
	origin  http.HandlerFunc
	open    atomic.Int64       // watches that are open
	asked   chan *http.Request // what the origin was asked
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func instance(id, addr, kind, lifecycle string) map[string]any {
	return map[string]any{"instanceId": id, "hostPort": addr, "zone": "a", "machineType": kind, "cell": 0,
		"lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0}
}

// list is a list in discovery's form.
func list(version int, whole bool, instances ...map[string]any) map[string]any {
	return map[string]any{"generation": version, "reset": whole, "instances": instances}
}

// newRig prepares a node with these cache servers, named s0, s1 ...; start starts it.
func newRig(t *testing.T, targets ...*target) *rig {
	r := &rig{t: t, exited: make(chan error, 1), changes: make(chan string, 8), watches: make(chan string, 8),
		asked: make(chan *http.Request, 64)}
	r.origin = func(w http.ResponseWriter, q *http.Request) {
		fmt.Fprint(w, "from-origin-", q.Header.Get("X-Request-Id"))
	}
	origin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		select {
		case r.asked <- q:
		default:
		}
		r.origin(w, q)
	}))
	discovery := httptest.NewServer(http.HandlerFunc(r.discover))
	t.Cleanup(func() {
		origin.CloseClientConnections()
		discovery.CloseClientConnections()
		origin.Close()
		discovery.Close()
	})
	all := []map[string]any{instance("o", origin.Listener.Addr().String(), "origin", "up")}
	for i, s := range targets {
		all = append(all, instance(fmt.Sprint("s", i), s.addr, "box", "up"))
	}
	lane := func(name, semantics string, worth float64) map[string]any {
		return map[string]any{"name": name, "semantics": semantics, "key_scope": "all", "worth": worth,
			"goal_time": 1500000, "deadline": 3000000, "late_worth": 0.5, "window": 4000000}
	}
	r.config = map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
		"discovery": discovery.Listener.Addr().String(), "known": list(41, true, all...),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{"replicas_of_me": 1, "az": "a", "registry_mode": "subscribe", "tick": 5000,
			"lanes": []any{lane("read", "idempotent", 1), lane("put", "deduplicated", 10),
				lane("cert", "at_most_once", 3)},
			"machine_types": []string{"box", "origin"}, "family_info": map[string]any{"mode": "aside", "origin_kind": 1},
			"limits": map[string]any{"probes": true, "cancel": true, "max_attempts": 6, "max_open": 20000,
				"streams_per_conn": 32, "connect_timeout": 250000, "conn_idle": 30000000},
			"rules": map[string]any{"cold_from": 0.13, "warm_after": 23000000, "overload_factor": 3.0}}}
	return r
}

func (r *rig) discover(w http.ResponseWriter, q *http.Request) {
	r.watches <- q.URL.RawQuery
	r.open.Add(1)
	defer r.open.Add(-1)
	fmt.Fprint(w, `{"generation":41,"reset":false,"instances":[]}`+"\n")
	w.(http.Flusher).Flush()
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		line := ""
		select {
		case line = <-r.changes:
		case <-beat.C:
		case <-q.Context().Done():
			return
		}
		if line == "break" {
			return
		}
		fmt.Fprintln(w, line)
		w.(http.Flusher).Flush()
	}
}

// write puts the configuration into a file and returns the program, ready to run on it.
func (r *rig) write() *exec.Cmd {
	text, err := json.Marshal(r.config)
	if err != nil {
		r.t.Fatal(err)
	}
	r.path = filepath.Join(r.t.TempDir(), "config.json")
	r.replace(string(text))
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+r.path)
	return cmd
}

// replace puts another text into the file of the configuration.
func (r *rig) replace(text string) {
	if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// logged waits for a text in the log.
func (r *rig) logged(text string) {
	r.t.Helper()
	r.until(text, func() bool { return strings.Contains(r.log.String(), text) })
}

// start starts the node and waits until it watches discovery. The test fails if it does not end as asked.
func (r *rig) start() *rig {
	free := r.address()
	free.Close()
	r.launch()
	r.until("the node watches", func() bool { return len(r.watches) > 0 })
	r.until("the node listens", r.listens)
	return r
}

// loopback is an address that no other test listens on or dials from: one that is given back is not taken by them.
func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// address chooses where the node listens, and holds it.
func (r *rig) address() net.Listener {
	ln, err := net.Listen("tcp", loopback())
	if err != nil {
		r.t.Fatal(err)
	}
	r.addr = ln.Addr().String()
	r.config["listen"] = r.addr
	return ln
}

func (r *rig) listens() bool {
	c, err := net.Dial("tcp", r.addr)
	if err == nil {
		c.Close()
	}
	return err == nil
}

// launch starts the program and sees to its end.
func (r *rig) launch() {
	r.cmd = r.write()
	r.cmd.Stderr = &r.log
	if err := r.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	go func() { r.exited <- r.cmd.Wait() }()
	r.t.Cleanup(func() {
		r.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-r.exited:
			if err != nil {
				r.t.Errorf("the node ended with %v: %s", err, &r.log)
			}
		case <-time.After(patience):
			r.cmd.Process.Kill()
			r.t.Errorf("the node did not end: %s", &r.log)
		}
	})
}

func (r *rig) until(what string, done func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("never seen: %s; log: %s", what, &r.log)
		}
	}
}

// tell sends a change of the list down the watch.
func (r *rig) tell(l map[string]any) {
	text, _ := json.Marshal(l)
	r.changes <- string(text)
}

// client is one connection of a client.
type client struct {
	t *testing.T
	net.Conn
	rd *bufio.Reader
}

func (r *rig) dial() *client {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(patience))
	return &client{r.t, c, bufio.NewReader(c)}
}

func (c *client) send(args ...string) *client {
	b := redcon.AppendArray(nil, len(args))
	for _, a := range args {
		b = redcon.AppendBulkString(b, a)
	}
	c.Write(b)
	return c
}

// answer reads one answer: its line, or the value of a bulk string; "closed" at the end of the connection.
func (c *client) answer() string {
	line, err := c.rd.ReadString('\n')
	if err != nil {
		return "closed"
	}
	line = strings.TrimSuffix(line, "\r\n")
	if n := 0; line != "$-1" && line[0] == '$' {
		fmt.Sscanf(line, "$%d", &n)
		b := make([]byte, n+2)
		for at := 0; at < len(b); {
			m, err := c.rd.Read(b[at:])
			if err != nil {
				return "closed"
			}
			at += m
		}
		return string(b[:n])
	}
	return line
}

// want fails the test unless the next answer starts so.
func (c *client) want(start string) {
	c.t.Helper()
	if got := c.answer(); !strings.HasPrefix(got, start) {
		c.t.Fatalf("answer %q, want %q", got, start)
	}
}

// target is a cache server. Its handler returns the bytes of an answer, or none to stay silent; it runs in the
// order of the commands of a connection.
type target struct {
	addr  string
	close func() // takes no more connections
	mu    sync.Mutex
	got   [][]string
	open  int
}

func newTarget(t *testing.T, handle func(args []string) string) *target {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &target{addr: ln.Addr().String(), close: func() { ln.Close() }}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, handle)
		}
	}()
	return s
}

func (s *target) serve(c net.Conn, handle func(args []string) string) {
	s.count(1)
	defer s.count(-1)
	defer c.Close()
	rd := redcon.NewReader(c)
	for {
		cmd, err := rd.ReadCommand()
		if err != nil {
			return
		}
		var args []string
		for _, a := range cmd.Args {
			args = append(args, string(a))
		}
		if args[0] == "PING" {
			fmt.Fprint(c, "+PONG\r\n")
			continue
		}
		s.mu.Lock()
		s.got = append(s.got, args)
		s.mu.Unlock()
		out := handle(args)
		if out == "close" {
			return
		}
		fmt.Fprint(c, out)
	}
}

func (s *target) count(n int) {
	s.mu.Lock()
	s.open += n
	s.mu.Unlock()
}

// seen is the commands that the target has got.
func (s *target) seen() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]string(nil), s.got...)
}

func (s *target) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

const (
	miss   = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
	silent = ""
)

// hit answers with a value that names the request.
func hit(args []string) string {
	v := "value-" + args[2]
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(v), v)
}
