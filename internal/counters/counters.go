// Package counters counts what a node accepts, sends and answers. The names of the counters, in INFO and in the log, are
// an interface of releases that are in use: they stay what they are.
package counters

import (
	"fmt"
	"strings"
	"sync/atomic"
)

// Counters may be used from any goroutine, but for Register.
type Counters struct {
	// Connections of clients: accepted, failed to be, and those with a failed write.
	Accepted, AcceptFailed, WriteFailed atomic.Int64
	// Connections that the node closed: without a complete command, idle, to make space for another, reading nothing.
	ClosedWithoutCommand, ClosedIdle, ClosedForCapacity, ClosedStuck atomic.Int64
	// Commands that are no request: invalid, without a valid framing, with the id of an open request.
	Malformed, BadFraming, Duplicate atomic.Int64
	// Connections opened to cache servers and to the origin.
	UpstreamConnections, OriginConnections atomic.Int64
	// Moves of descriptors from one side to another.
	DescriptorRebalances atomic.Int64
	// Health checks sent.
	HealthChecks atomic.Int64
	// Watches of the endpoint list: opened, broken, with a malformed response; lists received and rejected.
	Watches, WatchesBroken, WatchesMalformed, Lists, ListsRejected atomic.Int64
	// Gossip datagrams: sent, received, of unknown senders or too long, dropped here.
	GossipSent, GossipReceived, GossipForeign, GossipDropped atomic.Int64
	// Configurations read again, and those that were invalid.
	Reloads, ReloadsFailed atomic.Int64
	// Requests rejected as those in progress use too much memory.
	RejectedForMemory atomic.Int64
	// Responses of servers that came after the end of their request.
	LateResponses atomic.Int64
	// Requests whose client disconnected before the answer.
	ClientsDisconnected atomic.Int64
	// Requests served after the latency objective of their class.
	ServedLate atomic.Int64

	classes, answers, outcomes []string       // names
	received, sent             []atomic.Int64 // by class
	answered                   []atomic.Int64 // by class and answer
	ended                      []atomic.Int64 // by class and outcome
	registered                 []registeredCounter
}

// registeredCounter belongs to a part of the node that is switched on by configuration.
type registeredCounter struct {
	name  string
	count *atomic.Int64
}

// New returns counters for classes of requests, kinds of final answers and outcomes of attempts.
func New(classes, answers, outcomes []string) *Counters {
	return &Counters{
		classes:  classes,
		answers:  answers,
		outcomes: outcomes,
		received: make([]atomic.Int64, len(classes)),
		sent:     make([]atomic.Int64, len(classes)),
		answered: make([]atomic.Int64, len(classes)*len(answers)),
		ended:    make([]atomic.Int64, len(classes)*len(outcomes)),
	}
}

// Register adds a counter of a part of the node that is switched on by configuration. It must be called before any other
// goroutine uses c.
func (c *Counters) Register(name string) *atomic.Int64 {
	count := new(atomic.Int64)
	c.registered = append(c.registered, registeredCounter{name: name, count: count})
	return count
}

// RequestReceived counts a request that was accepted.
func (c *Counters) RequestReceived(class int) { c.received[class].Add(1) }

// AttemptSent counts an attempt.
func (c *Counters) AttemptSent(class int) { c.sent[class].Add(1) }

// RequestAnswered counts a final answer.
func (c *Counters) RequestAnswered(class, answer int) { c.answered[class*len(c.answers)+answer].Add(1) }

// AttemptEnded counts the outcome of an attempt.
func (c *Counters) AttemptEnded(class, outcome int) { c.ended[class*len(c.outcomes)+outcome].Add(1) }

// Total returns how many final answers there were, and how many of one kind.
func (c *Counters) Total(kind int) (answers, ofKind int) {
	for i := range c.answered {
		count := int(c.answered[i].Load())
		answers += count
		if i%len(c.answers) == kind {
			ofKind += count
		}
	}
	return answers, ofKind
}

// String returns all counters, one name and figure a line.
func (c *Counters) String() string {
	var text strings.Builder
	c.Each(func(name string, count int64) { fmt.Fprintf(&text, "%s %d\n", name, count) })
	return text.String()
}

// Each calls visit with every counter, always in the same order.
func (c *Counters) Each(visit func(name string, count int64)) {
	c.eachOfNode(visit)
	for _, counter := range c.registered {
		visit(counter.name, counter.count.Load())
	}
	c.eachOfClasses(visit)
}

func (c *Counters) eachOfNode(visit func(name string, count int64)) {
	for _, counter := range []struct {
		name  string
		count *atomic.Int64
	}{
		{"listener_accepted", &c.Accepted},
		{"listener_accept_failed", &c.AcceptFailed},
		{"listener_write_failed", &c.WriteFailed},
		{"listener_closed_silent", &c.ClosedWithoutCommand},
		{"listener_closed_idle", &c.ClosedIdle},
		{"listener_closed_for_room", &c.ClosedForCapacity},
		{"listener_closed_stuck", &c.ClosedStuck},
		{"commands_malformed", &c.Malformed},
		{"commands_bad_framing", &c.BadFraming},
		{"commands_duplicate", &c.Duplicate},
		{"target_connections_opened", &c.UpstreamConnections},
		{"origin_connections_opened", &c.OriginConnections},
		{"descriptors_moved", &c.DescriptorRebalances},
		{"probes_sent", &c.HealthChecks},
		{"discovery_watches", &c.Watches},
		{"discovery_watches_broken", &c.WatchesBroken},
		{"discovery_watches_garbage", &c.WatchesMalformed},
		{"discovery_lists", &c.Lists},
		{"discovery_lists_refused", &c.ListsRejected},
		{"peers_told", &c.GossipSent},
		{"peers_heard", &c.GossipReceived},
		{"peers_foreign", &c.GossipForeign},
		{"peers_dropped", &c.GossipDropped},
		{"reloads", &c.Reloads},
		{"reloads_bad", &c.ReloadsFailed},
		{"flows_without_memory", &c.RejectedForMemory},
		{"answers_late", &c.LateResponses},
		{"flows_client_left", &c.ClientsDisconnected},
		{"flows_served_late", &c.ServedLate},
	} {
		visit(counter.name, counter.count.Load())
	}
}

func (c *Counters) eachOfClasses(visit func(name string, count int64)) {
	for i, class := range c.classes {
		visit(fmt.Sprintf("flows_in{class=%q}", class), c.received[i].Load())
		visit(fmt.Sprintf("forwards_sent{class=%q}", class), c.sent[i].Load())
		for j, answer := range c.answers {
			visit(fmt.Sprintf("flows_answered{class=%q,answer=%q}", class, answer), c.answered[i*len(c.answers)+j].Load())
		}
		for j, outcome := range c.outcomes {
			visit(fmt.Sprintf("forwards_ended{class=%q,end=%q}", class, outcome), c.ended[i*len(c.outcomes)+j].Load())
		}
	}
}
