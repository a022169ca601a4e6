// Package rig2 holds the stand-ins of the cases 6 to 10: cache servers, the origin, discovery, clients, and the start of a real node.
// All of them listen on loopback addresses and free ports.
package rig2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CouldNot  = 2
	dialLimit = 2 * time.Second
)

// Case is one run of a case: its record, and what has to be ended.
type Case struct {
	Trouble bool
	Dir     string // temporary folder
	root    string
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	nodes    []*Node
	closers  []io.Closer
	failures []string
}

// NewCase begins a case. folder is the case's folder, such as review/6, from the root of the repository.
func NewCase(folder string) *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if c.root, err = os.Getwd(); err != nil {
		c.Stop("no working folder: %v", err)
	}
	if c.record, err = os.Create(filepath.Join(c.root, folder, "record.txt")); err != nil {
		c.Stop("no record: %v", err)
	}
	if c.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		c.Stop("no temporary folder: %v", err)
	}
	c.Log("trouble=%v", c.Trouble)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() { c.Stop("ended by %v", <-ended) }()
	time.AfterFunc(110*time.Second, func() { c.Stop("the case took too long") })
	return c
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record != nil {
		fmt.Fprintf(c.record, "%9.4f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Log("BROKEN %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, text)
}

// Stop ends the case as one that could not run.
func (c *Case) Stop(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Log("COULD NOT RUN %s", text)
	fmt.Println("could not run:", text)
	c.cleanUp()
	os.Exit(CouldNot)
}

// End ends the case with its verdict.
func (c *Case) End() {
	c.cleanUp()
	c.mu.Lock()
	failures := c.failures
	c.mu.Unlock()
	if len(failures) == 0 {
		c.Log("HELD")
		fmt.Println("held")
		os.Exit(Held)
	}
	fmt.Printf("broken %d times, first: %s\n", len(failures), failures[0])
	os.Exit(Broken)
}

func (c *Case) cleanUp() {
	c.mu.Lock()
	nodes, closers := c.nodes, c.closers
	c.nodes, c.closers = nil, nil
	c.mu.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
	for _, closer := range closers {
		_ = closer.Close()
	}
	if c.Dir != "" {
		_ = os.RemoveAll(c.Dir)
	}
}

// Listen listens on a free port, and closes it at the end of the case.
func (c *Case) Listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Stop("listen: %v", err)
	}
	c.mu.Lock()
	c.closers = append(c.closers, l)
	c.mu.Unlock()
	return l
}

// FreePort returns a loopback address that nothing listens on.
func (c *Case) FreePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Stop("listen: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Command is a request as it arrived at a cache server or at the origin.
type Command struct {
	Write  bool
	Key    string
	ID     string
	Extras string
	Value  string
	Conn   int
	At     time.Time
	Probe  bool // PING or GET /alive
}

// Param returns a value of the list of names and values.
func (m Command) Param(name string) string {
	for _, pair := range strings.Split(m.Extras, ",") {
		if n, v, ok := strings.Cut(pair, "="); ok && n == name {
			return v
		}
	}
	return ""
}

// Millis returns a parameter as a number of milliseconds.
func (m Command) Millis(name string) int {
	n, _ := strconv.Atoi(m.Param(name))
	return n
}

// ReadCommand reads one RESP2 array of bulk strings.
func ReadCommand(r *bufio.Reader) ([]string, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	if len(line) < 2 || line[0] != '*' {
		return nil, fmt.Errorf("no array: %q", line)
	}
	count, err := strconv.Atoi(line[1:])
	if err != nil {
		return nil, err
	}
	args := make([]string, count)
	for i := range args {
		if line, err = readLine(r); err != nil {
			return nil, err
		}
		size, err := strconv.Atoi(strings.TrimPrefix(line, "$"))
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		args[i] = string(b[:size])
	}
	return args, nil
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// Bulk returns a bulk string.
func Bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }

// Hit is a cache server's answer with a value; Miss is the answer without one.
func Hit(value string) string { return "*3\r\n" + Bulk(value) + Bulk("hit") + "$-1\r\n" }

// Miss is the answer of a cache server that has no value.
const Miss = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"

// CacheConn is one connection to a cache server. Answers are written in the order of the commands.
type CacheConn struct {
	Number  int
	Net     net.Conn
	mu      sync.Mutex
	pending int  // commands that have arrived and are neither answered nor dropped
	ended   bool // the node has ended its sending, or the connection is closed
}

// Waiting returns how many commands of the connection wait.
func (c *CacheConn) Waiting() int { c.mu.Lock(); defer c.mu.Unlock(); return c.pending }

// Ended reports whether the node has closed the connection or ended its sending.
func (c *CacheConn) Ended() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.ended }

