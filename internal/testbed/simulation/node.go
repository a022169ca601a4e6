package simulation

import (
	"log/slog"
	"strconv"
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/discovery"
	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/listener"
	nodecore "shelfproxy/internal/node"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/testbed/wireformat"
	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/origin"
	"shelfproxy/internal/upstream/resp"

	"github.com/valyala/fastjson"
)

// node is one node: the cores of its process of the moment, and what stands in for their shells. Every delay that a goroutine
// could make is drawn.
type node struct {
	w     *world
	index int
	life  int // of its process: what an earlier one booked does nothing
	up    bool
	takes bool          // new connections come in
	skew  time.Duration // of its process's date

	core   *nodecore.Core
	front  *listener.Core
	pools  []*pool
	conns  []*frontConn // open, in the order in which they came
	long   *upstream.ResponseMemory
	due    Time // when the core is looked at next; 0 is not booked
	listAt Time // when the last news of the list is taken
	heard  Time // when discovery last said something
	count  *counters.Counters
	agree  *agreements // nil where each node does for itself
}

// frontConn is a client's connection at the node.
type frontConn struct {
	n       *node
	life    int
	end     *end
	core    *listener.Conn
	inbox   []byte
	reading bool
	eof     bool
	writing bool
}

func newNode(w *world, index int) *node { return &node{w: w, index: index} }

// now is the node's clock.
func (n *node) now() time.Time { return epoch.Add(n.skew + n.w.now) }

// simTime is a time of the node's clock as one of the run.
func (n *node) simTime(t time.Time) Time { return t.Sub(epoch) - n.skew }

// lag is how long a goroutine of the node takes to run, once it may.
func (n *node) lag() time.Duration { return n.w.between(0, n.w.plan.Net.Lag) }

// later books work of the process that runs now.
func (n *node) later(d time.Duration, run func()) {
	life := n.life
	n.w.after(d, func() {
		if n.life == life {
			run()
		}
	})
}

// start starts a process.
func (n *node) start() {
	w, p := n.w, n.w.plan
	n.life++
	n.up, n.takes, n.due, n.listAt, n.heard = true, true, 0, 0, w.now
	n.skew = w.between(-p.Net.Skew, p.Net.Skew)
	n.pools, n.conns = nil, nil
	w.note("start", strconv.Itoa(n.index))
	w.check.NodeRestarted(n.index)
	for _, e := range w.portal.List().Entries { // its configuration's
		w.check.NodeKnowsStart(n.index, e.ID, e.Started)
	}
	var names []string
	for _, c := range p.Classes {
		names = append(names, c.Name)
	}
	ends := make([]string, upstream.NumOutcomes())
	for i := range ends {
		ends[i] = upstream.Outcome(i).String()
	}
	n.count = counters.New(names, request.ResponseKinds(), ends)
	n.long = upstream.NewResponseMemory(p.Nodes.MemoryMB<<20/8, p.Nodes.MemoryMB<<20/32)
	targets, origins := upstream.NewDescriptorBudget(p.Nodes.Sockets/3), upstream.NewDescriptorBudget(max(1, p.Nodes.Sockets/10))
	v, err := fastjson.ParseBytes(wireformat.EncodeList(w.portal.List(), func(slot int) string { return address(slot, n.index) }, unixMs))
	if err != nil {
		panic(err)
	}
	known, err := discovery.Parse(v)
	if err != nil {
		panic(err)
	}
	limits := upstream.Limits{ConnectTimeout: p.Nodes.ConnectTimeout.D(), IdleTimeout: p.Nodes.ConnectionIdle.D() * 8 / 10, MaxStreams: p.Nodes.MaxStreams, MaxConnections: 16,
		MaxQueued: 64, PipelineWithin: p.Net.Share}
	originLimits := limits
	originLimits.MaxStreams, originLimits.MaxConnections = 1, p.Nodes.Sockets
	module := p.Module(n.index)
	life := n.life
	n.core, err = nodecore.NewCore(nodecore.Options{Policy: module, Seed: p.Seed*1000 + uint64(n.index*100+n.life), MaxOpenRequests: p.Nodes.MaxOpen,
		MaxRequestBytes: p.Nodes.MemoryMB << 20 / 4, MaxClientTimeout: p.longestWait(), InitialList: known, Source: source{n, n.life}, Counters: n.count,
		Log: slog.New(slog.DiscardHandler), Gossip: n.tell, Announce: n.spread,
		NewUpstream: func(s discovery.Server, isOrigin bool, report func(*upstream.Attempt, upstream.Response)) nodecore.Upstream {
			u := &pool{n: n, life: life, id: s.ID, report: report, wrote: map[*upstream.Attempt]*serverConn{}}
			if isOrigin {
				u.codec = origin.Codec{Host: s.Addr, Memory: n.long}
				u.core = upstream.NewCore(s.Addr, u.codec, originLimits, origins)
			} else {
				u.codec = resp.Codec{Memory: n.long}
				u.core = upstream.NewCore(s.Addr, u.codec, limits, targets)
			}
			n.pools = append(n.pools, u)
			return u
		}}, nodecore.Environment{Now: n.now, ReportOutcome: n.landed, PostListUpdate: n.list})
	if err != nil {
		panic(err)
	}
	n.front = listener.NewCore(n.now(), names, nil, listener.Limits{MaxConnections: p.Nodes.Sockets / 2, MaxPipelined: 8, MaxValue: 64 << 10, WriteTimeout: 10 * time.Second,
		FirstCommandTimeout: 2500 * time.Millisecond, IdleTimeout: time.Minute, CrowdedIdleTimeout: 50 * time.Millisecond, MaxUnsentBytes: p.Nodes.MemoryMB << 20 / 6}, n.count)
	n.front.Reply = func(c *listener.Conn, s *listener.ResponseSlot, r request.Response) {
		var fx listener.Effects
		n.front.Respond(n.now(), c, s, r, &fx)
		n.carry(fx)
	}
	n.core.Start()
	n.arm()
	n.sweep()
	if n.agree = nil; p.Agree {
		n.agree = newAgreements(n)
	}
}

