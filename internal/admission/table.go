package admission

import (
	"math"
	"time"
)

// Stage is what a connection has shown so far. It decides how long the connection may stay without an open request.
type Stage int

// The stages.
const (
	StageNew            Stage = iota // has said nothing yet
	StagePartialCommand              // has sent half a command, and is owed an answer once it is whole
	StageGreeted                     // has sent commands, but none that is a request: a check by a front, or a library's greeting
	StageOneRequest                  // has made one request
	StageInvalid                     // its last command made no sense
	StageRegular                     // makes requests in a rhythm
	stages
)

var stageNames = [...]string{"fresh", "partial", "greeted", "once", "rude", "regular"}

func (s Stage) String() string { return stageNames[s] }

// IdleTimeouts is how long a connection of a stage may stay idle: Long while there is room, Short in a table that is all
// but full, and in between by how full it is.
type IdleTimeouts struct{ Long, Short time.Duration }

// ConnectionPolicy says what a Table does.
type ConnectionPolicy struct {
	MaxConnections int // connections at a time
	// IdleTimeouts by stage. That of Regular is for a connection whose rhythm is no faster than its Short; a slower one is
	// kept for Beats of its own intervals, up to Long.
	IdleTimeouts [stages]IdleTimeouts
	Beats        float64
	// Low and High bound, as shares of the places, where patience shrinks: all of it up to Low, the least from High on.
	Low, High float64
	// MaxUnsentBytes is how much may be owed to all connections together; 0 is no bound. Past it those that took none of what
	// they are owed for Stuck are given up, the one that has been stuck for longest first.
	MaxUnsentBytes int
	StuckTimeout   time.Duration
	// Ahead is how far the drift of the table is looked ahead: a table that fills counts as fuller than it is.
	Ahead time.Duration
}

// DefaultConnectionPolicy is the policy for a number of places, from four times of the operator: those of a silent connection, of
// an idle one while there is room, and of an idle one in a crowd.
func DefaultConnectionPolicy(places int, silent, idle, crowded time.Duration) ConnectionPolicy {
	short := min(crowded, idle)
	return ConnectionPolicy{MaxConnections: places, Beats: 4, Low: 0.1, High: 0.4, Ahead: 250 * time.Millisecond,
		IdleTimeouts: [stages]IdleTimeouts{
			StageNew:            {min(silent, idle), min(silent, time.Second)},
			StagePartialCommand: {min(silent, idle), min(silent, time.Second)},
			StageGreeted:        {idle, short},
			StageOneRequest:     {idle, short},
			StageInvalid:        {min(idle, 2*time.Second), short},
			StageRegular:        {idle, min(idle, max(short, 400*time.Millisecond))}, // a rhythm has its gaps
		}}
}

// rhythms is how many rhythms are told apart; each is twice as slow as the one before.
const (
	rhythms = 14
	fastest = 8 * time.Millisecond
)

// ConnectionTable holds the connections of a listener. Connections of one stage and rhythm wait in the order in which they fell
// idle, so the next to go is always at the head of one of a few queues: an event costs the same however many
// connections there are, and nothing is ever swept.
type ConnectionTable struct {
	policy  ConnectionPolicy
	entries map[uint64]*entry
	queues  [int(stages) + rhythms]queue // by stage, the regular ones by rhythm
	used    int
	leaving int               // given up, and not gone yet
	owed    int               // bytes
	heavy   map[uint64]*entry // those that are owed more than light
	drift   float64
	driftAt Time
}

type entry struct {
	id         uint64
	open       int // answers that are owed
	since      Time
	stage      Stage
	requests   int
	lastAsked  Time
	interval   float64 // seconds between requests, a moving mean
	spoke      bool    // a command that makes sense
	partial    bool
	rude       bool
	given      bool
	owed       int  // bytes of answers that are ready and not written
	moved      Time // when some of them were last written, or the first became ready
	queue      *queue
	prev, next *entry
}

// queue is a list of idle connections, the one idle for longest first.
type queue struct{ head, tail *entry }

func (q *queue) push(e *entry) {
	// Almost always at the end: only what a caller tells late goes further up.
	at := q.tail
	for at != nil && at.since > e.since {
		at = at.prev
	}
	e.queue, e.prev = q, at
	if at == nil {
		e.next, q.head = q.head, e
	} else {
		e.next, at.next = at.next, e
	}
	if e.next == nil {
		q.tail = e
	} else {
		e.next.prev = e
	}
}