// Write writes bytes to the node.
func (c *CacheConn) Write(s string) { _, _ = io.WriteString(c.Net, s) }

// CacheServer is a stand-in for a cache server. Answer is called for each command in a goroutine of its own and returns the answer, or
// "" for a command that is dropped without a word. The answers of a connection are written in the order of its commands; a dropped
// command has none.
type CacheServer struct {
	Name, Addr string
	Answer     func(s *CacheServer, conn *CacheConn, m Command) string
	After      func(s *CacheServer, conn *CacheConn, m Command) // called in order after an answer was written, or nil
	ConnectLag time.Duration
}

var connNumbers struct {
	sync.Mutex
	last int
}

func nextConn() int {
	connNumbers.Lock()
	defer connNumbers.Unlock()
	connNumbers.last++
	return connNumbers.last
}

// StartCache starts a cache server.
func (c *Case) StartCache(name string, answer func(*CacheServer, *CacheConn, Command) string) *CacheServer {
	l := c.Listen()
	s := &CacheServer{Name: name, Addr: l.Addr().String(), Answer: answer}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serveCache(s, conn)
		}
	}()
	return s
}

func (c *Case) serveCache(s *CacheServer, netConn net.Conn) {
	conn := &CacheConn{Number: nextConn(), Net: netConn}
	defer netConn.Close()
	type slot struct {
		m      Command
		answer chan string
	}
	slots := make(chan slot, 1024)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sl := range slots {
			text := <-sl.answer
			conn.mu.Lock()
			conn.pending--
			conn.mu.Unlock()
			if text == "" {
				continue
			}
			conn.Write(text)
			if !sl.m.Probe {
				c.Log("%s conn %d answered id=%s", s.Name, conn.Number, sl.m.ID)
			}
			if s.After != nil {
				s.After(s, conn, sl.m)
			}
		}
	}()
	r := bufio.NewReaderSize(netConn, 128<<10)
	for {
		args, err := ReadCommand(r)
		if err != nil {
			break
		}
		m := Command{Conn: conn.Number, At: time.Now()}
		sl := slot{answer: make(chan string, 1)}
		switch {
		case strings.EqualFold(args[0], "PING"):
			m.Probe = true
			sl.answer <- "+PONG\r\n"
		case len(args) >= 4 && strings.HasPrefix(args[0], "CACHE."):
			m.Key, m.ID, m.Extras = args[1], args[2], args[3]
			if m.Write = args[0] == "CACHE.SET"; m.Write && len(args) > 4 {
				m.Value = args[4]
			}
			c.Log("%s conn %d got %s key=%s id=%s %s", s.Name, conn.Number, args[0], m.Key, m.ID, m.Extras)
		default:
			sl.answer <- "-ERR unknown\r\n"
			m.Probe = true
		}
		conn.mu.Lock()
		conn.pending++
		conn.mu.Unlock()
		sl.m = m
		slots <- sl
		if !m.Probe {
			go func() { sl.answer <- s.Answer(s, conn, m) }()
		}
	}
	conn.mu.Lock()
	conn.ended = true
	conn.mu.Unlock()
	close(slots)
	<-done
}

// Origin is a stand-in for the origin.
type Origin struct {
	Addr string
}

// StartOrigin starts an origin. answer returns the status, the body, and whether the request provably never ran.
func (c *Case) StartOrigin(answer func(m Command) (status int, body string)) *Origin {
	l := c.Listen()
	mux := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/alive" || r.URL.Path == "/metrics/load" {
			_, _ = io.WriteString(w, "ok")
			return
		}
		body, _ := io.ReadAll(r.Body)
		m := Command{Write: r.Method == http.MethodPut, Key: strings.TrimPrefix(r.URL.Path, "/"), ID: r.Header.Get("X-Request-Id"),
			Extras: r.Header.Get("X-Extras"), Value: string(body), At: time.Now()}
		c.Log("origin got %s key=%s id=%s %s", r.Method, m.Key, m.ID, m.Extras)
		status, text := answer(m)
		if status == 503 || status == 504 {
			w.Header().Set("X-Not-Run", "1")
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
		c.Log("origin answered id=%s %d", m.ID, status)
	})
	server := &http.Server{Handler: mux, IdleTimeout: 30 * time.Second}
	go func() { _ = server.Serve(l) }()
	return &Origin{Addr: l.Addr().String()}
}

