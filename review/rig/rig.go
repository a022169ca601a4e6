// Package rig has the stand-ins of the review's cases: cache servers, the origin, discovery and clients, and the start of the
// real node with the command of the deploy file. Everything is on loopback addresses.
package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

// NewRecord creates the record at path.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		Unable("create the record: %v", err)
	}
	return &Record{out: bufio.NewWriter(file), file: file, start: time.Now()}
}

// Add writes one line with the time in ms since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.3f ", float64(time.Since(r.start).Microseconds())/1000)
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Close flushes the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

var (
	cleanupMu sync.Mutex
	cleanups  []func()
)

// OnExit registers a function that Exit and Unable call.
func OnExit(f func()) {
	cleanupMu.Lock()
	cleanups = append(cleanups, f)
	cleanupMu.Unlock()
}

// Exit ends what was started and exits.
func Exit(code int) {
	cleanupMu.Lock() // never unlocked: only one goroutine exits
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

// Unable exits with 2: the case could not run.
func Unable(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	Exit(2)
}

// Watchdog ends the case, with all that it started, before its time is over and when it is told to end.
func Watchdog() {
	time.AfterFunc(105*time.Second, func() { Unable("the case took too long") })
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
	go func() { Unable("told to end: %v", <-told) }()
}

// Trouble says whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Listen opens a listener on a free port of a loopback address.
func Listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		Unable("listen: %v", err)
	}
	return l
}

// FreePort returns a free TCP port of a loopback address.
func FreePort(ip string) string {
	l := Listen(ip)
	defer l.Close()
	return l.Addr().String()
}

// FreeUDPPort returns a free UDP port of a loopback address.
func FreeUDPPort(ip string) string {
	c, err := net.ListenPacket("udp4", ip+":0")
	if err != nil {
		Unable("listen: %v", err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// ReadCommand reads one RESP command.
func ReadCommand(r *bufio.Reader) ([]string, error) {
	n, err := readNumber(r, '*')
	if err != nil {
		return nil, err
	}
	args := make([]string, 0, n)
	for range n {
		size, err := readNumber(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		args = append(args, string(b[:size]))
	}
	return args, nil
}

func readNumber(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line = strings.TrimRight(line, "\r\n"); line == "" || line[0] != kind {
		return 0, fmt.Errorf("unexpected %q", line)
	}
	return strconv.Atoi(line[1:])
}

// Command encodes a RESP command.
func Command(args ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, a := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b
}

// ReadReply reads one reply to a client: a bulk string (kind '$') or a line with its first byte as the kind.
func ReadReply(r *bufio.Reader) (kind byte, text string, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return 0, "", fmt.Errorf("empty line")
	}
	if line[0] != '$' || line == "$-1" {
		return line[0], line[1:], nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil {
		return 0, "", err
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(r, b); err != nil {
		return 0, "", err
	}
	return '$', string(b[:n]), nil
}

// Hit encodes a cache server's answer with a value.
func Hit(value string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}

// Instance is an entry of discovery's list.
type Instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// List is discovery's list.
type List struct {
	Version   int        `json:"generation"`
	IsFull    bool       `json:"reset"`
	Instances []Instance `json:"instances"`
}

// Discovery is a stand-in for discovery whose list does not change.
func Discovery(list List) (address string) {
	l := Listen("127.0.0.1")
	text, _ := json.Marshal(list)
	handler := http.NewServeMux()
	handler.HandleFunc("/discovery/hosts", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if r.URL.Query().Get("watch") == "" {
			w.Write(text)
			return
		}
		fmt.Fprintf(w, "%s\n", text)
		w.(http.Flusher).Flush()
		for {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			}
		}
	})
	go http.Serve(l, handler)
	return l.Addr().String()
}

// Origin is a stand-in for the origin. serve returns the value or the receipt of a request.
func Origin(serve func(id, key string, isWrite bool) string) (address string) {
	l := Listen("127.0.0.1")
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/alive" || r.URL.Path == "/metrics/load" {
			io.WriteString(w, "latency_ms=5,inflight=0")
			return
		}
		io.WriteString(w, serve(r.Header.Get("X-Request-Id"), strings.TrimPrefix(r.URL.Path, "/"), r.Method == http.MethodPut))
	}))
	return l.Addr().String()
}

