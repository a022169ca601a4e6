package tests

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"time"

	"shelfproxy/tests/harness"
)

var fleetNodes = flag.Int("fleet.nodes", 5, "processes of the tests of leases")

const leaseLength = time.Second

// Resources of leases, as the control socket names them.
const (
	healthChecker   = "prober"
	discoveryPoller = "caller"
)

// leaseOptions has every node take part in the leases of both resources.
var leaseOptions = fmt.Sprintf("[duties]\nhold = [\"prober\", \"caller\"]\nlease = %q\ndrift = 0.05", leaseLength)

const noNode = -1 // in place of a node

// leaseStatus is what a node says of a lease.
type leaseStatus struct {
	Resource     string `json:"duty"`
	Holder       int
	FencingToken uint64 `json:"token"`
	IsMine       bool   `json:"mine"`
}

// leaseFleet is a fleet whose nodes take part in leases.
type leaseFleet struct {
	*harness.Fleet
	t *testing.T
}

func newLeaseFleet(t *testing.T, nodes int, faultyPart float64) *leaseFleet {
	t.Helper()
	return &leaseFleet{Fleet: harness.NewFleet(t, harness.FleetOptions{Nodes: nodes, FaultyPart: faultyPart, OperatorFile: leaseOptions}), t: t}
}

// lease returns what a node says of the lease of a resource.
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

// holder returns the node, other than except, that says it holds a lease, and its fencing token. Two that say so at once fail
// the test: a holder may only say so while it may act, so the first is asked again after the second.
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

// Real nodes, a tenth of whose datagrams is dropped, duplicated and corrupted, take a lease over from a holder that stalls, one
// that is cut off, one that is killed and one that is told to end. Each successor has a greater fencing token, and a holder that
// wakes or comes back knows that it holds the lease no more.
func TestLeaseIsTakenOverFromALostHolder(t *testing.T) {
	fleet := newLeaseFleet(t, *fleetNodes, 0.1)
	holder, token := fleet.waitForHolder("a node holds the lease", healthChecker)
	for _, loss := range []struct {
		what       string
		isReplaced bool // another process, which may be the successor, comes in the holder's place
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
		t.Logf("%s: node %d holds the lease after %v, %.1f leases", loss.what, successor, time.Since(began).Round(time.Millisecond),
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

// The fourth node joins by SIGHUP of the others, one after the other; a change by two nodes at once is rejected.
func TestPeersChangeByReloadOneAtATime(t *testing.T) {
	f := newLeaseFleet(t, 5, 0)
	reload := func(node, peers int, logged string) {
		f.SetPeers(node, peers)
		f.Signal(node, syscall.SIGHUP)
		f.WaitForLog(node, logged)
	}
	_, token := f.waitForHolder("a node holds the lease", healthChecker)
	reload(0, 3, `"reload_waits"`) // two fewer
	for node := range 4 {
		reload(node, 4, `"peers_moved"`)
	}
	f.SetDown(4, true)
	f.Signal(4, syscall.SIGKILL)
	f.WaitFor("the four have a holder of their own", func() bool {
		holder, next := f.holder(healthChecker, 4)
		return holder != noNode && next > token && f.lease((holder+1)%4, healthChecker).Holder == holder
	})
}