// Instance is an entry of discovery's list.
type Instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// List is what discovery sends.
type List struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery is a stand-in for discovery: one service, at one address or at several.
type Discovery struct {
	Addr   string        // the address at which it was started
	Leave  func()        // has that address take no new connection, and close the open ones after 1.5 s
	Answer time.Duration // how long a call waits for its answer

	c       *Case
	mu      sync.Mutex
	list    List
	changes []List
	changed chan struct{}
}

// StartDiscovery starts discovery with a list.
func (c *Case) StartDiscovery(instances ...Instance) *Discovery {
	d := &Discovery{c: c, list: List{Generation: 41, Reset: true, Instances: instances}, changed: make(chan struct{})}
	d.Addr, d.Leave = d.Open()
	return d
}

// closeAfter is how long an address that is no longer in use keeps its open connections.
const closeAfter = 1500 * time.Millisecond

// Open serves the list at one more address. leave has the address take no new connection, and close the open ones after 1.5 s.
func (d *Discovery) Open() (addr string, leave func()) {
	l := d.c.Listen()
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), func() {
		_ = l.Close()
		time.AfterFunc(closeAfter, func() { _ = server.Close() })
	}
}

// Known returns the list as it is.
func (d *Discovery) Known() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.list
	list.Instances = append([]Instance(nil), d.list.Instances...)
	return list
}

// Change tells a change of entries to all watches.
func (d *Discovery) Change(entries ...Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Generation++
	for _, entry := range entries {
		kept := d.list.Instances[:0:0]
		for _, old := range d.list.Instances {
			if old.InstanceID != entry.InstanceID {
				kept = append(kept, old)
			}
		}
		if entry.Lifecycle != "removed" {
			kept = append(kept, entry)
		}
		d.list.Instances = kept
		d.c.Log("discovery %d: %s is %s", d.list.Generation, entry.InstanceID, entry.Lifecycle)
	}
	d.changes = append(d.changes, List{Generation: d.list.Generation, Instances: entries})
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(d.Known())
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	select { // the call waits for its turn
	case <-r.Context().Done():
		return
	case <-time.After(d.Answer):
	}
	flusher := w.(http.Flusher)
	next := 0
	d.mu.Lock()
	var first List
	if after < 41 || after > d.list.Generation {
		first = d.list
	} else {
		first = List{Generation: d.list.Generation, Instances: []Instance{}}
		seen := map[string]bool{}
		for i := len(d.changes) - 1; i >= 0 && d.changes[i].Generation > after; i-- {
			for _, entry := range d.changes[i].Instances {
				if !seen[entry.InstanceID] {
					seen[entry.InstanceID] = true
					first.Instances = append(first.Instances, entry)
				}
			}
		}
	}
	next = len(d.changes)
	changed := d.changed
	d.mu.Unlock()
	send := func(list List) {
		text, _ := json.Marshal(list)
		_, _ = w.Write(append(text, '\n'))
		flusher.Flush()
	}
	send(first)
	d.c.Log("discovery answered a call with %d", first.Generation)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			_, _ = io.WriteString(w, "\n")
			flusher.Flush()
		case <-changed:
			d.mu.Lock()
			fresh := append([]List(nil), d.changes[next:]...)
			next, changed = len(d.changes), d.changed
			d.mu.Unlock()
			for _, list := range fresh {
				send(list)
			}
		}
	}
}

// MemoryMB and Sockets are the limits of the nodes that are started.
var MemoryMB, Sockets = 192, 1024

// Cores is the part of a processor of the nodes that are started.
var Cores = 1.0

// Node is a real node.
type Node struct {
	Addr   string
	config map[string]any
	path   string
	cmd    *exec.Cmd
	done   chan struct{}
}

