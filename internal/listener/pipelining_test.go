package listener

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
	"weak"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/request"
)

// pipelinedReads returns the bytes of count reads, with the ids from 0 on.
func pipelinedReads(count int) (commands string) {
	for i := range count {
		commands += fmt.Sprintf("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$2\r\n%02d\r\n$13\r\nc=read,d=3000\r\n", i)
	}
	return commands
}

// pipeliningMemory is the response memory in these tests, in bytes. Half of it is for two pipelined responses of unknown length.
const pipeliningMemory = 4 * 66 << 10

// pipeliningCore is a core with a bound on responses, the requests that it has handed over, and the connections to resume.
type pipeliningCore struct {
	*Core
	memory   *admission.MemoryBudget
	now      time.Time
	requests []*request.Request
	effects  Effects
}

func newPipeliningCore() *pipeliningCore {
	memory := admission.NewMemoryBudget(pipeliningMemory)
	now := time.Unix(1000, 0)
	p := &pipeliningCore{memory: memory, now: now}
	p.Core = newTestCore(now, Limits{MaxConnections: 64, MaxPipelined: 32, MaxValue: 64 << 10, FirstCommandTimeout: time.Minute,
		CrowdedIdleTimeout: time.Minute, IdleTimeout: time.Minute, ResponseMemory: memory})
	p.Reply = func(conn *Conn, slot *ResponseSlot, response request.Response) {
		p.Respond(conn, slot, response, &p.effects)
		p.carryOut()
	}
	return p
}

// carryOut carries out the effects: it writes responses at once, resumes connections, and keeps the requests.
func (p *pipeliningCore) carryOut() {
	for len(p.effects) > 0 {
		effect := p.effects[0]
		p.effects = p.effects[1:]
		switch effect.Kind {
		case HandleRequest:
			p.requests = append(p.requests, effect.Request)
		case WriteResponses:
			if _, size := p.NextToWrite(p.now, effect.Conn, nil); size > 0 {
				p.WriteCompleted(p.now, effect.Conn, true, &p.effects)
			}
		case ResumeReading:
			p.Resume(p.now, effect.Conn, &p.effects)
		}
	}
}

func (p *pipeliningCore) accept() *Conn {
	conn := p.Accepted(p.now, p.now)
	conn.NotifyMemory = func() { p.effects.add(ResumeReading, conn, nil) }
	return conn
}

func (p *pipeliningCore) receive(conn *Conn, commands string) {
	p.BytesReceived(p.now, conn, copy(conn.ReadBuffer(), commands), &p.effects)
	p.carryOut()
}

// answerNext answers the request that was handed over first with a value of a length.
func (p *pipeliningCore) answerNext(length int) {
	r := p.requests[0]
	p.requests = p.requests[1:]
	reserved := r.TakeReservedMemory()
	p.memory.Release(reserved)
	p.memory.Reserve(length, admission.NextResponse)
	r.Reply(request.Response{Kind: request.Served, Value: make([]byte, length), ReservedMemory: length})
	p.carryOut()
}

// Guards against responses without a bound: a command behind unanswered ones is handed over only once the memory for its response
// is reserved. The first command of a connection never waits, and all commands are handed over in the end.
func TestPipelinedCommandsWaitForResponseMemory(t *testing.T) {
	const commands, length = 20, 60 << 10
	core := newPipeliningCore()
	first, second := core.accept(), core.accept()
	core.receive(first, pipelinedReads(commands))
	if len(core.requests) != 3 || !first.IsPaused() {
		t.Fatalf("%d requests were handed over and the connection is paused: %v, want 3: one that need not wait and two for which there is memory",
			len(core.requests), first.IsPaused())
	}
	core.receive(second, pipelinedReads(commands))
	if len(core.requests) != 4 || !core.requests[3].IsNext() {
		t.Fatalf("%d requests were handed over, want the first one of the second connection too", len(core.requests))
	}
	for answered := range 2 * commands {
		if len(core.requests) == 0 {
			t.Fatalf("no request is handed over after %d answers, want %d answers", answered, 2*commands)
		}
		core.answerNext(length)
	}
	if first.IsPaused() || second.IsPaused() || core.memory.Used() != 0 {
		t.Errorf("connections are paused: %v and %v, %d bytes are reserved, want none", first.IsPaused(), second.IsPaused(), core.memory.Used())
	}
}

