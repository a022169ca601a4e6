package overload

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"shelfproxy/internal/testbed/respcmd"
	"shelfproxy/tests/harness"
)

// arrivals records when commands arrived at cache servers, by the id of the request.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

// handle is a handler of cache servers.
func (a *arrivals) handle(command []string) string {
	a.mu.Lock()
	a.at[command[2]] = append(a.at[command[2]], time.Now())
	a.mu.Unlock()
	return serveSlowly(command)
}

const (
	leavingClients  = 24
	commandsAtOnce  = 3000                   // more than the buffers of a connection hold
	longestStay     = 30 * time.Millisecond  // how long a client writes before it leaves, at most
	timeAway        = 100 * time.Millisecond // until the client comes again
	allowedAfterEnd = 150 * time.Millisecond // after its client's close an attempt may begin for 0.1 s; the test may be late by the rest
	longestWait     = 2 * time.Second        // of the clients for their answers
)

// leavingClient sends more than the node reads at once and leaves in the middle of it, again and again.
type leavingClient struct {
	number  int
	reads   bool // it reads the answers that come while it writes
	leftAt  []time.Time
	running sync.WaitGroup
}

func (c *leavingClient) id(round, command int) string {
	return fmt.Sprintf("l%d-%d-%d", c.number, round, command)
}

func (c *leavingClient) run(node *harness.Node, stop <-chan struct{}) {
	for !isClosed(stop) {
		if conn := node.TryDialWithin(patience); conn != nil {
			c.sendAndLeave(conn)
		}
		time.Sleep(timeAway)
	}
	c.running.Wait()
}

func (c *leavingClient) sendAndLeave(conn net.Conn) {
	var commands []byte
	for i := range commandsAtOnce {
		id := c.id(len(c.leftAt), i)
		commands = respcmd.Append(commands, "CACHE.GET", id, id, fmt.Sprintf("c=read,d=%d", longestWait.Milliseconds()))
	}
	_ = conn.SetDeadline(time.Now().Add(rand.N(longestStay)))
	if c.reads {
		c.running.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	}
	_, _ = conn.Write(commands) // fails at the deadline
	_ = conn.Close()
	c.leftAt = append(c.leftAt, time.Now())
}

// lateAttempts returns how many attempts arrived for requests of leaving clients, and how long after its client's close each did that
// was late.
func lateAttempts(clients []*leavingClient, forwarded *arrivals) (attempts int, late []time.Duration) {
	for id, arrivedAt := range forwarded.at {
		var client, round, command int
		if _, err := fmt.Sscanf(id, "l%d-%d-%d", &client, &round, &command); err != nil {
			continue // a request of the flood
		}
		for _, at := range arrivedAt {
			attempts++
			if after := at.Sub(clients[client].leftAt[round]); after > allowedAfterEnd {
				late = append(late, after.Round(time.Millisecond))
			}
		}
	}
	return attempts, late
}

// Guards against attempts that begin long after their client has closed its connection, because what it had sent was read, or its close
// seen, only then.
func TestNothingIsForwardedForClientsThatLeft(t *testing.T) {
	for name, isFlooded := range map[string]bool{"alone": false, "beside a flood": true} {
		t.Run(name, func(t *testing.T) {
			forwarded := &arrivals{at: map[string][]time.Time{}}
			node := newSmallNodeInFrontOf(t, forwarded.handle)
			stop := make(chan struct{})
			var running sync.WaitGroup
			if isFlooded {
				running.Go(func() { floodOfReads.run(node, stop) })
			}
			clients := make([]*leavingClient, leavingClients)
			for i := range clients {
				clients[i] = &leavingClient{number: i, reads: i%2 == 0}
				running.Go(func() { clients[i].run(node, stop) })
			}
			time.Sleep(floodTime)
			close(stop)
			running.Wait()
			time.Sleep(longestWait) // an attempt may still arrive
			forwarded.mu.Lock()
			defer forwarded.mu.Unlock()
			attempts, late := lateAttempts(clients, forwarded)
			t.Logf("%d attempts for clients that left, %d of them late", attempts, len(late))
			if len(late) > 0 {
				t.Errorf("%d of %d attempts began after their client had left: %v later", len(late), attempts, late)
			}
		})
	}
}

