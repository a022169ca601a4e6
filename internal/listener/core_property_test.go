package listener

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/request"
)

// invalidCommand stands in modelClient.unanswered for an invalid command, which has no id.
const invalidCommand = "?"

// modelClient models a client and its side of a connection.
type modelClient struct {
	conn             *Conn
	state            receiving // what the kernel knows of the connection
	wasHidden        bool      // a close may have been hidden at some time
	unanswered       []string  // ids of the commands without a response, in the order in which they were sent
	sent             []byte    // bytes that the client has sent and the core has not read yet
	mayResume        bool      // the core has asked for Resume, which has not been called yet
	beingWritten     string    // bytes of the responses in the write that is in progress; the client receives them if the write succeeds
	isWriting        bool
	isEnded          bool
	isCheckRequested bool // the core has asked for CheckUnread, which has not been carried out yet
}

// modelRequest is a request that the core has handed to its handler.
type modelRequest struct {
	*request.Request
	isDisconnected bool // the handler was told that the client has disconnected
}

// coreModel stands in for the shell, the handler and the clients of a core.
type coreModel struct {
	core     *Core
	limits   Limits
	now      time.Time
	clients  []*modelClient
	requests map[string]*modelRequest // requests handed to the handler, by id
	replied  map[string]bool          // requests that the handler has answered, by id
	lastID   int
	used     time.Duration // processor time that the process has used
	hasTurns bool          // the core has asked for GrantTurns, which has not been called yet
	current  *rapid.T      // the test that makes the current call of the core; Reply uses it
}

func newCoreModel(t *rapid.T) *coreModel {
	memory := admission.NewMemoryBudget(rapid.SampledFrom([]int{1 << 20, 5000, 1000}).Draw(t, "response memory"))
	requestMemory := admission.NewMemoryBudget(rapid.SampledFrom([]int{1 << 20, 10 << 10, 1000}).Draw(t, "request memory"))
	limits := Limits{MaxConnections: 4, MaxPipelined: 3, MaxValue: 8 << 10, WriteTimeout: time.Second, MaxUnsentBytes: 100 << 10,
		RequestMemory: requestMemory, ResponseMemory: memory, ProcessorShare: 0.25, ProcessorBurst: 10 * time.Millisecond,
		FirstCommandTimeout: 2 * time.Second, CrowdedIdleTimeout: 50 * time.Millisecond, IdleTimeout: 5 * time.Second}
	now := time.Unix(1000, 0)
	model := &coreModel{core: newTestCore(now, limits), limits: limits, now: now, requests: map[string]*modelRequest{}, replied: map[string]bool{}, current: t}
	model.core.Reply = func(conn *Conn, slot *ResponseSlot, response request.Response) {
		var effects Effects
		model.core.Respond(conn, slot, response, &effects)
		model.carryOut(model.current, effects)
	}
	return model
}

func (m *coreModel) clientOf(conn *Conn) *modelClient {
	return m.clients[slices.IndexFunc(m.clients, func(client *modelClient) bool { return client.conn == conn })]
}

func (m *coreModel) carryOut(t *rapid.T, effects Effects) {
	for _, effect := range effects {
		switch effect.Kind {
		case HandleRequest:
			m.requests[string(effect.Request.ID)] = &modelRequest{Request: effect.Request}
		case ClientDisconnected:
			m.recordDisconnect(t, effect.Request)
		case CheckUnread:
			m.clientOf(effect.Conn).isCheckRequested = true
		case HalfClose:
			m.checkOrderlyEnd(t, m.clientOf(effect.Conn))
		case CloseConnection:
			if effect.Conn.IsLingering() {
				t.Fatal("got a closed connection that lingers, want it to linger no longer")
			}
			m.clientOf(effect.Conn).isEnded = true
		case ResumeReading:
			m.clientOf(effect.Conn).mayResume = true
		case ScheduleTurns:
			m.hasTurns = true
		}
	}
}

