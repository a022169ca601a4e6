package tests

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"

	"shelfproxy/tests/harness"
)

// memberView is what a node says of another.
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

// view returns what a node says of all nodes; nothing where it does not answer.
func (f memberFleet) view(node int) (views []memberView) {
	if !f.QueryJSON(node, "members", &views) {
		return nil
	}
	return views
}

// waitForState waits until all nodes, other than except, say that a node is in one of some states. It returns the incarnation
// that they know.
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

// waitForAll waits until all nodes know that all are there.
func (f memberFleet) waitForAll(when string) {
	for node := range f.Len() {
		f.waitForState(fmt.Sprintf("%s: all know that node %d is there", when, node), node, noNode, alive, suspect)
	}
}

// waitForCount waits until a node shares the work among a number of nodes; 0 goes by the configuration.
func (f memberFleet) waitForCount(node, count int) {
	f.WaitForLog(node, fmt.Sprintf(`"event":"member_count","nodes":%d`, count))
}

// Real nodes, a tenth of whose datagrams is dropped, duplicated and corrupted, know which of them are there: one is killed and
// comes back, one is stopped and goes on, one ends in order, the fleet is partitioned and heals.
func TestMembershipFollowsKillsPausesAndPartitions(t *testing.T) {
	fleet := memberFleet{harness.NewFleet(t, harness.FleetOptions{Nodes: 5, FaultyPart: 0.1,
		OperatorFile: "[members]\non = true\nperiod = \"100ms\"\nwait = \"50ms\"\nsuspicion = 3"})}
	fleet.waitForAll("at the start")
	fleet.waitForCount(0, 5)
	if explained := fleet.Ctl(0, "explain", "some-key"); !strings.Contains(explained, `"key":"some-key"`) ||
		!strings.Contains(explained, `"server":"s0","zone":"a","warmth":1,"keeps":1`) {
		t.Errorf("where a key goes: %s", explained)
	}
	first := fleet.waitForState("node 2 is there", 2, noNode, alive, suspect)

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
	fleet.waitForAll("after one goes on")

	fleet.SetDown(3, true)
	fleet.Signal(3, syscall.SIGTERM)
	fleet.waitForState("all know that node 3 ended", 3, 3, left)
	fleet.SetDown(3, false)
	fleet.waitForAll("after one came back")

	fleet.Proxy.Split(3)
	fleet.WaitFor("each part takes the others for dead", func() bool {
		larger, lesser := fleet.view(0), fleet.view(4)
		return len(larger) == 5 && len(lesser) == 5 && larger[3].State == dead && larger[4].State == dead &&
			lesser[0].State == dead && lesser[1].State == dead && lesser[2].State == dead
	})
	fleet.waitForCount(4, 0) // the lesser part goes by the configuration
	fleet.Proxy.Split(0)
	fleet.waitForAll("after the partition healed")
}
