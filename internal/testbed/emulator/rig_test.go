package emulator

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/scenario"
)

const (
	// testTimeout bounds how long a failing test takes. It is long, so that a slow machine does not make tests fail.
	testTimeout = 20 * time.Second
	// dialTimeout is the time after which a new connection counts as not established.
	dialTimeout = 200 * time.Millisecond
	// pollInterval is the interval at which a test checks whether a condition holds.
	pollInterval = 2 * time.Millisecond
)

// endpointList is the endpoint list as nodes decode it.
type endpointList struct {
	Version   int64      `json:"generation"`
	IsFull    bool       `json:"reset"`
	Endpoints []endpoint `json:"instances"`
}

type endpoint struct {
	ID      string `json:"instanceId"`
	Address string `json:"hostPort"`
	Kind    string `json:"machineType"`
	State   string `json:"lifecycle"`
	Started int64  `json:"startedAtMs"`
}

// rig is an emulator that a test uses as node 0. The origin is endpoint 0 of the list, and the cache servers follow.
type rig struct {
	t         *testing.T
	emulator  *Emulator
	list      endpointList
	discovery string // address of the discovery service
}

func parsePlan(tb testing.TB, text string) *scenario.Plan {
	tb.Helper()
	parsed, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return parsed.Draw(1)
}

func startEmulator(tb testing.TB, text string) *Emulator {
	tb.Helper()
	emulator, err := New(parsePlan(tb, text), Options{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(emulator.Close)
	if err := emulator.Start(); err != nil {
		tb.Fatal(err)
	}
	return emulator
}

func newRig(t *testing.T, text string) *rig {
	t.Helper()
	emulator := startEmulator(t, text)
	configs, err := emulator.WriteConfigs(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := os.ReadFile(configs[0].Path)
	if err != nil {
		t.Fatal(err)
	}
	var config struct {
		Known     endpointList
		Discovery string
	}
	if err := json.Unmarshal(encoded, &config); err != nil {
		t.Fatal(err)
	}
	return &rig{t: t, emulator: emulator, list: config.Known, discovery: config.Discovery}
}

// waitUntil waits until a condition holds.
func (r *rig) waitUntil(condition string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			r.t.Fatalf("not seen within %s: %s", testTimeout, condition)
		}
	}
}

// client is a connection from a node to a server, as a test uses it.
type client struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

func newClient(tb testing.TB, conn net.Conn) *client {
	tb.Helper()
	tb.Cleanup(func() { _ = conn.Close() }) // the test may have closed the connection
	c := &client{Conn: conn, t: tb, reader: bufio.NewReader(conn)}
	c.setReadTimeout(testTimeout)
	return c
}

// dialOnce connects to the endpoint with the given index in the list.
func (r *rig) dialOnce(index int) (*client, error) {
	r.t.Helper()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(r.t.Context(), "tcp", r.list.Endpoints[index].Address)
	if err != nil {
		return nil, err
	}
	return newClient(r.t, conn), nil
}

func (r *rig) dial(index int) *client {
	r.t.Helper()
	c, err := r.dialOnce(index)
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

func (c *client) setReadTimeout(timeout time.Duration) {
	c.t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		c.t.Fatal(err)
	}
}

// send writes a command. The server may have closed the connection, which the next read shows.
func (c *client) send(args ...string) {
	command := redcon.AppendArray(nil, len(args))
	for _, arg := range args {
		command = redcon.AppendBulkString(command, arg)
	}
	_, _ = c.Write(command)
}

// readLines reads lines and joins them with spaces. "closed" stands for the end of the connection.
func (c *client) readLines(count int) string {
	var lines []string
	for range count {
		text, err := c.reader.ReadString('\n')
		if err != nil {
			return strings.Join(append(lines, "closed"), " ")
		}
		lines = append(lines, strings.TrimSuffix(text, "\r\n"))
	}
	return strings.Join(lines, " ")
}

func (c *client) wantLines(what string, count int, want string) {
	c.t.Helper()
	if got := c.readLines(count); got != want {
		c.t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// wantSilence checks that the server sends nothing for a while.
func (c *client) wantSilence(duration time.Duration) {
	c.t.Helper()
	c.setReadTimeout(duration)
	if _, err := c.reader.Peek(1); !isTimeout(err) {
		c.t.Errorf("error of a read: %v, want a timeout", err)
	}
	c.setReadTimeout(testTimeout)
}

// originResponse is an HTTP response of the origin.
type originResponse struct {
	status     int
	loadReport string
	body       []byte
}

// roundTrip sends an HTTP request to the origin.
func (c *client) roundTrip(request string) originResponse {
	c.t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		c.t.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		c.t.Fatal(err)
	}
	return originResponse{response.StatusCode, response.Header.Get("X-Load"), body}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// watch is an open watch on the endpoint list.
type watch struct {
	t      *testing.T
	lines  *bufio.Scanner
	states map[string]string // latest state of each server, by id
}

func (r *rig) watch() *watch {
	r.t.Helper()
	url := fmt.Sprintf("http://%s/discovery/hosts?watch=1&after=%d", r.discovery, r.list.Version)
	request, err := http.NewRequestWithContext(r.t.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		r.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = response.Body.Close() }) // the watch does not end by itself
	return &watch{t: r.t, lines: bufio.NewScanner(response.Body), states: map[string]string{}}
}

// waitFor reads from the watch until a server has the given state, and returns its entry.
func (w *watch) waitFor(id, state string) endpoint {
	w.t.Helper()
	for w.lines.Scan() {
		if w.lines.Text() == "" { // an empty line is a heartbeat
			continue
		}
		var list endpointList
		if err := json.Unmarshal(w.lines.Bytes(), &list); err != nil {
			w.t.Fatalf("%q: %v", w.lines.Text(), err)
		}
		for _, listed := range list.Endpoints {
			w.states[listed.ID] = listed.State
			if listed.ID == id && listed.State == state {
				return listed
			}
		}
	}
	w.t.Fatalf("states %v (%v), want %s to be %s", w.states, w.lines.Err(), id, state)
	return endpoint{}
}

func isPortTaken(err error, port int) bool {
	var taken *PortTakenError
	return errors.As(err, &taken) && taken.Port == port
}