// spread tells all others what the holder of a duty has to say.
func (n *node) spread(duty policy.Role) {
	if n.agree != nil {
		n.agree.duty(lease.Announce{Resource: policy.RoleNames[duty]})
	}
}

// arm books the next look at the core.
func (n *node) arm() {
	at, ok := n.core.NextTimer()
	if !ok {
		return
	}
	t := max(n.simTime(at), n.w.now)
	if n.due > 0 && n.due <= t {
		return
	}
	n.due = t
	n.later(t-n.w.now, func() {
		if n.due == t {
			n.due = 0
		}
		n.core.HandleTimers()
		n.arm()
	})
}

func (n *node) sweep() {
	var fx listener.Effects
	next := n.front.ExpireIdle(n.now(), &fx)
	n.carry(fx)
	n.later(next, n.sweep)
}

// landed takes the end of a forward from a pool, in the loop's turn.
func (n *node) landed(f *upstream.Attempt, a upstream.Response) {
	n.later(n.lag(), func() {
		n.core.AttemptEnded(f, a)
		n.arm()
	})
}

// list has the core take news of the list, in the order in which they came.
func (n *node) list(f func()) {
	n.listAt = max(n.listAt, n.w.now+n.lag())
	n.later(n.listAt-n.w.now, func() {
		f()
		n.arm()
	})
}

// tell sends a datagram to all other nodes.
func (n *node) tell(data []byte) error {
	for i := range n.w.nodes {
		if i != n.index {
			n.datagram(i, data)
		}
	}
	return nil
}

