package tests

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"shelfproxy/tests/harness"
)

// Names of the releases that the tests roll between.
const (
	releaseBefore = "v1"
	releaseAfter  = "v2"
)

// Guards against more nodes out of service at once than the budget allows. The fleet rolls to another release while a tenth of
// its datagrams is dropped, a tenth duplicated and a tenth corrupted. Meanwhile one node is stopped and continued, and the fleet
// is partitioned into halves, neither of which may let a node drain.
func TestRolloutStaysWithinItsBudget(t *testing.T) {
	const nodes, budget = 6, 2
	fleet := harness.NewFleet(t, harness.FleetOptions{Nodes: nodes, Budget: budget, FaultyFraction: 0.1})
	fleet.WaitReady(releaseBefore)
	fleet.SetRelease(releaseAfter)
	if status := fleet.Ctl(3, "roll", releaseAfter); !strings.Contains(status, `"state":"fit"`) {
		t.Fatalf("order the release: %s", status)
	}
	stalled := (fleet.WaitNodeOut() + 1) % nodes
	fleet.Signal(stalled, syscall.SIGSTOP)
	fleet.Proxy.Split(nodes / 2)
	fleet.WaitFor("the nodes of each half report the other half as silent", func() bool {
		alone := 0
		for node := range nodes {
			if node != stalled && strings.Count(fleet.Status(node), `"silent"`) >= nodes/2 {
				alone++
			}
		}
		return alone >= nodes-2
	})
	fleet.Proxy.Split(0)
	fleet.Signal(stalled, syscall.SIGCONT)
	fleet.WaitFor("all nodes are ready on the next release", func() bool {
		if strings.Contains(fleet.Status(0), `"halted"`) { // the partition may have delayed a node for longer than a rollout allows
			fleet.Ctl(0, "resume")
		}
		return fleet.ReadyNodes(releaseAfter) == nodes
	})
	if most := fleet.PeakOut(); most > budget || most == 0 {
		t.Errorf("%d nodes were out of service at once, want 1 to %d", most, budget)
	}
}

// Guards against a rollout of a broken release that takes down one node after another. The first node that drains does not come
// back. The rollout halts, no other node drains, the status names the node that is missing, and the operators can roll back.
func TestRolloutHaltsAndIsRolledBack(t *testing.T) {
	const nodes = 4
	fleet := harness.NewFleet(t, harness.FleetOptions{Nodes: nodes, Budget: 1})
	fleet.WaitReady(releaseBefore)
	fleet.SetRelease(releaseAfter)
	for node := range nodes { // a node that drains for the next release stays down, as if the release did not start
		fleet.SetDown(node, true)
	}
	fleet.Ctl(0, "roll", releaseAfter)
	missing := fleet.WaitNodeOut()
	observer := (missing + 1) % nodes
	fleet.WaitFor("the rollout halts", func() bool { return strings.Contains(fleet.Status(observer), `"halted":"not_returned"`) })
	if status := fleet.Ctl(observer, "status"); !strings.Contains(status, fmt.Sprintf(`"halted_by":%d`, missing)) {
		t.Errorf("node %d did not return, but the status is %s", missing, status)
	}
	fleet.SetRelease(releaseBefore)
	for node := range nodes {
		fleet.SetDown(node, false)
	}
	fleet.Ctl(observer, "roll", releaseBefore)
	fleet.WaitReady(releaseBefore)
	if most := fleet.PeakOut(); most != 1 {
		t.Errorf("%d nodes were out of service at once, want 1", most)
	}
}

// SIGHUP changes the rollout budget of a running node. An invalid budget changes nothing.
func TestBudgetChangesByReload(t *testing.T) {
	fleet := harness.NewFleet(t, harness.FleetOptions{Nodes: 2, Budget: 1})
	fleet.WaitReady(releaseBefore)
	fleet.SetBudget(0, 99)
	fleet.Signal(0, syscall.SIGHUP)
	fleet.WaitForLog(0, `"reload_refused"`)
	fleet.SetBudget(0, 2)
	fleet.Signal(0, syscall.SIGHUP)
	fleet.WaitFor("the budget changes", func() bool { return strings.Contains(fleet.Status(0), `"budget":2`) })
}
