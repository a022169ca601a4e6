package simulation

import (
	"strconv"
	"time"

	"shelfproxy/internal/listener"
)

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
	shutdownGrace      = 600 * time.Millisecond
	shutdownLastAnswer = 2100 * time.Millisecond
	shutdownFlush      = 200 * time.Millisecond
)

func (n *node) inject(f NodeFault) {
	if !n.isUp {
		return
	}
	n.world.logEvent(f.Kind.String(), strconv.Itoa(n.index))
	switch f.Kind {
	case KillNode:
		n.world.report.Kills++
		n.kill()
		n.world.after(f.Away, n.start)
	case TermNode:
		if !n.isAccepting {
			return
		}
		n.world.report.Restarts++
		if n.agreements != nil {
			n.agreements.shutDown()
		}
		n.schedule(shutdownGrace, func() {
			n.isAccepting = false
			var fx listener.Effects
			n.listener.Drain(n.now(), &fx)
			n.execute(fx)
			n.core.Drain(n.now().Add(shutdownLastAnswer - shutdownGrace))
			n.armTimer()
			n.endWhenDrained(n.world.now+shutdownLastAnswer-shutdownGrace+shutdownFlush, f.Away)
		})
	case ReloadNode:
		n.core.FollowDiscovery(discoverySource{n, n.incarnation})
		n.armTimer()
	}
}

// endWhenDrained waits until nothing is owed, and ends the process.
func (n *node) endWhenDrained(latest Time, away time.Duration) {
	if n.core.OpenRequests() == 0 && len(n.conns) == 0 || n.world.now >= latest {
		n.kill()
		n.world.after(away, n.start)
		return
	}
	n.schedule(5*time.Millisecond, func() { n.endWhenDrained(latest, away) })
}

// kill ends the process: its connections are reset, and what it had booked does nothing.
func (n *node) kill() {
	n.world.logEvent("end", strconv.Itoa(n.index))
	n.isUp, n.isAccepting = false, false
	n.incarnation++
	for _, c := range n.conns {
		c.stream.reset()
	}
	for _, p := range n.pools {
		for _, s := range p.sockets {
			s.stream.reset()
		}
	}
	n.core.Stop() // a kernel hangs up what a process leaves open
	n.conns, n.pools = nil, nil
}

// maxDiscoverySilence is longer than a node may be without a word of discovery: one that fell silent is found after 3 s, and asked anew
// within the longest wait after a call that failed.
const maxDiscoverySilence = 9 * time.Second

// checkLeaks looks at what a process still holds when all is long over.
func (n *node) checkLeaks() {
	if !n.isUp || !n.isAccepting {
		return
	}
	if quiet := n.world.now - n.lastDiscoveryData; quiet > maxDiscoverySilence && n.world.plan.notifyWithin() > 0 {
		n.world.violation(InvariantWatchRenewed, "node %d has heard nothing of discovery for %.1f s", n.index, quiet.Seconds())
	}
	flows, ids, _ := n.core.Retained()
	if flows > 0 || ids > 0 || n.core.OpenRequests() > 0 {
		n.world.violation(InvariantNoLeak, "node %d holds %d flows and %d ids, %d open", n.index, flows, ids, n.core.OpenRequests())
	}
	for _, p := range n.pools {
		if k := p.core.Queued() + p.core.InFlight(); k > 0 {
			n.world.violation(InvariantNoLeak, "node %d holds %d forwards for %s", n.index, k, p.id)
		}
	}
	if left, all := n.responseMemory.Available(), n.world.plan.Nodes.MemoryMB<<20/8; left != all {
		n.world.violation(InvariantNoLeak, "node %d has not given back %d bytes of long answers", n.index, all-left)
	}
}
