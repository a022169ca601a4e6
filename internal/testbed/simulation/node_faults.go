package simulation

import (
	"strconv"
	"time"

	"shelfproxy/internal/listener"
)

// NodeFaultKind is a kind of fault of a node's process.
type NodeFaultKind int

// The kinds of faults of a node's process.
const (
	KillNode   NodeFaultKind = iota // the process is killed; another one starts some time later
	TermNode                        // the process shuts down gracefully; another one starts some time after its end
	ReloadNode                      // the process reloads its configuration, in which discovery has a new address
	numberOfNodeFaults
)

var nodeFaultNames = [numberOfNodeFaults]string{"kill-node", "term-node", "reload-node"}

// String is the fault's name in event logs and reports.
func (k NodeFaultKind) String() string { return nodeFaultNames[k] }

// NodeFault is one fault of a node's process in a plan.
type NodeFault struct {
	Kind         NodeFaultKind
	Node         int
	At           Time
	RestartAfter time.Duration // time from the end of the process until the node's next process starts
	More         int           // number of nodes after Node, by index, that have the same fault at the same time
	Repeats      int           // number of times that the fault happens again
	Every        time.Duration // time from one of these times to the next
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

// endWhenDrained ends the process once every request is answered and every connection is closed. latest is the time at which it
// ends the process in any case. The node's next process starts restartAfter later.
func (n *node) endWhenDrained(latest Time, restartAfter time.Duration) {
	if n.core.OpenRequests() == 0 && len(n.conns) == 0 || n.world.now >= latest {
		n.kill()
		n.world.after(restartAfter, n.start)
		return
	}
	n.schedule(5*time.Millisecond, func() { n.endWhenDrained(latest, restartAfter) })
}

// kill ends the process: its connections are reset, and the work that it had scheduled is dropped.
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
	n.core.Stop() // closes the connection of the watch, as the kernel does when a process ends
	n.conns, n.pools = nil, nil
}

// maxDiscoverySilence is more than the longest time that a node may go without a byte from discovery. The node detects a silent
// watch after 3 s, and then makes a new call within the longest backoff.
const maxDiscoverySilence = 9 * time.Second

// checkLeaks checks, long after the last request, that a process no longer retains requests, request ids, attempts, or memory of
// requests or responses. It also checks that the process has received data from discovery within maxDiscoverySilence.
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
	if requests, responses := n.requestMemory.Used(), n.responseMemory.Used(); requests != 0 || responses != 0 {
		n.world.violation(InvariantNoLeak, "node %d has not released %d bytes of request memory and %d of response memory", n.index, requests, responses)
	}
}
