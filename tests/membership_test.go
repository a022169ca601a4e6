package tests

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"

	"shelfproxy/tests/harness"
)

// memberView is the state of one node as another node reports it.
type memberView struct {
	Node        int
	State       string
	Incarnation uint64 `json:"started_ms"`
}

// States of members, as the control socket names them.
const (
	alive   = "alive"
	suspect = "suspect"
	dead    = "dead"
	left    = "left"
)

// memberFleet is a fleet whose nodes follow each other's membership.
type memberFleet struct{ *harness.Fleet }

// view returns the states of all nodes as one node reports them; nil if that node does not answer.
func (f memberFleet) view(node int) (views []memberView) {
	if !f.QueryJSON(node, "members", &views) {
		return nil
	}
	return views
}

// waitForState waits until all nodes, other than except, report a node in one of the given states. It returns the incarnation of
// that node as the last of them reports it.
func (f memberFleet) waitForState(what string, node, except int, states ...string) (incarnation uint64) {
	f.WaitFor(what, func() bool {
		for observer := range f.Len() {
			if observer == except {
				continue
			}
			views := f.view(observer)
			if len(views) != f.Len() || !slices.Contains(states, views[node].State) {
				return false
			}
			incarnation = views[node].Incarnation
		}
		return true
	})
	return incarnation
}

// waitForAll waits until every node reports every node as alive or suspect.
func (f memberFleet) waitForAll(when string) {
	for node := range f.Len() {
		f.waitForState(fmt.Sprintf("%s: all nodes know that node %d is running", when, node), node, noNode, alive, suspect)
	}
}

// waitForCount waits until a node logs how many nodes share the work; 0 means that it uses the configured number.
func (f memberFleet) waitForCount(node, count int) {
	f.WaitForLog(node, fmt.Sprintf(`"event":"member_count","nodes":%d`, count))
}

// Guards against nodes with a wrong view of the fleet's members. A tenth of the datagrams is dropped, a tenth duplicated and a
// tenth corrupted. One node is killed and started again, one is stopped and continued, one shuts down and is started again. Last,
// the fleet is partitioned and the partition heals.
func TestMembershipFollowsKillsPausesAndPartitions(t *testing.T) {
	fleet := memberFleet{harness.NewFleet(t, harness.FleetOptions{Nodes: 5, FaultyFraction: 0.1,
		OperatorFile: "[members]\non = true\nperiod = \"100ms\"\nwait = \"50ms\"\nsuspicion = 3"})}
	fleet.waitForAll("at the start")
	fleet.waitForCount(0, 5)
	if explained := fleet.Ctl(0, "explain", "some-key"); !strings.Contains(explained, `"key":"some-key"`) ||
		!strings.Contains(explained, `"server":"s0","zone":"a","warmth":1,"keeps":1`) {
		t.Errorf("ctl explain does not give the servers of the key: %s", explained)
	}
	first := fleet.waitForState("node 2 is running", 2, noNode, alive, suspect)

	fleet.SetDown(2, true)
	fleet.Signal(2, syscall.SIGKILL)
	fleet.waitForState("all know that node 2 was killed", 2, 2, dead)
	fleet.waitForCount(0, 4)
	fleet.SetDown(2, false)
	if later := fleet.waitForState("node 2 is back", 2, noNode, alive, suspect); later <= first {
		t.Errorf("node 2 is back with the incarnation %d, after %d", later, first)
	}

	fleet.Signal(1, syscall.SIGSTOP)
	fleet.waitForState("all know that node 1 was stopped", 1, 1, dead)
	fleet.Signal(1, syscall.SIGCONT)
	fleet.waitForAll("after node 1 continued")

	fleet.SetDown(3, true)
	fleet.Signal(3, syscall.SIGTERM)
	fleet.waitForState("all know that node 3 ended", 3, 3, left)
	fleet.SetDown(3, false)
	fleet.waitForAll("after node 3 came back")

	fleet.Proxy.Split(3)
	fleet.WaitFor("each side of the partition reports the other as dead", func() bool {
		larger, lesser := fleet.view(0), fleet.view(4)
		return len(larger) == 5 && len(lesser) == 5 && larger[3].State == dead && larger[4].State == dead &&
			lesser[0].State == dead && lesser[1].State == dead && lesser[2].State == dead
	})
	fleet.waitForCount(4, 0) // the minority uses the configured number of nodes
	fleet.Proxy.Split(0)
	fleet.waitForAll("after the partition healed")
}