// datagram sends a datagram to a node, where it comes once, twice, garbled or not at all.
func (n *node) datagram(to int, data []byte) {
	w, o := n.w, n.w.nodes[to]
	if w.chance(w.plan.Net.Lost) {
		return
	}
	text := append([]byte(nil), data...)
	if w.chance(w.plan.Net.Garbled) {
		text[w.rng.IntN(len(text))] ^= 1 << w.rng.IntN(8)
	}
	times := 1
	if w.chance(w.plan.Net.Twice) {
		times = 2
	}
	for range times {
		w.after(w.between(time.Millisecond, 30*time.Millisecond), func() {
			switch {
			case !o.up:
			case o.agree != nil && text[0] == lease.Magic:
				o.agree.duty(lease.MessageReceived{From: n.index, Data: text})
			case o.agree != nil && text[0] == membership.Magic:
				o.agree.member(membership.MessageReceived{From: n.index, Data: text})
			default:
				o.core.NotifyPolicy(policy.GossipReceived{From: n.index, Data: text})
				o.arm()
			}
		})
	}
}

// accept takes a client's connection; nil where nobody listens.
func (n *node) accept() *end {
	if !n.up || !n.takes {
		return nil
	}
	near, far := n.w.pipe(n.w.plan.Net.ToNode, n.w.plan.Net.ToClient)
	c := &frontConn{n: n, life: n.life, end: far, core: n.front.Accepted(n.now())}
	c.core.Socket = c
	far.data = func(b []byte, _ Time) {
		if n.life == c.life {
			c.inbox = append(c.inbox, b...)
			c.wake()
		}
	}
	far.ended = func(bool) {
		if n.life == c.life {
			c.eof = true
			c.wake()
		}
	}
	n.conns = append(n.conns, c)
	var fx listener.Effects
	n.front.HasCapacity(n.now(), &fx)
	n.carry(fx)
	return near
}

// wake has the connection's reader run.
func (c *frontConn) wake() {
	if !c.reading {
		c.reading = true
		c.n.later(c.n.lag(), c.read)
	}
}

// read moves what came to the core.
func (c *frontConn) read() {
	c.reading = false
	if c.eof { // whatever it sent before: nobody waits for the answers
		c.inbox = nil
	}
	for len(c.inbox) > 0 && !c.core.IsClosed() && !c.core.IsPaused() {
		var fx listener.Effects
		k := copy(c.core.ReadBuffer(), c.inbox)
		c.inbox = c.inbox[k:]
		c.n.front.BytesReceived(c.n.now(), c.core, k, &fx)
		c.n.carry(fx)
	}
	if c.eof && !c.core.IsClosed() {
		var fx listener.Effects
		c.n.front.ConnectionEnded(c.n.now(), c.core, &fx)
		c.n.carry(fx)
	}
}

// carry carries out what the clients' side wants done.
func (n *node) carry(fx listener.Effects) {
	for _, e := range fx {
		switch e.Kind {
		case listener.HandleRequest:
			n.w.clients.taken(n.index, string(e.Request.ID), e.Request.Class)
			n.core.HandleRequest(e.Request)
			n.arm()
		case listener.ClientDisconnected:
			n.core.ClientDisconnected(e.Request)
			n.arm()
		case listener.WriteResponses:
			c := e.Conn.Socket.(*frontConn)
			n.later(n.lag(), c.write)
		case listener.ResumeReading:
			c := e.Conn.Socket.(*frontConn)
			var more listener.Effects
			n.front.Resume(n.now(), c.core, &more)
			n.carry(more)
			c.wake()
		case listener.HalfClose: // nothing is lost on a stream of this network: what comes after the end comes to nobody
			c := e.Conn.Socket.(*frontConn)
			c.end.close()
			n.later(n.lag(), func() {
				var fx listener.Effects
				n.front.ConnectionEnded(n.now(), c.core, &fx)
				n.carry(fx)
			})
		case listener.CloseConnection:
			c := e.Conn.Socket.(*frontConn)
			c.end.close()
			for i, o := range n.conns {
				if o == c {
					n.conns = append(n.conns[:i], n.conns[i+1:]...)
					break
				}
			}
		}
	}
}

// write moves answers to the client.
func (c *frontConn) write() {
	if c.writing || c.core.IsClosed() {
		return
	}
	out, size := c.n.front.NextToWrite(c.core, nil)
	if size == 0 {
		return
	}
	c.writing = true
	var all []byte
	for _, b := range out {
		all = append(all, b...)
	}
	c.n.later(c.n.lag(), func() {
		c.writing = false
		if c.core.IsClosed() {
			return
		}
		good := !c.end.dead
		c.end.write(all)
		var fx listener.Effects
		c.n.front.WriteCompleted(c.n.now(), c.core, good, &fx)
		c.n.carry(fx)
	})
}