const (
	slowOriginTime = 800 * time.Millisecond
	queuedWriters  = 80       // usual clients whose writes keep the origin busy, one at a time each
	writesAtOnce   = 64       // of a client that leaves
	longValue      = 40 << 10 // bytes of each of them
)

// writeUntil signs one record after the other.
func writeUntil(node *harness.Node, number int, stop <-chan struct{}) {
	client := node.TryDialWithin(patience)
	if client == nil {
		return
	}
	defer func() { _ = client.Close() }()
	reader := bufio.NewReader(client)
	for i := 0; !isClosed(stop); i++ {
		id := fmt.Sprintf("u%d-%d", number, i)
		_ = client.SetDeadline(time.Now().Add(2 * longestWait)) // an error shows in the write
		_, err := client.Write(respcmd.Append(nil, "CACHE.SET", id, id, fmt.Sprintf("c=put,d=%d,k=%d", longestWait.Milliseconds(), number), "signed"))
		if _, answerErr := harness.ReadAnswer(reader); err != nil || answerErr != nil {
			return
		}
	}
}

// Guards against writes that wait in the node, as the origin has no room for them, and are begun long after their client closed its
// connection behind more than the system's buffers hold. Neither a flood nor a busy machine is needed.
func TestQueuedWritesOfClientsThatLeftAreNotBegun(t *testing.T) { checkQueuedWrites(t, 1) }

// Guards against the same where so many clients send much at once that the node is short of memory.
func TestQueuedWritesOfManyClientsThatLeftAreNotBegun(t *testing.T) { checkQueuedWrites(t, 24) }

// checkQueuedWrites has clients send many writes and leave, a number of them at a time, in front of an origin that is busy.
func checkQueuedWrites(t *testing.T, clientsAtOnce int) {
	t.Helper()
	node := harness.NewNode(t, harness.NewCacheServer(t, harness.Hit))
	node.Program = harness.UninstrumentedNodeProgram(t)
	node.Config.Limits = harness.Limits{Cores: 1, MemoryMB: nodeMemoryMB, Sockets: nodeSockets}
	begun := &arrivals{at: map[string][]time.Time{}}
	node.Origin.Handle(func(w http.ResponseWriter, request *http.Request) {
		begun.mu.Lock()
		begun.at[harness.RequestID(request)] = append(begun.at[harness.RequestID(request)], time.Now())
		begun.mu.Unlock()
		time.Sleep(slowOriginTime)
		fmt.Fprint(w, "stored")
	})
	node.Start()
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range queuedWriters {
		running.Go(func() { writeUntil(node, i, stop) })
	}
	time.Sleep(slowOriginTime)
	clients := make([]*leavingClient, clientsAtOnce)
	for i := range clients {
		clients[i] = &leavingClient{number: i}
	}
	for range 3 {
		var leaving sync.WaitGroup
		for _, client := range clients {
			leaving.Go(func() { client.writeAndLeave(node) })
		}
		leaving.Wait()
		time.Sleep(longestWait) // the writes have begun by then, or never do
	}
	close(stop)
	running.Wait()
	begun.mu.Lock()
	defer begun.mu.Unlock()
	attempts, late := lateAttempts(clients, begun)
	t.Logf("%d attempts for clients that left, %d of them late", attempts, len(late))
	if len(clients[0].leftAt) == 0 || len(late) > 0 {
		t.Errorf("clients left %d times, and %d of %d attempts began after that: %v later", len(clients[0].leftAt), len(late), attempts, late)
	}
}

func (c *leavingClient) writeAndLeave(node *harness.Node) {
	conn := node.TryDialWithin(patience)
	if conn == nil {
		return
	}
	var commands []byte
	for i := range writesAtOnce {
		id := c.id(len(c.leftAt), i)
		extras := fmt.Sprintf("c=put,d=%d,k=%d", longestWait.Milliseconds(), i)
		commands = respcmd.Append(commands, "CACHE.SET", id, id, extras, strings.Repeat("x", longValue))
	}
	_ = conn.SetDeadline(time.Now().Add(longestStay))
	_, _ = conn.Write(commands) // fails at the deadline
	_ = conn.Close()
	c.leftAt = append(c.leftAt, time.Now())
}
