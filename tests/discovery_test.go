package tests

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"shelfproxy/tests/harness"
)

// notifyWithin bounds the time from when discovery can be reached until a node knows the current list.
const notifyWithin = 6 * time.Second

// Guards against a node that misses a change of the list, or learns of it late, after an outage of discovery. The change is
// published during the outage, and failed calls have made the backoff between calls longer. The test runs once for each fault.
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
				t.Errorf("the change was known %v after discovery could be reached, want at most %v", took, notifyWithin)
			}
		})
	}
}

// indentedDrain returns the version of a list after the initial one as JSON on several lines; in it the server s0 drains.
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

// Guards against idle clients that use the descriptors reserved for discovery and servers. The watch breaks while clients hold
// every descriptor that they may have. The node must still be able to connect to discovery, a cache server and the origin.
func TestIdleClientsDoNotTakeDescriptorsOfDiscoveryAndServers(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t, harness.NewCacheServer(t, harness.HitOnly("there")))
	node.Config.Limits = harness.Limits{Cores: 1, MemoryMB: 64, Sockets: 128}
	node.Start()
	node.Discovery.NextWatch()
	for range 200 { // more than there are descriptors; no client disconnects
		node.Dial()
	}
	broken := time.Now()
	node.Discovery.BreakWatch()
	node.Discovery.NextWatch()
	if took := time.Since(broken); took > notifyWithin {
		t.Errorf("a watch was opened %v after the last one broke, while clients held all descriptors; want at most %v: %s", took, notifyWithin, node.Log)
	}
	client := node.Dial()
	client.Get("there", "id1").Want("value-id1")
	client.Get("absent", "id2").Want("from-origin-id2")
}