// Settings returns the settings of a small deployment like logbook-north, in the form of the simulator's first message.
func Settings(nodes int) map[string]any {
	return map[string]any{
		"accounts": []any{}, "az": "room-a", "client_habits": map[string]any{"marks_retry": true},
		"deductions": map[string]any{"connection": 0.0, "cross_zone": 0.13, "handshake": 0.02, "late_fail": 0.03, "moves": 0.0,
			"origin": 0.0, "peer": 0.009, "probe": 0.04, "registry_mode": 0.0, "waste": 0.3},
		"failure_domains": []string{"room-a", "room-b", "room-c", "room-d"},
		"family":          "cache",
		"family_info": map[string]any{"mode": "aside", "notes": "1 hit, 2 miss", "origin_fall": 3000000, "origin_fall_multiple": 0.0,
			"origin_kind": 3},
		"goal": map[string]any{"whole": 0.45, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.35},
		"lanes": []any{
			Lane("view-logbook", "idempotent", 1500, 6000, 1, 0.5),
			Lane("sign-off", "deduplicated", 2500, 6000, 10, 0.25),
			Lane("issue-cert", "at_most_once", 1000, 2000, 3, 0.25),
		},
		"layer": 0,
		"limits": map[string]any{"cancel": true, "conn_idle": 30000000, "connect_timeout": 250000, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 500000, "max_attempts": 6, "max_open": 20000, "max_retry_after": 2000000, "may_tell": false, "probes": true,
			"retry_after": false, "second_copies": true, "streams_per_conn": 32},
		"load_report":      map[string]any{"fields": []string{"avg_ms", "active"}, "how": "probe"},
		"machine_types":    []string{"fast", "standard", "slow", "origin"},
		"over_share_worth": 0.1, "rank": 0, "registry_mode": "subscribe", "replicas_of_me": nodes,
		"rules": map[string]any{"cold_from": 0.13, "drain_grace": 2500000, "fall": 1500000, "grace_to_answer": 20000,
			"must_ask_in": 10000000, "overload_factor": 3.0, "warm_after": 23000000},
		"tick": 5000, "tiers": []string{"logbook-cache"}, "value_by": "work", "weights": "nominal",
	}
}

// Lane returns a class, with its aim and deadline in milliseconds.
func Lane(name, semantics string, aim, deadline int, worth, late float64) map[string]any {
	return map[string]any{"name": name, "semantics": semantics, "goal_time": aim * 1000, "deadline": deadline * 1000, "worth": worth,
		"late_worth": late, "key_scope": "all", "window": 4000000, "streamed": false}
}

// Limits sets a field of the settings' limits.
func Limits(settings map[string]any, name string, value any) {
	settings["limits"].(map[string]any)[name] = value
}

// StartNode starts a real node by the deploy file's run line, and waits until it answers PING and has opened its watch.
func (c *Case) StartNode(name, discovery string, known List, settings map[string]any) *Node {
	return c.StartNodeAt(c.FreePort(), name, discovery, known, settings)
}

// StartNodeAt does the same at an address.
func (c *Case) StartNodeAt(addr, name, discovery string, known List, settings map[string]any) *Node {
	n := &Node{Addr: addr, done: make(chan struct{})}
	config := map[string]any{"name": name, "listen": n.Addr, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": Cores, "memory_mb": MemoryMB, "sockets": Sockets}, "known": known, "settings": settings}
	text, _ := json.Marshal(config)
	path := filepath.Join(c.Dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		c.Stop("config: %v", err)
	}
	n.config, n.path = config, path
	run, err := c.runLine()
	if err != nil {
		c.Stop("deploy file: %v", err)
	}
	logFile, err := os.Create(filepath.Join(c.Dir, name+".log"))
	if err != nil {
		c.Stop("log: %v", err)
	}
	n.cmd = exec.Command("/bin/sh", "-c", run)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = c.root, logFile, logFile
	n.cmd.Env = append(os.Environ(), "LB_NAME="+name, "LB_LISTEN="+n.Addr, "LB_DISCOVERY="+discovery, "LB_CONFIG="+path, "TMPDIR="+c.Dir)
	if err := n.cmd.Start(); err != nil {
		c.Stop("node: %v", err)
	}
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	go func() { _ = n.cmd.Wait(); close(n.done) }()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if client, err := Dial(n.Addr); err == nil {
			answer, err := client.Ask(time.Second, "PING")
			client.Close()
			if err == nil && answer.Kind == '+' {
				break
			}
		}
		if time.Now().After(end) {
			c.Stop("the node did not answer PING")
		}
	}
	c.Log("node %s is up at %s", name, n.Addr)
	return n
}

