package tests

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// A list that is empty, cut short, malformed or older than the one held is counted and logged with its cause. The node
// goes on with the one it holds, asks again, and takes the next good one.
func TestBadListsChangeNothing(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ line, counter, cause string }{
		"empty":     {`{"generation":42,"reset":true,"instances":[]}`, "discovery_lists_refused", "without a server"},
		"stale":     {`{"generation":7,"reset":true,"instances":[{"instanceId":"x","hostPort":"127.0.0.1:1","lifecycle":"up"}]}`, "discovery_lists_refused", "older than the one held"},
		"cut short": {`{"generation":42,"reset":true,"instan`, "discovery_watches_garbage", "no list"},
		"malformed": {`{"generation":42,"instances":[{"instanceId":"s0","lifecycle":"upside"}]}`, "discovery_watches_garbage", "unknown lifecycle"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			box := newTarget(t, hit)
			r := newRig(t, box).start()
			c := r.dial()
			r.changes <- test.line
			r.until(test.counter, func() bool {
				return strings.Contains(c.send("INFO").answer(), test.counter+" 1\n")
			})
			r.logged(test.cause)
			for i := range 5 {
				c.send("CACHE.GET", fmt.Sprint("k", i), fmt.Sprint("id", i), "c=read,d=2900").want("value-")
			}
			<-r.watches // the first
			if again := <-r.watches; !strings.Contains(again, "after=41") {
				t.Errorf("asked again with %s, want the version held", again)
			}
			r.tell(list(43, false, instance("s0", box.addr, "box", "draining")))
			r.until("the drain is taken", func() bool {
				return strings.Contains(c.send("INFO").answer(), "discovery_lists 3\n") // two watches began with one each
			})
			c.send("CACHE.GET", "k", "last", "c=read,d=2900").want("from-origin-")
		})
	}
}

// A node that is given no list, or one of servers long gone, starts, answers at once, and serves from the first list that
// discovery sends.
func TestStartWithoutAGoodList(t *testing.T) {
	t.Parallel()
	for name, known := range map[string]any{"absent": nil, "out of date": list(1, true, instance("gone", "127.0.0.1:1", "box", "up"))} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			box := newTarget(t, hit)
			r := newRig(t, box)
			delete(r.config, "known")
			if known != nil {
				r.config["known"] = known
			}
			c := r.start().dial()
			c.send("CACHE.GET", "k", "early", "c=read,d=2900").want("-")
			r.tell(list(42, true, instance("s0", box.addr, "box", "up")))
			n := 0
			r.until("reads are served", func() bool {
				n++
				return strings.HasPrefix(c.send("CACHE.GET", "k", fmt.Sprint("id", n), "c=read,d=2900").answer(), "value-")
			})
		})
	}
}

// TestStartWhileTheAddressIsTaken: a node whose predecessor has not let go of its address waits for it; one that cannot
// have the socket to the other nodes serves without it.
func TestStartWhileTheAddressIsTaken(t *testing.T) {
	t.Parallel()
	r := newRig(t, newTarget(t, hit))
	peer, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	r.config["peer_listen"], r.config["peers_all"] = peer.LocalAddr().String(), "127.0.0.1:9"
	r.config["peers"] = []string{peer.LocalAddr().String()}
	r.config["settings"].(map[string]any)["limits"].(map[string]any)["may_tell"] = true
	held := r.address()
	r.launch()
	r.logged("peers_unavailable")
	r.logged(`"address":"` + r.addr)
	held.Close()
	r.until("the node listens", r.listens)
	r.until("the node watches", func() bool { return len(r.watches) > 0 })
	r.dial().send("CACHE.GET", "k", "id", "c=read,d=2900").want("value-")
}

// TestReloadToAnAddressThatComesLater: nobody listens yet where discovery moves. The list held serves, and the node asks
// there again until it is answered.
func TestReloadToAnAddressThatComesLater(t *testing.T) {
	t.Parallel()
	r, next := newRig(t, newTarget(t, hit)).start(), newRig(t)
	held, err := net.Listen("tcp", loopback())
	if err != nil {
		t.Fatal(err)
	}
	addr := held.Addr().String()
	held.Close()
	r.config["discovery"] = addr
	text, _ := json.Marshal(r.config)
	r.replace(string(text))
	r.cmd.Process.Signal(syscall.SIGHUP)
	r.logged(`"event":"watch_ended"`)
	c := r.dial()
	c.send("CACHE.GET", "k", "meanwhile", "c=read,d=2900").want("value-")
	late, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(next.discover)}
	defer server.Close()
	go server.Serve(late)
	r.until("the new discovery is watched", func() bool { return len(next.watches) == 1 && next.open.Load() == 1 })
	c.send("CACHE.GET", "k", "after", "c=read,d=2900").want("value-")
}

// TestListThatAnAgentPushes: where lists are pushed the node follows the agent on its machine from its start, though the
// module asks for nothing, takes what it is told, and follows again after the agent went away.
func TestListThatAnAgentPushes(t *testing.T) {
	t.Parallel()
	box := newTarget(t, hit)
	r := newRig(t, box)
	r.config["settings"].(map[string]any)["registry_mode"] = "automatic"
	c := r.start().dial()
	c.send("CACHE.GET", "k", "before", "c=read,d=2900").want("value-")
	if first := <-r.watches; !strings.Contains(first, "after=41") {
		t.Errorf("watched with %s, want the version known", first)
	}
	r.changes <- "break"
	r.until("the agent is followed again", func() bool { return len(r.watches) > 0 })
	r.tell(list(42, false, instance("s0", box.addr, "box", "draining")))
	n := 0
	r.until("the drain is kept", func() bool {
		n++
		return strings.HasPrefix(c.send("CACHE.GET", "k", fmt.Sprint("id", n), "c=read,d=2900").answer(), "from-origin-")
	})
}