// Settings returns the settings of a small deployment, with the classes, limits and rules of logbook-north.
func Settings(nodes int) map[string]any {
	class := func(name, semantics string, deadline, aim, window int, worth, late float64) map[string]any {
		return map[string]any{"deadline": deadline, "goal_time": aim, "key_scope": "all", "late_worth": late, "name": name,
			"semantics": semantics, "streamed": false, "window": window, "worth": worth}
	}
	return map[string]any{
		"accounts": []any{}, "az": "room-a", "failure_domains": []string{"room-a"}, "family": "cache",
		"family_info": map[string]any{"mode": "aside", "origin_kind": 1},
		"lanes": []any{
			class("view-logbook", "idempotent", 6000000, 1500000, 5000000, 1, 0.5),
			class("sign-off", "deduplicated", 6000000, 2500000, 4000000, 10, 0.25),
			class("issue-cert", "at_most_once", 2000000, 1000000, 5000000, 3, 0.25),
		},
		"limits": map[string]any{"cancel": true, "conn_idle": 30000000, "connect_timeout": 250000, "max_attempts": 6, "max_open": 20000,
			"max_retry_after": 2000000, "may_tell": nodes > 1, "probes": true, "retry_after": false, "second_copies": true, "streams_per_conn": 32},
		"load_report":   map[string]any{"fields": []string{"avg_ms", "active"}, "how": "probe"},
		"machine_types": []string{"standard", "origin"}, "rank": 0, "registry_mode": "subscribe", "replicas_of_me": nodes,
		"rules": map[string]any{"cold_from": 0.13, "drain_grace": 2500000, "fall": 1500000, "grace_to_answer": 20000,
			"must_ask_in": 10000000, "overload_factor": 3.0, "warm_after": 23000000},
		"tick": 5000, "tiers": []string{"logbook-cache"}, "value_by": "work", "weights": "nominal",
		"deductions": map[string]any{"connection": 0.0, "cross_zone": 0.13, "handshake": 0.02, "probe": 0.04, "peer": 0.009},
	}
}

// Config returns the configuration of a node.
func Config(name, listen, discovery, seed string, known List, settings map[string]any) map[string]any {
	return map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": seed,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
}

// WriteJSON replaces a file by the JSON of a value.
func WriteJSON(path string, value any) {
	text, err := json.Marshal(value)
	if err == nil {
		err = os.WriteFile(path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		Unable("write a configuration: %v", err)
	}
}

// TempDir returns a new temporary folder, which Exit removes.
func TempDir() string {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		Unable("temporary folder: %v", err)
	}
	OnExit(func() { os.RemoveAll(dir) })
	return dir
}

// Node is a process that the deploy file's command run started.
type Node struct {
	Cmd    *exec.Cmd
	Exited chan struct{}
	Log    string // path of its log
}

// RunCommand returns the command run of the deploy file.
func RunCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		Unable("%v", err)
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if match == nil {
		Unable("the deploy file names no run")
	}
	return string(match[1])
}

// StartNode starts the command run with a configuration and further variables.
func StartNode(dir, name, configPath string, env ...string) *Node {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		Unable("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", RunCommand())
	cmd.Env = append(os.Environ(), "LB_CONFIG="+configPath)
	cmd.Env = append(cmd.Env, env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		Unable("start a node: %v", err)
	}
	node := &Node{Cmd: cmd, Exited: make(chan struct{}), Log: log.Name()}
	go func() {
		cmd.Wait()
		close(node.Exited)
	}()
	OnExit(func() { node.Cmd.Process.Kill(); node.Cmd.Process.Signal(syscall.SIGCONT); <-node.Exited })
	return node
}

// Signal sends a signal to the node.
func (n *Node) Signal(signal syscall.Signal) { n.Cmd.Process.Signal(signal) }

// LogHas reports whether the node's log has a text.
func (n *Node) LogHas(text string) bool {
	log, _ := os.ReadFile(n.Log)
	return strings.Contains(string(log), text)
}

// AwaitReady waits until the node answers PING.
func AwaitReady(address string) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		conn.Write(Command("PING"))
		kind, text, err := ReadReply(bufio.NewReader(conn))
		conn.Close()
		if err == nil && kind == '+' && text == "PONG" {
			return
		}
	}
	Unable("the node at %s is not ready", address)
}
