// Package counters counts what a node accepts, sends and answers. The names of the counters appear in INFO and in the log.
// They are an interface of releases that are in use, so they must not change.
package counters

import (
	"fmt"
	"strings"
	"sync/atomic"
)

// Counters holds all counters of a node. It is safe for concurrent use, except for Register.
type Counters struct {
	// Client connections that were accepted, failed accepts, and failed writes of responses.
	Accepted, AcceptFailed, WriteFailed atomic.Int64
	// Client connections that the node closed: without a complete command, idle, to make space for another connection, and
	// those whose clients read nothing.
	ClosedWithoutCommand, ClosedIdle, ClosedForCapacity, ClosedStuck atomic.Int64
	// Commands that were rejected: as invalid, for broken framing, and for the id of a request that is still open.
	Malformed, BadFraming, Duplicate atomic.Int64
	// Connections opened to cache servers and to the origin.
	UpstreamConnections, OriginConnections atomic.Int64
	// Moves of descriptors from one side to another; see admission.DescriptorSplit.
	DescriptorRebalances atomic.Int64
	// Health checks sent.
	HealthChecks atomic.Int64
	// Watches of the endpoint list that were opened, broke, or got a malformed response; lists received, and lists rejected.
	Watches, WatchesBroken, WatchesMalformed, Lists, ListsRejected atomic.Int64
	// Gossip datagrams that were sent, received, ignored as too long or from an unknown sender, and dropped by this node.
	GossipSent, GossipReceived, GossipForeign, GossipDropped atomic.Int64
	// Reloads of the configuration that succeeded, and those that failed because the configuration was invalid.
	Reloads, ReloadsFailed atomic.Int64
	// Requests rejected because the requests in progress use too much memory.
	RejectedForMemory atomic.Int64
	// Responses of servers that arrived after the end of their request.
	LateResponses atomic.Int64
	// Requests whose client disconnected before the response.
	ClientsDisconnected atomic.Int64
	// Requests served after the latency objective of their class.
	ServedLate atomic.Int64

	classes, answers, outcomes []string       // names of the classes, of the kinds of final responses, and of the outcomes
	received, sent             []atomic.Int64 // requests and attempts, by class
	answered                   []atomic.Int64 // final responses, by class and kind
	ended                      []atomic.Int64 // ended attempts, by class and outcome
	registered                 []registeredCounter
}

// registeredCounter is a counter of a part of the node that the configuration switches on.
type registeredCounter struct {
	name  string
	count *atomic.Int64
}

// New returns counters for the given classes of requests, kinds of final responses and outcomes of attempts.
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

// Register adds a counter for a part of the node that the configuration switches on. It must be called before any other
// goroutine uses c.
func (c *Counters) Register(name string) *atomic.Int64 {
	count := new(atomic.Int64)
	c.registered = append(c.registered, registeredCounter{name: name, count: count})
	return count
}

// RequestReceived counts a received request of a class.
func (c *Counters) RequestReceived(class int) { c.received[class].Add(1) }

// AttemptSent counts an attempt that was sent for a request of a class.
func (c *Counters) AttemptSent(class int) { c.sent[class].Add(1) }

// RequestAnswered counts a final response, by the class of its request and the kind of the response.
func (c *Counters) RequestAnswered(class, answer int) { c.answered[class*len(c.answers)+answer].Add(1) }

// AttemptEnded counts an ended attempt, by the class of its request and its outcome.
func (c *Counters) AttemptEnded(class, outcome int) { c.ended[class*len(c.outcomes)+outcome].Add(1) }

// Total returns the number of final responses of all kinds, and of the given kind, over all classes.
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

// String returns all counters, one name and value per line.
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
