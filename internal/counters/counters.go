// Package counters counts what the node takes in, sends and answers.
package counters

import (
	"fmt"
	"strings"
	"sync/atomic"
)

// Counters may be used from any goroutine.
type Counters struct {
	Accepted, AcceptFailed, WriteFailed                                          atomic.Int64 // the clients' connections
	ClosedSilent, ClosedIdle, ClosedForCapacity, ClosedStuck                     atomic.Int64 // closed by the node: said nothing, had no more to say, for room, took no answers
	Malformed, BadFraming, Duplicate                                             atomic.Int64 // commands that are no request
	UpstreamConnections, OriginConnections                                       atomic.Int64 // connections to servers
	DescriptorRebalances                                                         atomic.Int64 // descriptors that were moved from one use to another, in times
	HealthChecks, Watches, Lists, WatchesBroken, WatchesMalformed, ListsRejected atomic.Int64
	GossipSent, GossipReceived, GossipForeign, GossipDropped                     atomic.Int64 // datagrams: sent, taken, from elsewhere or too long, lost here
	Reloads, ReloadsFailed                                                       atomic.Int64 // configurations read again, and those that were no good
	RejectedForMemory                                                            atomic.Int64 // flows turned away at the door, as those taken hold too much
	LateResponses                                                                atomic.Int64 // answers of servers that came after their flow's end
	ClientsDisconnected                                                          atomic.Int64 // flows whose client left first
	ServedLate                                                                   atomic.Int64 // flows served after their class's aim
	classes                                                                      []string
	answers                                                                      []string
	ends                                                                         []string
	in, sent                                                                     []atomic.Int64 // by class
	answered                                                                     []atomic.Int64 // by class and answer
	ended                                                                        []atomic.Int64 // by class and end
	more                                                                         []named        // of parts that are switched on
}

type named struct {
	name string
	n    *atomic.Int64
}

// Register adds a counter of a part that an operator switched on. It must be called before any other goroutine uses c.
func (c *Counters) Register(name string) *atomic.Int64 {
	c.more = append(c.more, named{name, new(atomic.Int64)})
	return c.more[len(c.more)-1].n
}

// Total is how many final answers there were, and how many of one kind.
func (c *Counters) Total(kind int) (answers, ofKind int) {
	for i := range c.answered {
		n := int(c.answered[i].Load())
		if answers += n; i%len(c.answers) == kind {
			ofKind += n
		}
	}
	return answers, ofKind
}

// New makes counters for these classes, kinds of final answers and ends of forwards.
func New(classes, answers, ends []string) *Counters {
	n := len(classes)
	return &Counters{classes: classes, answers: answers, ends: ends, in: make([]atomic.Int64, n),
		sent: make([]atomic.Int64, n), answered: make([]atomic.Int64, n*len(answers)),
		ended: make([]atomic.Int64, n*len(ends))}
}

// RequestReceived counts a flow that was taken.
func (c *Counters) RequestReceived(class int) { c.in[class].Add(1) }

// AttemptSent counts a forward.
func (c *Counters) AttemptSent(class int) { c.sent[class].Add(1) }

// RequestAnswered counts a final answer.
func (c *Counters) RequestAnswered(class, answer int) { c.answered[class*len(c.answers)+answer].Add(1) }

// AttemptEnded counts the end of a forward.
func (c *Counters) AttemptEnded(class, end int) { c.ended[class*len(c.ends)+end].Add(1) }

// String is all counters, one name and figure a line.
func (c *Counters) String() string {
	var b strings.Builder
	c.Each(func(name string, n int64) { fmt.Fprintf(&b, "%s %d\n", name, n) })
	return b.String()
}

// Each calls f with every counter, always in the same order.
func (c *Counters) Each(f func(name string, n int64)) {
	line := func(n *atomic.Int64, name string, args ...any) { f(fmt.Sprintf(name, args...), n.Load()) }
	line(&c.Accepted, "listener_accepted")
	line(&c.AcceptFailed, "listener_accept_failed")
	line(&c.WriteFailed, "listener_write_failed")
	line(&c.ClosedSilent, "listener_closed_silent")
	line(&c.ClosedIdle, "listener_closed_idle")
	line(&c.ClosedForCapacity, "listener_closed_for_room")
	line(&c.ClosedStuck, "listener_closed_stuck")
	line(&c.Malformed, "commands_malformed")
	line(&c.BadFraming, "commands_bad_framing")
	line(&c.Duplicate, "commands_duplicate")
	line(&c.UpstreamConnections, "target_connections_opened")
	line(&c.OriginConnections, "origin_connections_opened")
	line(&c.DescriptorRebalances, "descriptors_moved")
	line(&c.HealthChecks, "probes_sent")
	line(&c.Watches, "discovery_watches")
	line(&c.WatchesBroken, "discovery_watches_broken")
	line(&c.WatchesMalformed, "discovery_watches_garbage")
	line(&c.Lists, "discovery_lists")
	line(&c.ListsRejected, "discovery_lists_refused")
	line(&c.GossipSent, "peers_told")
	line(&c.GossipReceived, "peers_heard")
	line(&c.GossipForeign, "peers_foreign")
	line(&c.GossipDropped, "peers_dropped")
	line(&c.Reloads, "reloads")
	line(&c.ReloadsFailed, "reloads_bad")
	line(&c.RejectedForMemory, "flows_without_memory")
	line(&c.LateResponses, "answers_late")
	line(&c.ClientsDisconnected, "flows_client_left")
	line(&c.ServedLate, "flows_served_late")
	for _, m := range c.more {
		line(m.n, "%s", m.name)
	}
	for i, class := range c.classes {
		line(&c.in[i], "flows_in{class=%q}", class)
		line(&c.sent[i], "forwards_sent{class=%q}", class)
		for j, answer := range c.answers {
			line(&c.answered[i*len(c.answers)+j], "flows_answered{class=%q,answer=%q}", class, answer)
		}
		for j, end := range c.ends {
			line(&c.ended[i*len(c.ends)+j], "forwards_ended{class=%q,end=%q}", class, end)
		}
	}
}
