package simulation

import (
	"strconv"
	"time"

	"shelfproxy/internal/listener"
)

// NodeFaultKind is a kind of fault of a node's process.
type NodeFaultKind int

// The kinds of faults.
const (
	KillNode   NodeFaultKind = iota // it is killed; another process starts some time later
	TermNode                        // it shuts down gracefully; another process starts some time after its end
	ReloadNode                      // its configuration is reloaded: discovery moves
	numberOfNodeFaults
)

var nodeFaultNames = [numberOfNodeFaults]string{"kill-node", "term-node", "reload-node"}

// String is the fault's name in event logs and reports.
func (k NodeFaultKind) String() string { return nodeFaultNames[k] }

// NodeFault is one fault of a plan.
type NodeFault struct {
	Kind         NodeFaultKind
	Node         int
	At           Time
	RestartAfter time.Duration // until the next process
	More         int           // how many of the following nodes it happens to as well
}

// Times of a graceful shutdown. They are shorter than the program's defaults, so that runs stay short.
const (
	shutdownGrace      = 600 * time.Millisecond
	shutdownLastAnswer = 2100 * time.Millisecond
	shutdownFlush      = 200 * time.Millisecond
)

func (n *node) inject(fault NodeFault) {
	if !n.isUp {
		return
	}
	n.world.logEvent(fault.Kind.String(), strconv.Itoa(n.index))
	switch fault.Kind {
	case KillNode:
		n.world.report.Kills++
		n.kill()
		n.world.after(fault.RestartAfter, n.start)
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
			var effects listener.Effects
			n.listener.Drain(n.now(), &effects)
			n.execute(effects)
			n.core.Drain(n.now().Add(shutdownLastAnswer - shutdownGrace))
			n.armTimer()
			n.endWhenDrained(n.world.now+shutdownLastAnswer-shutdownGrace+shutdownFlush, fault.RestartAfter)
		})
	case ReloadNode:
		n.core.FollowDiscovery(discoverySource{n, n.incarnation})
		n.armTimer()
	}
}

// endWhenDrained waits until every request is answered and every connection closed, and ends the process.
func (n *node) endWhenDrained(latest Time, away time.Duration) {
	if n.core.OpenRequests() == 0 && len(n.conns) == 0 || n.world.now >= latest {
		n.kill()
		n.world.after(away, n.start)
		return
	}
	n.schedule(5*time.Millisecond, func() { n.endWhenDrained(latest, away) })
}

// kill ends the process: its connections are reset, and what it had scheduled does nothing.
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
	n.core.Stop() // the kernel closes the watch's connection
	n.conns, n.pools = nil, nil
}

// maxDiscoverySilence is longer than a node may be without a byte from discovery: a silent watch is detected after 3 s, and called anew
// within the longest backoff.
const maxDiscoverySilence = 9 * time.Second

// checkLeaks checks what a process retains long after the last request.
func (n *node) checkLeaks() {
	if !n.isUp || !n.isAccepting {
		return
	}
	if quiet := n.world.now - n.lastDiscoveryData; quiet > maxDiscoverySilence && n.world.plan.notifyWithin() > 0 {
		n.world.violation(InvariantWatchRenewed, "node %d has heard nothing of discovery for %.1f s", n.index, quiet.Seconds())
	}
	requests, ids, _ := n.core.Retained()
	if requests > 0 || ids > 0 || n.core.OpenRequests() > 0 {
		n.world.violation(InvariantNoLeak, "node %d retains %d requests and %d ids, %d open", n.index, requests, ids, n.core.OpenRequests())
	}
	for _, p := range n.pools {
		if attempts := p.core.Queued() + p.core.InFlight(); attempts > 0 {
			n.world.violation(InvariantNoLeak, "node %d retains %d attempts for %s", n.index, attempts, p.id)
		}
	}
	if available, all := n.responseMemory.Available(), n.world.plan.Nodes.MemoryMB<<20/responseMemoryPart; available != all {
		n.world.violation(InvariantNoLeak, "node %d has not released %d bytes of response memory", n.index, all-available)
	}
}