// Where responses are short there is room, and no command waits longer than it takes to see that they are: the memory that is
// reserved for a response follows the lengths of those before.
func TestShortResponsesLetMoreCommandsBePipelined(t *testing.T) {
	const commands = 31
	p := newPipeliningCore()
	conn := p.accept()
	p.receive(conn, pipelinedReads(commands))
	for range 6 {
		p.answerNext(100)
	}
	if got, want := len(p.requests), commands-6; got != want || conn.IsPaused() {
		t.Errorf("%d requests are handed over after six short responses, want all %d that are left", got, want)
	}
}

// A connection that ends gives back what is reserved for its responses, written or not, and its place among those that wait.
func TestClosedConnectionReleasesResponseMemory(t *testing.T) {
	p := newPipeliningCore()
	first, second := p.accept(), p.accept()
	p.receive(first, pipelinedReads(5))
	p.receive(second, pipelinedReads(5))
	late := p.requests[1]
	p.requests[1].Reply(request.Response{Kind: request.Served, Value: make([]byte, 100), ReservedMemory: late.TakeReservedMemory()})
	p.ConnectionEnded(p.now, first, &p.effects)
	p.carryOut()
	if got := len(p.requests); got != 6 {
		t.Errorf("%d requests were handed over, want two more of the second connection, which waited", got)
	}
	p.ConnectionEnded(p.now, second, &p.effects)
	p.carryOut()
	if p.memory.Used() != 0 {
		t.Errorf("%d bytes are reserved after all connections ended, want 0", p.memory.Used())
	}
}

// Responses that the listener makes itself take memory until they are written, and commands are rejected where there is none: a
// client that reads nothing could ask for any number of them.
func TestAnswersOfTheListenerTakeResponseMemory(t *testing.T) {
	p := newPipeliningCore()
	conn := p.Accepted(p.now, p.now)
	echo := fmt.Sprintf("*2\r\n$4\r\nPING\r\n$%d\r\n%s\r\n", 3000, strings.Repeat("e", 3000))
	p.BytesReceived(p.now, conn, copy(conn.ReadBuffer(), echo+"*1\r\n$4\r\nINFO\r\n"), &p.effects)
	info := len(p.count.String())
	if got, want := p.memory.Used(), 3000+info; got != want {
		t.Errorf("%d bytes are reserved while an echo and the counters are unsent, want %d", got, want)
	}
	p.carryOut()
	if got := p.memory.Used(); got != 0 {
		t.Errorf("%d bytes are reserved once the responses are written, want 0", got)
	}
	p.memory.Reserve(pipeliningMemory, admission.NextResponse)
	p.BytesReceived(p.now, conn, copy(conn.ReadBuffer(), echo), &p.effects)
	if responses, _ := p.NextToWrite(p.now, conn, nil); string(bytes.Join(responses, nil)) != "-BUSY\r\n" {
		t.Errorf("got %q to an echo without memory, want it rejected", responses)
	}
}

// Guards against responses that stay in memory after they were written, for as long as their connection is idle, or an attempt for
// their request is in flight.
func TestWrittenResponseIsNotRetained(t *testing.T) {
	p := newPipeliningCore()
	conn := p.accept()
	p.receive(conn, pipelinedReads(1))
	value := make([]byte, 60<<10)
	retained := weak.Make(&value[0])
	p.requests[0].Reply(request.Response{Kind: request.Served, Value: value})
	p.carryOut()
	p.effects, value = nil, nil
	for range 10 { // a value that is not referenced may survive the first collection
		runtime.GC()
		if retained.Value() == nil {
			return
		}
	}
	t.Errorf("the response is retained after it was written; the connection has %d responses to write, %d requests are known",
		len(conn.slots), len(p.requests))
}