func (m *coreModel) recordDisconnect(t *rapid.T, r *request.Request) {
	id := string(r.ID)
	known := m.requests[id]
	if known == nil || known.isDisconnected || m.replied[id] {
		t.Fatalf("%s: got ClientDisconnected; handed over %v, told before %v, answered %v; want it once, before the response",
			id, known != nil, known != nil && known.isDisconnected, m.replied[id])
	}
	known.isDisconnected = true
	if !r.IsCancelled() {
		t.Fatalf("%s: got ClientDisconnected for a request that is not cancelled, want it cancelled before", id)
	}
}

// pickClient returns a random client, or nil if there is none.
func (m *coreModel) pickClient(t *rapid.T) *modelClient {
	if len(m.clients) == 0 {
		return nil
	}
	return m.clients[rapid.IntRange(0, len(m.clients)-1).Draw(t, "client")]
}

// deliver passes to the core the bytes that a client has sent, until the core pauses the connection.
func (m *coreModel) deliver(t *rapid.T, client *modelClient) {
	for !client.conn.IsClosed() && (client.mayResume || !client.conn.IsPaused() && len(client.sent) > 0) {
		var effects Effects
		if client.mayResume {
			client.mayResume = false
			m.core.Resume(m.now, client.conn, &effects)
		} else {
			n := copy(client.conn.ReadBuffer(), client.sent)
			client.sent = client.sent[n:]
			client.state.unread = rapid.SampledFrom([]int{0, 1, maxVisibleUnread + 1}).Draw(t, "unread")
			client.wasHidden = client.wasHidden || client.state.unread > maxVisibleUnread
			client.conn.presence.observed(m.now, client.state)
			m.core.BytesReceived(m.now, client.conn, n, &effects)
		}
		m.carryOut(t, effects)
		if got, limit := len(client.conn.slots), m.limits.MaxPipelined+1; got > limit {
			t.Fatalf("%d commands wait for responses, want %d at most", got, limit)
		}
	}
}

// checkOrderlyEnd checks a connection that the core closes gracefully: every command that the core has read has a response, and no
// unread bytes are left. Unread bytes are allowed past the drain deadline only, as a client may go on sending.
func (m *coreModel) checkOrderlyEnd(t *rapid.T, client *modelClient) {
	client.isEnded = true
	isPastDrain := m.core.isDraining && !m.now.Before(m.core.drainDeadline)
	if len(client.sent) > 0 && !isPastDrain {
		t.Fatalf("got a connection closed gracefully with %d unread bytes, want it kept", len(client.sent))
	}
	unread := strings.Count(string(client.sent), "CACHE.") + strings.Count(string(client.sent), "HELLO")
	read := len(client.unanswered) - unread
	if client.conn.commands.hasPartialCommand() {
		read--
	}
	if read > 0 {
		t.Fatalf("got a connection closed gracefully with %d commands read and without a response, want none", read)
	}
}

// checkUnread tells the core whether the client has unread bytes, if the core asked for it.
func (m *coreModel) checkUnread(t *rapid.T, client *modelClient) {
	if !client.isCheckRequested {
		return
	}
	client.isCheckRequested = false
	var effects Effects
	m.core.UnreadChecked(m.now, client.conn, len(client.sent) > 0, &effects)
	m.carryOut(t, effects)
}

// checkReceived checks the responses that a client received: they must be the responses to its commands, in order.
func (m *coreModel) checkReceived(t *rapid.T, client *modelClient) {
	for client.beingWritten != "" {
		header, rest, _ := strings.Cut(client.beingWritten, "\r\n")
		if len(client.unanswered) == 0 {
			t.Fatalf("got response %q, want none: there is no command", header)
		}
		id := client.unanswered[0]
		client.unanswered = client.unanswered[1:]
		switch header[0] {
		case '$':
			var length int
			if _, err := fmt.Sscanf(header, "$%d", &length); err != nil {
				t.Fatalf("%s: got response %q: %v", id, header, err)
			}
			if got, want := rest[:length], "for-"+id; got != want {
				t.Fatalf("%s: got value %q, want %q", id, got, want)
			}
			rest = rest[length+2:]
		case '-':
			// A request whose client may have left is rejected by the core itself to have a sign of it.
			isRejectedUnseen := m.requests[id] == nil && client.wasHidden && header+"\r\n" == string(busyResponse)
			if id != invalidCommand && !m.replied[id] && !strings.HasPrefix(header, "-ERR") && !isRejectedUnseen {
				t.Fatalf("%s: got response %q, want none before the handler's reply", id, header)
			}
		default:
			t.Fatalf("%s: got response %q, want a value or an error", id, header)
		}
		client.beingWritten = rest
	}
}

