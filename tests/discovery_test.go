package tests

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"shelfproxy/tests/harness"
)

// notifyWithin is when a node has to know what discovery has, once discovery can be reached.
const notifyWithin = 6 * time.Second

// Discovery fails in each of its ways, for some calls in a row. Once it can be reached, what it has is known in time, also if that
// came in the gap, and though the backoff between calls has grown.
func TestListIsKnownSoonAfterDiscoveryRecovers(t *testing.T) {
	t.Parallel()
	for fault, failedCalls := range map[harness.DiscoveryFault]int{harness.Unresponsive: 0, harness.Reset: 5, harness.ResetInMessage: 5,
		harness.ServiceError: 5, harness.Hang: 2, harness.ConnectionRefused: 0} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			draining, other := harness.NewCacheServer(t, harness.Hit), harness.NewCacheServer(t, harness.Hit)
			node := harness.NewNode(t, draining, other)
			discovery := harness.NewFaultyDiscovery(t, harness.EncodeJSON(t, node.Config.Known))
			node.Config.Discovery = discovery.Address
			node.ChooseAddress()
			node.Launch()
			node.WaitFor("the node watches discovery", func() bool { _, watches := discovery.Calls(); return watches == 1 })
			node.WaitListening()
			client := node.Dial()
			for i := 0; draining.Connections() == 0; i++ {
				client.Get(fmt.Sprint("k", i), fmt.Sprint("id", i)).Want("value-")
			}
			update := indentedDrain(t, *node.Config.Known, draining.Address)
			discovery.SetFault(fault, update)
			recovered := time.Now()
			if fault != harness.Unresponsive {
				if fault == harness.ConnectionRefused {
					node.WaitForLog("connection refused")
				}
				node.WaitFor("calls fail", func() bool { calls, _ := discovery.Calls(); return calls >= failedCalls })
				recovered = time.Now()
				discovery.SetFault(harness.NoFault, update)
			}
			node.WaitFor("the drain is known", func() bool { return draining.Connections() == 0 })
			if took := time.Since(recovered); took > notifyWithin {
				t.Errorf("known %v after discovery could be reached, want %v at most", took, notifyWithin)
			}
		})
	}
}

// indentedDrain returns the next version of a list, in which the server s0 drains, as JSON on several lines.
func indentedDrain(t *testing.T, known harness.List, address string) string {
	t.Helper()
	instances := slices.Clone(known.Instances)
	for i, instance := range instances {
		if instance.ID == "s0" {
			instances[i] = drainingServer(address)
		}
	}
	text := harness.EncodeJSON(t, harness.NewList(43, true, instances...))
	return strings.NewReplacer(`,"`, ",\n  \"", `}]`, "}\n]").Replace(text)
}

// Idle clients take all descriptors that are for clients. The watch breaks just then: a new one, a cache server and the origin
// still have theirs.
func TestIdleClientsDoNotTakeDescriptorsOfDiscoveryAndServers(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t, harness.NewCacheServer(t, harness.HitOnly("there")))
	node.Config.Limits = harness.Limits{Cores: 1, MemoryMB: 64, Sockets: 128}
	node.Start()
	node.Discovery.NextWatch()
	for range 200 { // more than there are descriptors, and all stay
		node.Dial()
	}
	broken := time.Now()
	node.Discovery.BreakWatch()
	node.Discovery.NextWatch()
	if took := time.Since(broken); took > notifyWithin {
		t.Errorf("a watch is opened %v after the last one broke, while clients fill the descriptors; want %v at most: %s", took, notifyWithin, node.Log)
	}
	client := node.Dial()
	client.Get("there", "id1").Want("value-id1")
	client.Get("absent", "id2").Want("from-origin-id2")
}
