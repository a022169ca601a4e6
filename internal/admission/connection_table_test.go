package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func newTable(maxConnections int) *ConnectionTable {
	return NewConnectionTable(DefaultConnectionPolicy(maxConnections, 2500*ms, time.Minute, 50*ms))
}

// exchange makes a connection send a command and get its response 10 ms later.
func exchange(table *ConnectionTable, now Time, id uint64, kind Command) {
	table.CommandReceived(now, id, kind)
	table.ResponsesWritten(now+10*ms, id, 1)
}

func TestConnectionWithOpenRequestIsNeverMarkedForClosing(t *testing.T) {
	table := newTable(4)
	for id := range uint64(4) {
		table.Accepted(0, id)
		table.CommandReceived(0, id, CommandRequest)
	}
	if got := table.ExpireIdle(time.Hour, 10); len(got) != 0 {
		t.Errorf("got %v expired with open requests, want none", got)
	}
	if ok, victim, found := table.Admit(time.Hour); ok || found {
		t.Errorf("got admitted %v, victim %d %v with open requests on all connections, want neither", ok, victim, found)
	}
	table.ResponsesWritten(time.Hour, 2, 1)
	if _, victim, found := table.Admit(time.Hour + ms); !found || victim != 2 {
		t.Fatalf("got the victim %d, %v, want 2", victim, found)
	}
	table.CommandReceived(time.Hour+2*ms, 2, CommandRequest) // the client sent this command before the connection was closed
	table.ResponsesWritten(time.Hour+3*ms, 2, 1)
	if _, victim, found := table.Admit(time.Hour + 4*ms); found {
		t.Errorf("got another victim, %d, while one is not closed yet", victim)
	}
	table.Closed(time.Hour+5*ms, 2)
	if ok, _, _ := table.Admit(time.Hour + 6*ms); !ok || table.Len() != 3 {
		t.Errorf("got admitted %v with %d connections after one was closed, want true with 3", ok, table.Len())
	}
}

// tableModel applies random events to a table, and keeps its own counts, with which the table has to agree.
type tableModel struct {
	*rapid.T
	table  *ConnectionTable
	now    Time
	lastID uint64
	open   map[uint64]int // number of commands that wait for a response, by connection
	marked map[uint64]bool
}

// pick draws the id of one of the connections, if there are any.
func (m *tableModel) pick() (uint64, bool) {
	ids := make([]uint64, 0, len(m.open))
	for id := range m.open {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return 0, false
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(m.T, "id"), true
}

func (m *tableModel) markForClosing(id uint64) {
	if m.open[id] > 0 || m.marked[id] {
		m.Fatalf("connection %d was marked for closing with %d open commands, marked before: %v", id, m.open[id], m.marked[id])
	}
	m.marked[id] = true
}

func (m *tableModel) admit() {
	if ok, victim, found := m.table.Admit(m.now); ok {
		m.lastID++
		m.table.Accepted(m.now, m.lastID)
		m.open[m.lastID] = 0
	} else if found {
		m.markForClosing(victim)
	}
}

func (m *tableModel) command() {
	if id, ok := m.pick(); ok {
		m.table.CommandReceived(m.now, id, Command(rapid.IntRange(0, 2).Draw(m.T, "kind")))
		m.open[id]++
	}
}

func (m *tableModel) respond() {
	if id, ok := m.pick(); ok && m.open[id] > 0 {
		responses := rapid.IntRange(1, m.open[id]).Draw(m.T, "responses")
		m.table.ResponsesWritten(m.now, id, responses)
		m.open[id] -= responses
	}
}

func (m *tableModel) partialCommand() {
	if id, ok := m.pick(); ok {
		m.table.PartialCommand(m.now, id)
	}
}

func (m *tableModel) expire() {
	for _, id := range m.table.ExpireIdle(m.now, 3) {
		m.markForClosing(id)
	}
}

func (m *tableModel) close() {
	if id, ok := m.pick(); ok {
		m.table.Closed(m.now, id)
		delete(m.open, id)
		delete(m.marked, id)
	}
}

// check compares the table's counts with the model's. It checks that the queues hold the idle connections, in order.
func (m *tableModel) check() {
	if m.table.Len() != len(m.open) || m.table.closing != len(m.marked) {
		m.Fatalf("got %d connections and %d closing, want %d and %d", m.table.Len(), m.table.closing, len(m.open), len(m.marked))
	}
	queued := 0
	for i := range m.table.queues {
		for c := m.table.queues[i].head; c != nil; c = c.next {
			queued++
			if c.next != nil && c.next.idleSince < c.idleSince || c.openCommands > 0 || c.isClosing {
				m.Fatalf("queue %d is out of order or holds a connection that is not idle", i)
			}
		}
	}
	idle := 0
	for id, open := range m.open {
		if open == 0 && !m.marked[id] {
			idle++
		}
	}
	if queued != idle {
		m.Fatalf("got %d connections in the queues, want the %d idle ones", queued, idle)
	}
}

func TestTableCountsMatchAndOnlyIdleConnectionsAreMarkedForClosing(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		model := &tableModel{T: r, table: newTable(rapid.IntRange(1, 12).Draw(r, "places")), open: map[uint64]int{}, marked: map[uint64]bool{}}
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			model.now += time.Duration(rapid.IntRange(0, 400).Draw(r, "wait")) * ms
			switch rapid.IntRange(0, 6).Draw(r, "event") {
			case 0:
				model.admit()
			case 1:
				model.command()
			case 2:
				model.respond()
			case 3:
				model.partialCommand()
			case 4, 5:
				model.expire()
			case 6:
				model.close()
			}
			model.check()
		}
	})
}