// write completes the write that is in progress to a client, if any, and starts the next one.
func (m *coreModel) write(t *rapid.T, client *modelClient, isWritten bool) {
	if client.isWriting && !client.conn.IsClosed() {
		client.isWriting = false
		if isWritten {
			m.checkReceived(t, client)
		}
		var effects Effects
		m.core.WriteCompleted(m.now, client.conn, isWritten, &effects)
		m.carryOut(t, effects)
	}
	if client.conn.IsClosed() || client.isWriting {
		return
	}
	responses, size := m.core.NextToWrite(m.now, client.conn, nil)
	if size == 0 {
		return
	}
	for _, response := range responses {
		client.beingWritten += string(response)
	}
	client.isWriting = true
}

func (m *coreModel) connect(t *rapid.T) {
	var effects Effects
	if m.core.HasCapacity(m.now, &effects) && len(m.clients) < 8 {
		client := &modelClient{conn: m.core.Accepted(m.now, m.now)}
		client.conn.presence.look = func() receiving { return client.state }
		client.conn.NotifyMemory = func() { client.mayResume = client.mayResume || client.conn.IsPaused() }
		m.clients = append(m.clients, client)
	}
	m.carryOut(t, effects)
}

func (m *coreModel) sendRequest(t *rapid.T) {
	if client := m.pickClient(t); client != nil && !client.isEnded {
		m.lastID++
		id := fmt.Sprint("id", m.lastID)
		client.unanswered = append(client.unanswered, id)
		client.sent = fmt.Appendf(client.sent, "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$%d\r\n%s\r\n$13\r\nc=read,d=3000\r\n", len(id), id)
	}
}

// sendWrite sends a write of a long value, or the first part of it and the rest later.
func (m *coreModel) sendWrite(t *rapid.T) {
	if client := m.pickClient(t); client != nil && !client.isEnded {
		m.lastID++
		id := fmt.Sprint("id", m.lastID)
		client.unanswered = append(client.unanswered, id)
		value := strings.Repeat("v", maxShortCommand)
		client.sent = fmt.Appendf(client.sent, "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$%d\r\n%s\r\n$13\r\nc=read,d=3000\r\n$%d\r\n%s\r\n", len(id), id,
			len(value), value)
	}
}

func (m *coreModel) sendInvalidCommand(t *rapid.T) {
	if client := m.pickClient(t); client != nil && !client.isEnded {
		client.unanswered = append(client.unanswered, invalidCommand)
		client.sent = append(client.sent, "*1\r\n$5\r\nHELLO\r\n"...)
	}
}

// reply makes the handler answer one of the open requests.
func (m *coreModel) reply(t *rapid.T) {
	m.current = t
	for id, r := range m.requests {
		if m.replied[id] {
			continue
		}
		m.replied[id] = true
		m.limits.RequestMemory.Release(r.CommandMemory)
		response := request.Response{Kind: request.ResponseKind(rapid.IntRange(0, 2).Draw(t, "kind"))}
		if response.Kind == request.Served {
			response.Value = []byte("for-" + id)
			response.ReservedMemory = r.TakeReservedMemory()
		}
		r.Reply(response)
		return
	}
}

func (m *coreModel) disconnect(t *rapid.T) {
	if client := m.pickClient(t); client != nil && rapid.IntRange(0, 3).Draw(t, "really") == 0 {
		var effects Effects
		m.core.ConnectionEnded(m.now, client.conn, &effects)
		m.carryOut(t, effects)
	}
}

