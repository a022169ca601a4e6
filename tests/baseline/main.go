// Command baseline is a node that is broken on purpose, to show that the testbed's invariants find faults. It uses the first
// cache server of the list, opens a connection for each request, and keeps the invariants only as far as BASELINE, a variable
// of the environment, lets it.
//
//	keep      keeps them, badly but well enough for a calm day
//	resend    sends at-most-once requests a second time
//	drain     never looks at the list again
//	lose      closes the connection in place of every tenth answer
//	swap      serves every tenth read with the value of the one before it
//	late      answers every tenth request past its deadline
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shelfproxy/internal/testbed/respcmd"
)

// mode is the way in which the node is broken.
type mode string

// Modes, as BASELINE names them.
const (
	resend mode = "resend"
	drain  mode = "drain"
	lose   mode = "lose"
	swap   mode = "swap"
	late   mode = "late"
)

const (
	faultEvery     = 10                     // requests, of which the last meets the fault of the mode
	lateBy         = 150 * time.Millisecond // how far past the deadline a late answer comes
	connectTimeout = 250 * time.Millisecond
	shutdownGrace  = 300 * time.Millisecond // between SIGTERM and the end
	originID       = "origin"
	lifecycleUp    = "up"
)

// list is an endpoint list, or a change of one, as discovery sends it.
type list struct {
	Instances []struct{ InstanceID, HostPort, Lifecycle string }
	Version   int64 `json:"generation"`
}

// node is the state of the program.
type node struct {
	mode     mode
	requests atomic.Int64

	mu        sync.Mutex
	addresses map[string]string // by id; empty for what is not up
	order     []string          // ids, in the order in which they became known
	lastValue string            // of a read
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	var config struct {
		Listen, Discovery string
		Known             list
	}
	text, err := os.ReadFile(os.Getenv("LB_CONFIG"))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	n := &node{mode: mode(os.Getenv("BASELINE")), addresses: map[string]string{}}
	n.learn(config.Known)
	if n.mode != drain {
		go n.watch(config.Discovery, config.Known.Version) // ends with the program
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", config.Listen)
	if err != nil {
		return err
	}
	go n.accept(listener) // ends with the program
	<-ctx.Done()
	time.Sleep(shutdownGrace)
	return nil
}

func (n *node) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go respcmd.Serve(conn, n.handle)
	}
}

// learn takes a list or a change.
func (n *node) learn(known list) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, instance := range known.Instances {
		if _, ok := n.addresses[instance.InstanceID]; !ok {
			n.order = append(n.order, instance.InstanceID)
		}
		n.addresses[instance.InstanceID] = instance.HostPort
		if instance.Lifecycle != lifecycleUp {
			n.addresses[instance.InstanceID] = ""
		}
	}
}

// watch follows discovery until the watch ends.
func (n *node) watch(discovery string, after int64) {
	response, err := get(context.Background(), fmt.Sprintf("http://%s/discovery/hosts?watch=1&after=%d", discovery, after))
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		var change list
		if json.Unmarshal(lines.Bytes(), &change) == nil {
			n.learn(change)
		}
	}
}

func get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}

// command is a request of a client.
type command struct {
	verb, key, id, extras string
	value                 string // of a write
	isWrite               bool
}

func parseCommand(words []string) command {
	c := command{verb: words[0], key: words[1], id: words[2], extras: words[3], isWrite: len(words) > 4}
	if c.isWrite {
		c.value = words[4]
	}
	return c
}

// timeout returns how long the client waits.
func (c command) timeout() time.Duration {
	_, rest, _ := strings.Cut(c.extras, "d=")
	digits, _, _ := strings.Cut(rest, ",")
	milliseconds, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// attemptTimeout returns how long the node waits for a server.
func (c command) attemptTimeout() time.Duration { return c.timeout() * 3 / 4 }

// handle answers a command of a client.
func (n *node) handle(words []string) (reply string, ok bool) {
	request := parseCommand(words)
	isFaulty := n.requests.Add(1)%faultEvery == 0
	if n.mode == lose && isFaulty {
		return "", false
	}
	value, served := n.serve(request)
	if n.mode == late && isFaulty {
		time.Sleep(request.timeout() + lateBy)
	}
	if !served {
		return "-ERR failed\r\n", true
	}
	if !request.isWrite {
		value = n.swapValue(value, isFaulty)
	}
	return fmt.Sprintf("$%d\r\n%s\r\n", len(value), value), true
}

// swapValue returns the value for a read: that of the read before, if the mode is to swap them.
func (n *node) swapValue(value string, isFaulty bool) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.mode == swap && isFaulty && n.lastValue != "" {
		value = n.lastValue
	}
	n.lastValue = value
	return value
}

// serve sends a request to the first cache server, if it is a read, and else or if that has no value to the origin.
func (n *node) serve(request command) (value string, ok bool) {
	cacheServer, origin := n.pick()
	if !request.isWrite && cacheServer != "" {
		if value, ok := requestCacheServer(cacheServer, request); ok {
			return value, true
		}
	}
	if n.mode == resend && strings.Contains(request.extras, "c=issue-cert") {
		go requestOrigin(origin, request) // ends by its timeout
	}
	return requestOrigin(origin, request)
}

// pick returns the addresses of the first cache server that is up, which may be none, and of the origin.
func (n *node) pick() (cacheServer, origin string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range n.order {
		if id != originID && n.addresses[id] != "" {
			return n.addresses[id], n.addresses[originID]
		}
	}
	return "", n.addresses[originID]
}

// requestCacheServer returns the value that a cache server has; false for a miss or a failure.
func requestCacheServer(address string, request command) (value string, ok bool) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return "", false
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(request.attemptTimeout())); err != nil {
		return "", false
	}
	if _, err := conn.Write(respcmd.Append(nil, request.verb, request.key, request.id, request.extras)); err != nil {
		return "", false
	}
	return readHit(bufio.NewReader(conn))
}

// readHit reads the value of an answer of three elements.
func readHit(reader *bufio.Reader) (value string, ok bool) {
	if array, err := reader.ReadString('\n'); err != nil || !strings.HasPrefix(array, "*3") {
		return "", false
	}
	header, err := reader.ReadString('\n')
	if err != nil {
		return "", false
	}
	size, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(header, "$")))
	if err != nil || size < 0 {
		return "", false
	}
	content := make([]byte, size)
	_, err = io.ReadFull(reader, content)
	return string(content), err == nil
}

// requestOrigin returns the origin's answer; false for a failure.
func requestOrigin(address string, request command) (value string, ok bool) {
	method := http.MethodGet
	if request.isWrite {
		method = http.MethodPut
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.attemptTimeout())
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+request.key, strings.NewReader(request.value))
	if err != nil {
		return "", false
	}
	httpRequest.Header.Set("X-Request-Id", request.id)
	httpRequest.Header.Set("X-Extras", request.extras)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(httpRequest)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return string(content), err == nil && response.StatusCode == http.StatusOK
}
