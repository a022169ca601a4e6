// Command baseline is a node that is broken on purpose, to show that the testbed's invariants find faults. It sends all reads to
// the first cache server of the list that is up, and opens a new connection for each request. The environment variable BASELINE
// selects the fault:
//
//	keep      no fault: keeps the invariants under low load
//	resend    sends at-most-once requests a second time
//	drain     ignores all changes of the list after its start
//	lose      closes the connection instead of answering every tenth request
//	swap      answers every tenth request, if it is a read, with the value of the read before it
//	late      answers every tenth request after its deadline
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

// mode selects the fault of the node.
type mode string

// Values of BASELINE for the modes with a fault.
const (
	resend mode = "resend"
	drain  mode = "drain"
	lose   mode = "lose"
	swap   mode = "swap"
	late   mode = "late"
)

const (
	faultEvery     = 10                     // the fault of the modes lose, swap and late hits every tenth request
	lateBy         = 150 * time.Millisecond // time from a request's deadline to its late answer, at least
	connectTimeout = 250 * time.Millisecond
	shutdownGrace  = 300 * time.Millisecond // time between SIGTERM and the exit
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
	addresses map[string]string // addresses of instances by id; empty for an instance that is not up
	order     []string          // ids of instances, in the order in which they became known
	lastValue string            // value of the last read
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
	n.updateAddresses(config.Known)
	if n.mode != drain {
		go n.watch(config.Discovery, config.Known.Version) // returns when the watch or the program ends
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", config.Listen)
	if err != nil {
		return err
	}
	go n.accept(listener) // runs until the program exits
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

// updateAddresses updates the known addresses by a list or a change of one.
func (n *node) updateAddresses(known list) {
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

// watch opens a watch at discovery and applies the changes that it sends, until the watch ends. It does not open another one.
func (n *node) watch(discovery string, after int64) {
	response, err := get(context.Background(), fmt.Sprintf("http://%s/discovery/hosts?watch=1&after=%d", discovery, after))
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		var change list
		if json.Unmarshal(lines.Bytes(), &change) == nil {
			n.updateAddresses(change)
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
	value                 string // value of a write; empty for a read
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

// attemptTimeout returns how long the node waits for a server: three quarters of the client's timeout.
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

// swapValue returns the value to answer a read with. In mode swap a faulty read gets the value of the read before it.
func (n *node) swapValue(value string, isFaulty bool) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.mode == swap && isFaulty && n.lastValue != "" {
		value = n.lastValue
	}
	n.lastValue = value
	return value
}

// serve sends a read to the first cache server that is up. It sends writes, and reads that the cache server has no value for, to
// the origin.
func (n *node) serve(request command) (value string, ok bool) {
	cacheServer, origin := n.pickServers()
	if !request.isWrite && cacheServer != "" {
		if value, ok := requestCacheServer(cacheServer, request); ok {
			return value, true
		}
	}
	if n.mode == resend && strings.Contains(request.extras, "c=issue-cert") {
		go requestOrigin(origin, request) // returns within the attempt timeout
	}
	return requestOrigin(origin, request)
}

// pickServers returns the addresses of the first cache server that is up and of the origin. An address is empty if there is none.
func (n *node) pickServers() (cacheServer, origin string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range n.order {
		if id != originID && n.addresses[id] != "" {
			return n.addresses[id], n.addresses[originID]
		}
	}
	return "", n.addresses[originID]
}

// requestCacheServer returns the value that a cache server has; ok is false for a miss or a failure.
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

// readHit reads the value of a hit, which is the first of the answer's three elements. ok is false for any other answer.
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

// requestOrigin returns the origin's answer; ok is false for a failure or a status other than 200.
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