func (m *coreModel) passTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
	m.expireIdle(t)
}

// useProcessor has the process use more or less than its share of the processor.
func (m *coreModel) useProcessor(t *rapid.T) {
	m.used += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms of processor time")) * time.Millisecond
	m.core.ProcessorUsed(m.now, m.used)
}

func (m *coreModel) grantTurns(t *rapid.T) {
	if m.hasTurns {
		m.hasTurns = false
		var effects Effects
		m.core.GrantTurns(m.now, &effects)
		m.carryOut(t, effects)
	}
}

func (m *coreModel) expireIdle(t *rapid.T) {
	var effects Effects
	m.core.ExpireIdle(m.now, &effects)
	m.carryOut(t, effects)
}

// finish answers all requests, writes all responses and drains the core. It checks that every command got its response and that no
// connection is left.
func (m *coreModel) finish(t *rapid.T) {
	m.current = t
	for range 50 {
		if slices.ContainsFunc(m.core.longArguments, (*Conn).isWaitingForArgument) {
			m.now = m.now.Add(maxMemoryWait)
			m.expireIdle(t)
		}
		for id, r := range m.requests {
			if !m.replied[id] {
				m.replied[id] = true
				m.limits.RequestMemory.Release(r.CommandMemory)
				r.Reply(request.Response{Kind: request.Failed})
			}
		}
		m.grantTurns(t)
		for _, client := range m.clients {
			m.deliver(t, client)
			m.write(t, client, true)
			m.checkUnread(t, client)
		}
	}
	for _, client := range m.clients {
		if len(client.unanswered) > 0 && !client.isEnded {
			t.Fatalf("%v are without a response in the end, want none", client.unanswered)
		}
	}
	var effects Effects
	m.core.Drain(m.now, &effects)
	m.carryOut(t, effects)
	for _, client := range m.clients {
		m.checkUnread(t, client)
	}
	m.now = m.now.Add(lingerTimeout) // lingering connections end at their deadline
	m.expireIdle(t)
	if requests, responses := m.limits.RequestMemory.Used(), m.limits.ResponseMemory.Used(); requests != 0 || responses != 0 {
		t.Fatalf("%d bytes of request memory and %d of response memory are reserved in the end, want none", requests, responses)
	}
	if used, _ := m.core.Usage(); used != 0 || len(m.core.conns) != 0 {
		t.Fatalf("%d connections are used and %d open in the end, want none", used, len(m.core.conns))
	}
}

// TestCoreKeepsItsInvariantsInAnyOrderOfCalls makes random calls of a core, in any order that a shell could, and checks these
// invariants. Each command gets one response, in order and with the reply of the handler; an invalid command gets an error. The
// handler is told once that a client has disconnected. The number of commands that wait for responses is bounded. No connection
// is closed gracefully while it has unread bytes. No connection is left in the end, and no memory is reserved.
func TestCoreKeepsItsInvariantsInAnyOrderOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newCoreModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"connect":              model.connect,
			"send request":         model.sendRequest,
			"send write":           model.sendWrite,
			"send invalid command": model.sendInvalidCommand,
			"deliver": func(t *rapid.T) {
				if client := model.pickClient(t); client != nil {
					model.deliver(t, client)
				}
			},
			"reply": model.reply,
			"write": func(t *rapid.T) {
				if client := model.pickClient(t); client != nil {
					model.write(t, client, rapid.IntRange(0, 9).Draw(t, "is written") > 0)
				}
			},
			"check unread": func(t *rapid.T) {
				if client := model.pickClient(t); client != nil {
					model.checkUnread(t, client)
				}
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
					var effects Effects
					model.core.Drain(model.now, &effects)
					model.carryOut(t, effects)
				}
			},
			"use processor": model.useProcessor,
			"grant turns":   model.grantTurns,
			"disconnect":    model.disconnect,
			"pass time":     model.passTime,
		})
		model.finish(t)
	})
}