func (e *entry) unlink() {
	q := e.queue
	if q == nil {
		return
	}
	if e.prev == nil {
		q.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		q.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.queue, e.prev, e.next = nil, nil, nil
}

// NewConnectionTable makes an empty table.
func NewConnectionTable(p ConnectionPolicy) *ConnectionTable {
	return &ConnectionTable{policy: p, entries: map[uint64]*entry{}, heavy: map[uint64]*entry{}}
}

// SetCapacity changes the number of places. A table with more connections than that is full until enough have gone.
func (t *ConnectionTable) SetCapacity(n int) { t.policy.MaxConnections = n }

// Capacity is the number of places.
func (t *ConnectionTable) Capacity() int { return t.policy.MaxConnections }

// Len is how many connections there are, those given up and not gone yet too.
func (t *ConnectionTable) Len() int { return t.used }

// Accepted takes a connection that was accepted.
func (t *ConnectionTable) Accepted(now Time, id uint64) {
	t.flow(now, 1)
	e := &entry{id: id, since: now, stage: StageNew}
	t.entries[id] = e
	t.used++
	t.file(e)
}

// PartialCommand says that the first byte of a command came and the rest did not yet.
func (t *ConnectionTable) PartialCommand(now Time, id uint64) {
	e := t.entries[id]
	if e == nil || e.partial {
		return
	}
	e.partial = true
	if e.open == 0 {
		e.since = now
		t.file(e)
	}
}

// Command is a kind of command.
type Command int

// The kinds of commands.
const (
	CommandRequest Command = iota
	CommandOther           // answered by the listener itself
	CommandInvalid         // makes no sense, and is answered with an error
)

// CommandReceived says that a command came whole; an answer is owed for it.
func (t *ConnectionTable) CommandReceived(now Time, id uint64, kind Command) {
	e := t.entries[id]
	if e == nil {
		return
	}
	e.partial = false
	e.open++
	e.unlink()
	e.rude = kind == CommandInvalid
	e.spoke = e.spoke || !e.rude
	if kind != CommandRequest {
		return
	}
	if e.requests++; e.requests > 1 {
		gap := (now - e.lastAsked).Seconds()
		if e.requests == 2 {
			e.interval = gap
		}
		e.interval += (gap - e.interval) / 3
	}
	e.lastAsked = now
}

// ResponsesWritten says that so many answers were written.
func (t *ConnectionTable) ResponsesWritten(now Time, id uint64, n int) {
	e := t.entries[id]
	if e == nil {
		return
	}
	if e.open = max(0, e.open-n); e.open == 0 {
		e.since = now
		t.file(e)
	}
}

// light is how much a connection may be owed without being looked at when there is too much of it.
const light = 32 << 10

// AddUnsentBytes says that so many bytes of answers became ready for a connection, or, below 0, were written to it.
func (t *ConnectionTable) AddUnsentBytes(now Time, id uint64, bytes int) {
	e := t.entries[id]
	if e == nil {
		return
	}
	if bytes < 0 || e.owed == 0 {
		e.moved = now
	}
	e.owed += bytes
	t.owed += bytes
	if e.owed > light {
		t.heavy[id] = e
	} else {
		delete(t.heavy, id)
	}
}

// NextStuck gives up a connection that takes none of what it is owed while too much is owed to all together. It is to be
// cut off: what it is owed will never be written.
func (t *ConnectionTable) NextStuck(now Time) (id uint64, found bool) {
	if t.policy.MaxUnsentBytes <= 0 || t.owed <= t.policy.MaxUnsentBytes {
		return 0, false
	}
	// The more is owed, the less time there is: at twice the bound a quarter of the patience is left.
	over := float64(t.policy.MaxUnsentBytes) / float64(t.owed)
	patience := time.Duration(float64(t.policy.StuckTimeout) * over * over)
	var worst *entry
	for _, e := range t.heavy {
		if now-e.moved >= patience && (worst == nil || e.moved < worst.moved || e.moved == worst.moved && e.id < worst.id) {
			worst = e
		}
	}
	if worst == nil {
		return 0, false
	}
	delete(t.heavy, worst.id)
	t.owed -= worst.owed
	worst.owed = 0
	if !worst.given {
		t.give(worst)
	}
	return worst.id, true
}

// Closed says that a connection has ended.
func (t *ConnectionTable) Closed(now Time, id uint64) {
	e := t.entries[id]
	if e == nil {
		return
	}
	e.unlink()
	delete(t.entries, id)
	delete(t.heavy, id)
	t.owed -= e.owed
	t.used--
	if e.given {
		t.leaving--
	}
	t.flow(now, -1)
}

// file puts a connection without an open request where it belongs.
func (t *ConnectionTable) file(e *entry) {
	e.unlink()
	if e.given {
		return
	}
	switch {
	case e.partial:
		e.stage = StagePartialCommand
	case e.rude:
		e.stage = StageInvalid
	case e.requests > 1:
		e.stage = StageRegular
	case e.requests == 1:
		e.stage = StageOneRequest
	case e.spoke:
		e.stage = StageGreeted
	default:
		e.stage = StageNew
	}
	t.queues[t.index(e)].push(e)
}

func (t *ConnectionTable) index(e *entry) int {
	if e.stage != StageRegular {
		return int(e.stage)
	}
	return int(stages) + rhythm(e.interval)
}

// rhythm is the class of an interval: the first whose length is no shorter.
func rhythm(seconds float64) int {
	n := math.Ceil(math.Log2(max(seconds, 1e-6) / fastest.Seconds()))
	return int(min(max(n, 0), rhythms-1))
}

// flow follows how fast the table fills, in connections a second.
func (t *ConnectionTable) flow(now Time, change float64) {
	const age = 0.5 // seconds
	t.drift = t.drift*math.Exp(-(now-t.driftAt).Seconds()/age) + change/age
	t.driftAt = now
}

// Crowding tells how crowded the table is: 0 while there is room, 1 when connections get the least patience.
func (t *ConnectionTable) Crowding(now Time) float64 {
	p := t.policy
	drift := t.drift * math.Exp(-(now-t.driftAt).Seconds()/0.5)
	fill := (float64(t.used-t.leaving) + max(0, drift)*p.Ahead.Seconds()) / float64(max(1, p.MaxConnections))
	return min(1, max(0, (fill-p.Low)/(p.High-p.Low)))
}

// patience is how long the connections of a queue may stay idle. It shrinks by the same factor for each step of the
// pressure.
func (t *ConnectionTable) patience(index int, pressure float64) time.Duration {
	stage := Stage(min(index, int(StageRegular)))
	p := t.policy.IdleTimeouts[stage]
	if stage == StageRegular {
		own := time.Duration(t.policy.Beats * fastest.Seconds() * math.Exp2(float64(index-int(stages))) * float64(time.Second))
		p.Short = min(p.Long, max(p.Short, own))
	}
	return time.Duration(math.Exp((1-pressure)*math.Log(float64(p.Long)) + pressure*math.Log(float64(max(p.Short, 1)))))
}

// ExpireIdle gives up the connections whose time is over, at most so many at a time. Each is returned once; Gone is awaited.
func (t *ConnectionTable) ExpireIdle(now Time, most int) (ids []uint64) {
	pressure := t.Crowding(now)
	for i := range t.queues {
		wait := t.patience(i, pressure)
		for len(ids) < most {
			e := t.queues[i].head
			if e == nil || now-e.since < wait {
				break
			}
			ids = append(ids, t.give(e))
		}
	}
	return ids
}

func (t *ConnectionTable) give(e *entry) uint64 {
	e.unlink()
	e.given = true
	t.leaving++
	return e.id
}

// Stage is what a connection has shown.
func (t *ConnectionTable) Stage(id uint64) Stage {
	if e := t.entries[id]; e != nil {
		return e.stage
	}
	return StageNew
}

// NextExpiry is when Due is wanted next, if nothing else happens; never is 0 and false.
func (t *ConnectionTable) NextExpiry(now Time) (Time, bool) {
	at, any := Time(math.MaxInt64), false
	pressure := t.Crowding(now)
	for i := range t.queues {
		if e := t.queues[i].head; e != nil {
			at, any = min(at, e.since+t.patience(i, pressure)), true
		}
	}
	return at, any
}

// young is how long a connection that has just been accepted is left alone even in a full table: it is about to speak.
const young = 100 * time.Millisecond

// Admit tells whether one more connection may be accepted, and, where it may not, which one is given up for it: the
// one that has used up most of its patience. There may be none that can go.
func (t *ConnectionTable) Admit(now Time) (ok bool, victim uint64, found bool) {
	if t.used < t.policy.MaxConnections {
		return true, 0, false
	}
	if t.leaving > 0 { // room is on its way
		return false, 0, false
	}
	var worst *entry
	most := 0.0
	for i := range t.queues {
		e := t.queues[i].head
		if e == nil || e.stage == StageNew && now-e.since < young {
			continue
		}
		if part := float64(now-e.since) / float64(t.patience(i, 1)); worst == nil || part > most {
			worst, most = e, part
		}
	}
	if worst == nil {
		return false, 0, false
	}
	return false, t.give(worst), true
}