// NodeFaultKind is what can happen to a node's process.
type NodeFaultKind int

// The kinds.
const (
	KillNode   NodeFaultKind = iota // at once; another process starts some time later
	TermNode                        // told to end; another one starts when it has
	ReloadNode                      // its discovery moves
	numberOfNodeFaults
)

var nodeFaultNames = [numberOfNodeFaults]string{"kill-node", "term-node", "reload-node"}

func (k NodeFaultKind) String() string { return nodeFaultNames[k] }

// NodeFault is one of them.
type NodeFault struct {
	Kind NodeFaultKind
	Node int
	At   Time
	Away time.Duration // until the next process
	More int           // nodes after this one, which it happens to as well
}

// Times of an ending process, as cmd/shelfproxy has them by default; its last moments are not the cores' affair.
const (
	grace  = 600 * time.Millisecond
	last   = 2100 * time.Millisecond
	unsent = 200 * time.Millisecond
)

func (n *node) suffer(f NodeFault) {
	if !n.up {
		return
	}
	n.w.note(f.Kind.String(), strconv.Itoa(n.index))
	switch f.Kind {
	case KillNode:
		n.w.report.Kills++
		n.die()
		n.w.after(f.Away, n.start)
	case TermNode:
		if !n.takes {
			return
		}
		n.w.report.Restarts++
		if n.agree != nil {
			n.agree.leave()
		}
		n.later(grace, func() {
			n.takes = false
			var fx listener.Effects
			n.front.Drain(n.now(), &fx)
			n.carry(fx)
			n.core.Drain(n.now().Add(last - grace))
			n.arm()
			n.ending(n.w.now+last-grace+unsent, f.Away)
		})
	case ReloadNode:
		n.core.FollowDiscovery(source{n, n.life})
		n.arm()
	}
}

// ending waits until nothing is owed, and ends the process.
func (n *node) ending(latest Time, away time.Duration) {
	if n.core.OpenRequests() == 0 && len(n.conns) == 0 || n.w.now >= latest {
		n.die()
		n.w.after(away, n.start)
		return
	}
	n.later(5*time.Millisecond, func() { n.ending(latest, away) })
}

// die ends the process: its connections are reset, and what it had booked does nothing.
func (n *node) die() {
	n.w.note("end", strconv.Itoa(n.index))
	n.up, n.takes = false, false
	n.life++
	for _, c := range n.conns {
		c.end.reset()
	}
	for _, p := range n.pools {
		for _, s := range p.socks {
			s.end.reset()
		}
	}
	n.core.Stop() // a kernel hangs up what a process leaves open
	n.conns, n.pools = nil, nil
}

// deafFor is longer than a node may be without a word of discovery: one that fell silent is found after 3 s, and asked anew
// within the longest wait after a call that failed.
const deafFor = 9 * time.Second

// leaks looks at what a process still holds when all is long over.
func (n *node) leaks() {
	if !n.up || !n.takes {
		return
	}
	if quiet := n.w.now - n.heard; quiet > deafFor && n.w.plan.toldWithin() > 0 {
		n.w.broken(Deaf, "node %d has heard nothing of discovery for %.1f s", n.index, quiet.Seconds())
	}
	flows, ids, _ := n.core.Retained()
	if flows > 0 || ids > 0 || n.core.OpenRequests() > 0 {
		n.w.broken(Leak, "node %d holds %d flows and %d ids, %d open", n.index, flows, ids, n.core.OpenRequests())
	}
	for _, p := range n.pools {
		if k := p.core.Queued() + p.core.InFlight(); k > 0 {
			n.w.broken(Leak, "node %d holds %d forwards for %s", n.index, k, p.id)
		}
	}
	if left, all := n.long.Available(), n.w.plan.Nodes.MemoryMB<<20/8; left != all {
		n.w.broken(Leak, "node %d has not given back %d bytes of long answers", n.index, all-left)
	}
}
