package tests

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"shelfproxy/tests/harness"
)

// waitForAnswer repeats a read until its answer starts with prefix.
func waitForAnswer(node *harness.Node, client *harness.Client, what, prefix string) {
	attempt := 0
	node.WaitFor(what, func() bool {
		attempt++
		return strings.HasPrefix(client.Get("k", fmt.Sprint("id", attempt)).Answer(), prefix)
	})
}

// Guards against an invalid list that replaces a good one. A list that is empty, cut short, malformed or older than the current
// one is counted and logged with its cause. The node keeps the current list, polls again and applies the next valid list.
func TestInvalidListChangesNothing(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ text, counter, cause string }{
		"empty":     {`{"generation":42,"reset":true,"instances":[]}`, "discovery_lists_refused", "without a server"},
		"stale":     {`{"generation":7,"reset":true,"instances":[{"instanceId":"x","hostPort":"127.0.0.1:1","lifecycle":"up"}]}`, "discovery_lists_refused", "older than the one held"},
		"cut short": {`{"generation":42,"reset":true,"instan`, "discovery_watches_garbage", "no list"},
		"malformed": {`{"generation":42,"instances":[{"instanceId":"s0","lifecycle":"upside"}]}`, "discovery_watches_garbage", "unknown lifecycle"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := harness.NewCacheServer(t, harness.Hit)
			node := harness.NewNode(t, server).Start()
			client := node.Dial()
			node.Discovery.PublishText(test.text)
			node.WaitForCounter(test.counter, 1)
			node.WaitForLog(test.cause)
			for i := range 5 {
				client.Get(fmt.Sprint("k", i), fmt.Sprint("id", i)).Want("value-")
			}
			node.Discovery.NextWatch() // the watch of the start
			if query := node.Discovery.NextWatch(); !strings.Contains(query, "after=41") {
				t.Errorf("polled again with %q, want the current version, 41", query)
			}
			drain(node, 43, server.Address)
			node.WaitForCounter("discovery_lists", 3) // the first list of each of the two watches, and the change with the drain
			client.Get("k", "last").Want("from-origin-")
		})
	}
}

// A node starts without a list, or with a list of servers that no longer exist. It answers requests with an error at once, and
// serves them as soon as discovery has sent the first list.
func TestNodeStartsWithoutAUsableList(t *testing.T) {
	t.Parallel()
	outOfDate := harness.NewList(1, true, harness.NewInstance("gone", "127.0.0.1:1", harness.KindCacheServer, harness.Up))
	for name, known := range map[string]*harness.List{"absent": nil, "out of date": &outOfDate} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := harness.NewCacheServer(t, harness.Hit)
			node := harness.NewNode(t, server)
			node.Config.Known = known
			client := node.Start().Dial()
			client.Get("k", "early").Want("-")
			node.Discovery.Publish(harness.NewList(42, true, harness.NewInstance("s0", server.Address, harness.KindCacheServer, harness.Up)))
			waitForAnswer(node, client, "reads are served", "value-")
		})
	}
}

// A node whose listening address is still taken by its predecessor waits until the address is free. A node that cannot open the
// socket for gossip with its peers serves without gossip.
func TestNodeWaitsForATakenAddress(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t, harness.NewCacheServer(t, harness.Hit))
	taken, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("occupy the address of the gossip socket: %v", err)
	}
	t.Cleanup(func() { _ = taken.Close() })
	peerAddress := taken.LocalAddr().String()
	node.Config.PeerListen, node.Config.PeersAll, node.Config.Peers = peerAddress, "127.0.0.1:9", []string{peerAddress}
	node.Config.Settings.Limits.MayGossip = true
	occupied := node.OccupyAddress()
	node.Launch()
	node.WaitForLog("peers_unavailable")
	node.WaitForLog(`"address":"` + node.Config.Listen)
	if err := occupied.Close(); err != nil {
		t.Fatalf("release the node's address: %v", err)
	}
	node.WaitListening()
	node.Discovery.NextWatch()
	node.Dial().Get("k", "id").Want("value-")
}

// A reload names the address of a discovery service that does not run yet. The node serves with the list that it has, and polls
// the new address until a watch is opened.
func TestReloadToADiscoveryThatComesLater(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t, harness.NewCacheServer(t, harness.Hit)).Start()
	next := harness.NewDiscovery(t)
	reserved := harness.Listen(t, harness.LoopbackAddress())
	node.Config.Discovery = reserved.Addr().String()
	if err := reserved.Close(); err != nil {
		t.Fatalf("release the address of discovery: %v", err)
	}
	node.Reload()
	node.WaitForLog(`"event":"watch_ended"`)
	client := node.Dial()
	client.Get("k", "meanwhile").Want("value-")
	server := &http.Server{Handler: next}
	listener := harness.Listen(t, node.Config.Discovery)
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	node.WaitFor("the new discovery is watched", func() bool { return next.UnseenWatches() == 1 && next.OpenWatches() == 1 })
	client.Get("k", "after").Want("value-")
}

// In the mode in which an agent on the node's machine pushes lists, the policy starts no polls. The node still has to watch the
// agent from its start, apply the changes that the agent sends, and open a new watch after the old one broke.
func TestPushedListsAreFollowed(t *testing.T) {
	t.Parallel()
	server := harness.NewCacheServer(t, harness.Hit)
	node := harness.NewNode(t, server)
	node.Config.Settings.RegistryMode = "automatic"
	client := node.Start().Dial()
	client.Get("k", "before").Want("value-")
	if query := node.Discovery.NextWatch(); !strings.Contains(query, "after=41") {
		t.Errorf("watched with %q, want the known version, 41", query)
	}
	node.Discovery.BreakWatch()
	node.WaitFor("the agent is followed again", func() bool { return node.Discovery.UnseenWatches() > 0 })
	drain(node, 42, server.Address)
	waitForAnswer(node, client, "the drain is known", "from-origin-")
}
