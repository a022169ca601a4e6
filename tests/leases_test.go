package tests

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"time"

	"shelfproxy/tests/harness"
)

var fleetNodes = flag.Int("fleet.nodes", 5, "number of nodes in TestLeaseIsTakenOverFromALostHolder")

const leaseLength = time.Second

// Resources that leases are for, as the control socket names them.
const (
	healthChecker   = "prober"
	discoveryPoller = "caller"
)

// leaseOptions is the part of the operator file that has every node compete for the leases of both resources.
var leaseOptions = fmt.Sprintf("[duties]\nhold = [\"prober\", \"caller\"]\nlease = %q\ndrift = 0.05", leaseLength)

const noNode = -1 // in place of a node's number: there is no such node

// leaseStatus is the state of a lease as one node reports it.
type leaseStatus struct {
	Resource     string `json:"duty"`
	Holder       int
	FencingToken uint64 `json:"token"`
	IsMine       bool   `json:"mine"`
}

// leaseFleet is a fleet whose nodes compete for leases.
type leaseFleet struct {
	*harness.Fleet
	t *testing.T
}

func newLeaseFleet(t *testing.T, nodes int, faultyFraction float64) *leaseFleet {
	t.Helper()
	return &leaseFleet{Fleet: harness.NewFleet(t, harness.FleetOptions{Nodes: nodes, FaultyFraction: faultyFraction, OperatorFile: leaseOptions}), t: t}
}

// lease returns the state of a resource's lease as a node reports it; its holder is noNode if the node does not answer.
func (f *leaseFleet) lease(node int, resource string) leaseStatus {
	var leases []leaseStatus
	if f.QueryJSON(node, "duties", &leases) {
		for _, lease := range leases {
			if lease.Resource == resource {
				return lease
			}
		}
	}
	return leaseStatus{Holder: noNode}
}

// holder returns the node, other than except, that reports that it holds a lease, and its fencing token. Two holders at once fail
// the test. A node may report that it holds a lease only while it may act on it. So the first node is asked again after the
// second, to exclude that the lease merely changed hands in between.
func (f *leaseFleet) holder(resource string, except int) (holder int, token uint64) {
	f.t.Helper()
	holder = noNode
	for node := range f.Len() {
		if node == except {
			continue
		}
		lease := f.lease(node, resource)
		if !lease.IsMine {
			continue
		}
		if holder != noNode && f.lease(holder, resource).IsMine && f.lease(node, resource).IsMine && f.lease(holder, resource).IsMine {
			f.t.Fatalf("nodes %d and %d both hold the lease of %s", holder, node, resource)
		}
		holder, token = node, lease.FencingToken
	}
	return holder, token
}

// waitForHolder waits until a node holds a lease.
func (f *leaseFleet) waitForHolder(what, resource string) (holder int, token uint64) {
	f.t.Helper()
	f.WaitFor(what, func() bool {
		holder, token = f.holder(resource, noNode)
		return holder != noNode
	})
	return holder, token
}

// Guards against a lease that stays with a lost holder, or that a former holder still believes to hold. A tenth of the datagrams
// is dropped, a tenth duplicated and a tenth corrupted. In turn, the holder is paused (SIGSTOP), isolated from the network,
// killed and told to terminate. Each time another process takes the lease over with a greater fencing token, and a holder that
// returns knows that it has lost the lease.
func TestLeaseIsTakenOverFromALostHolder(t *testing.T) {
	fleet := newLeaseFleet(t, *fleetNodes, 0.1)
	holder, token := fleet.waitForHolder("a node holds the lease", healthChecker)
	for _, loss := range []struct {
		what       string
		isReplaced bool // the node is started again; its new process may become the successor
		begin, end func(node int)
	}{
		{"stalled", false, func(node int) { fleet.Signal(node, syscall.SIGSTOP) }, func(node int) { fleet.Signal(node, syscall.SIGCONT) }},
		{"was cut off", false, func(node int) { fleet.Proxy.Isolate(node, true) }, func(node int) { fleet.Proxy.Isolate(node, false) }},
		{"was killed", true, func(node int) { fleet.Signal(node, syscall.SIGKILL) }, func(int) {}},
		{"ended", true, func(node int) { fleet.Signal(node, syscall.SIGTERM) }, func(int) {}},
	} {
		began, except := time.Now(), holder
		if loss.isReplaced {
			except = noNode
		}
		loss.begin(holder)
		successor, greater := noNode, uint64(0)
		fleet.WaitFor("a successor of a holder that "+loss.what, func() bool {
			successor, greater = fleet.holder(healthChecker, except)
			return successor != noNode && greater > token
		})
		t.Logf("%s: node %d holds the lease after %v, %.1f lease lengths", loss.what, successor, time.Since(began).Round(time.Millisecond),
			time.Since(began).Seconds()/leaseLength.Seconds())
		loss.end(holder)
		fleet.WaitFor(fmt.Sprintf("node %d, which %s, knows of its successor", holder, loss.what), func() bool {
			lease := fleet.lease(holder, healthChecker)
			return successor == holder || !lease.IsMine && lease.FencingToken >= greater || lease.IsMine && lease.FencingToken > greater
		})
		holder, token = fleet.waitForHolder("a node holds the lease after one that "+loss.what, healthChecker)
	}
}

func TestNoNodeHoldsALeaseWithoutAMajority(t *testing.T) {
	f := newLeaseFleet(t, 4, 0)
	f.waitForHolder("a node holds the lease", discoveryPoller)
	f.Proxy.Split(2)
	f.WaitFor("no node of either half knows a holder", func() bool {
		for node := range f.Len() {
			if f.lease(node, discoveryPoller).Holder != noNode {
				return false
			}
		}
		return true
	})
	f.Proxy.Split(0)
	f.waitForHolder("a node holds the lease again", discoveryPoller)
}

// The set of peers changes by SIGHUP to one node after another. A change by two peers at once is rejected. A change from five to
// four peers is applied, and the four agree on a holder without the fifth.
func TestPeersChangeByReloadOneAtATime(t *testing.T) {
	f := newLeaseFleet(t, 5, 0)
	reload := func(node, peers int, logged string) {
		f.SetPeers(node, peers)
		f.Signal(node, syscall.SIGHUP)
		f.WaitForLog(node, logged)
	}
	_, token := f.waitForHolder("a node holds the lease", healthChecker)
	reload(0, 3, `"reload_waits"`) // two peers fewer at once
	for node := range 4 {
		reload(node, 4, `"peers_moved"`)
	}
	f.SetDown(4, true)
	f.Signal(4, syscall.SIGKILL)
	f.WaitFor("one of the four remaining nodes holds the lease", func() bool {
		holder, next := f.holder(healthChecker, 4)
		return holder != noNode && next > token && f.lease((holder+1)%4, healthChecker).Holder == holder
	})
}