// runLine returns run of the deploy file.
func (c *Case) runLine() (string, error) {
	text, err := os.ReadFile(filepath.Join(c.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strconv.Unquote(strings.TrimSpace(rest))
		}
	}
	return "", errors.New("no run line")
}

// Reload replaces the configuration by one with another address of discovery, and sends SIGHUP.
func (n *Node) Reload(discovery string) error {
	n.config["discovery"] = discovery
	text, err := json.Marshal(n.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.path+".new", text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(n.path+".new", n.path); err != nil {
		return err
	}
	n.Signal(syscall.SIGHUP)
	return nil
}

// Signal sends a signal to the node.
func (n *Node) Signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// Done is closed once the node has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Kill kills the node and waits for its end.
func (n *Node) Kill() {
	_ = n.cmd.Process.Kill()
	<-n.done
}

// Client is a client's connection.
type Client struct {
	Net net.Conn
	r   *bufio.Reader
}

// Dial opens a client's connection.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, dialLimit)
	if err != nil {
		return nil, err
	}
	return &Client{Net: conn, r: bufio.NewReaderSize(conn, 128<<10)}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.Net.Close() }

// Send writes a command.
func (c *Client) Send(args ...string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		b.WriteString(Bulk(arg))
	}
	_, err := c.Net.Write(b.Bytes())
	return err
}

// Answer is a node's answer: its kind ('$', '-', '+' or '*') and its text.
type Answer struct {
	Kind byte
	Text string
	Null bool
}

// Served reports whether the answer is a value.
func (a Answer) Served() bool { return a.Kind == '$' && !a.Null }

// String returns the answer for the record.
func (a Answer) String() string {
	if len(a.Text) > 80 {
		return fmt.Sprintf("%c%s... (%d bytes)", a.Kind, a.Text[:80], len(a.Text))
	}
	return fmt.Sprintf("%c%s", a.Kind, a.Text)
}

// Read reads one answer.
func (c *Client) Read(limit time.Duration) (Answer, error) {
	_ = c.Net.SetReadDeadline(time.Now().Add(limit))
	line, err := readLine(c.r)
	if err != nil {
		return Answer{}, err
	}
	if line == "" {
		return Answer{}, errors.New("an empty line")
	}
	answer := Answer{Kind: line[0], Text: line[1:]}
	if answer.Kind == '$' {
		size, err := strconv.Atoi(answer.Text)
		if err != nil {
			return answer, err
		}
		if size < 0 {
			answer.Null = true
			return answer, nil
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(c.r, b); err != nil {
			return answer, err
		}
		answer.Text = string(b[:size])
	}
	return answer, nil
}

// Ask sends a command and reads its answer.
func (c *Client) Ask(limit time.Duration, args ...string) (Answer, error) {
	if err := c.Send(args...); err != nil {
		return Answer{}, err
	}
	return c.Read(limit)
}

// Delayed starts a proxy in front of addr that holds each byte for oneWay in both directions, like a link between two machine rooms. It
// returns the proxy's address.
func (c *Case) Delayed(addr string, oneWay time.Duration) string {
	l := c.Listen()
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", addr)
			if err != nil {
				_ = near.Close()
				continue
			}
			go carry(near, far, oneWay)
			go carry(far, near, oneWay)
		}
	}()
	return l.Addr().String()
}

// carry passes bytes on, each oneWay after it came, and the end as well.
func carry(from, to net.Conn, oneWay time.Duration) {
	type piece struct {
		at    time.Time
		bytes []byte
	}
	pieces := make(chan piece, 4096)
	go func() {
		for p := range pieces {
			for time.Until(p.at) > 0 { // a short wait is kept to some microseconds
				if left := time.Until(p.at); left > 300*time.Microsecond {
					time.Sleep(left - 200*time.Microsecond)
				}
			}
			if p.bytes == nil {
				_ = to.(*net.TCPConn).CloseWrite()
				continue
			}
			_, _ = to.Write(p.bytes)
		}
	}()
	defer close(pieces)
	for {
		b := make([]byte, 16<<10)
		n, err := from.Read(b)
		if n > 0 {
			pieces <- piece{time.Now().Add(oneWay), b[:n]}
		}
		if err != nil {
			pieces <- piece{time.Now().Add(oneWay), nil}
			return
		}
	}
}
