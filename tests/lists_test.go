package tests

import (
	"fmt"
	"strings"
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
