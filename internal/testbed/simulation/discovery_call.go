package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/discovery/polling"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/wireformat"
)

// discoveryCall is a call of discovery: the real follower at the node's end of a stream.
type discoveryCall struct {
	world        *world
	id           uint64
	node         *node
	incarnation  int
	nodeStream   *stream // the node's
	serverStream *stream // discovery's
	watch        *discovery.WatchState
	report       func(discovery.List, error)
	isAnswered   bool
	isOver       bool
}

// discoverySource is discovery as one process of a node reaches it.
type discoverySource struct {
	node        *node
	incarnation int
}

// Watch opens a watch.
func (s discoverySource) Watch(after int64, report func(discovery.List, error)) (stop func()) {
	w := s.node.world
	w.lastCall++
	c := &discoveryCall{world: w, id: w.lastCall, node: s.node, incarnation: s.incarnation, report: report, watch: discovery.NewWatchState(s.node.now(), polling.CallTimeout)}
	c.nodeStream, c.serverStream = w.pipe(w.plan.Network.Discovery, w.plan.Network.Discovery)
	c.nodeStream.data = c.received
	c.nodeStream.ended = func(reset bool) {
		var broke error
		if reset {
			broke = errConnectionReset
		}
		c.deliver(nil, c.watch.ConnectionEnded(broke))
	}
	w.calls[c.id] = c
	w.after(w.drawBetween(100*time.Microsecond, time.Millisecond), func() {
		if !c.isOver {
			w.logEvent("ask", strconv.Itoa(s.node.index), strconv.FormatInt(after, 10))
			w.execute(w.system.Step(w.now, model.DiscoveryCall{Call: c.id, Node: s.node.index, Watch: true, After: after}))
		}
	})
	if w.networkFault(w.plan.Network.WatchGoesSilent) {
		w.after(w.drawBetween(0, 4*time.Second), func() {
			w.logEvent("watch-silent", strconv.Itoa(s.node.index))
			c.nodeStream.isUnresponsive, c.serverStream.isUnresponsive = true, true
		})
	}
	c.armTimer()
	return c.stop
}

var errConnectionReset = errors.New("connection reset by peer")

// armTimer books the time at which the follower looks whether it has fallen silent.
func (c *discoveryCall) armTimer() {
	c.world.at(c.node.simTime(c.watch.Deadline()), func() {
		if c.isOver || c.node.incarnation != c.incarnation {
			return
		}
		if err := c.watch.CheckTimeout(c.node.now()); err != nil {
			c.deliver(nil, err)
			return
		}
		c.armTimer()
	})
}

// stop ends the call from the node's side.
func (c *discoveryCall) stop() {
	if c.isOver {
		return
	}
	c.isOver = true
	c.nodeStream.close()
	if c.world.calls[c.id] == c {
		delete(c.world.calls, c.id)
		c.world.after(c.world.drawBetween(100*time.Microsecond, time.Millisecond), func() {
			c.world.execute(c.world.system.Step(c.world.now, model.DiscoveryCancelled{Call: c.id}))
		})
	}
}

// deliver hands lists and the end of the watch to the node.
func (c *discoveryCall) deliver(lists []discovery.List, err error) {
	if c.isOver || c.node.incarnation != c.incarnation {
		return
	}
	for _, l := range lists {
		c.report(l, nil)
	}
	if err != nil {
		c.world.logEvent("watch-ended", strconv.Itoa(c.node.index), err.Error())
		c.stop()
		c.report(discovery.List{}, err)
	}
	c.node.armTimer()
}

func (c *discoveryCall) received(b []byte, _ Time) {
	if c.isOver || c.node.incarnation != c.incarnation {
		return
	}
	c.node.lastDiscoveryData = c.world.now
	lists, err := c.watch.BytesReceived(c.node.now(), b)
	c.deliver(lists, err)
}

// replyToCall writes what discovery says to a call. What a watch was told counts from here on.
func (w *world) replyToCall(t model.DiscoveryReply) {
	c := w.calls[t.Call]
	if c == nil || c.isOver {
		return
	}
	if t.Failed {
		delete(w.calls, t.Call)
		if c.isAnswered {
			c.serverStream.reset()
		} else {
			w.after(w.drawBetween(100*time.Microsecond, time.Millisecond), func() {
				if !c.isOver && c.node.incarnation == c.incarnation {
					c.deliver(nil, c.watch.ResponseReceived(c.node.now(), 503))
				}
			})
		}
		return
	}
	if !c.isAnswered {
		c.isAnswered = true
		if !c.serverStream.isUnresponsive {
			if err := c.watch.ResponseReceived(c.node.now(), 200); err != nil {
				c.deliver(nil, err)
				return
			}
		}
	}
	line := []byte{'\n'}
	if t.List != nil {
		line = append(wireformat.EncodeList(*t.List, func(slot int) string { return address(slot, c.node.index) }, unixMs), '\n')
	}
	c.serverStream.write(line)
	if l := t.List; l != nil && !c.serverStream.isUnresponsive && !(l.IsFull && len(l.Entries) == 0) { // a list of nothing is no news
		w.at(c.serverStream.lastAt, func() {
			if c.nodeStream.isClosed || c.nodeStream.isUnresponsive { // a reset overtook it
				return
			}
			states := map[string]string{}
			for _, s := range l.Entries {
				states[s.ID] = s.State.String()
				w.checker.NodeKnowsStart(c.node.index, s.ID, s.Started)
			}
			w.checker.NodeNotified(w.now, c.node.index, l.IsFull, states)
		})
	}
	if t.Ends {
		delete(w.calls, t.Call)
		c.serverStream.close()
	}
}

func unixMs(at time.Duration) int64 { return epoch.Add(at).UnixMilli() }

// address is where a node finds the server of a slot.
func address(slot, node int) string { return fmt.Sprintf("10.%d.%d.%d:6379", node, slot>>8, slot&255) }

func slotOf(addr string) (slot int) {
	var node, high, low int
	fmt.Sscanf(addr, "10.%d.%d.%d:6379", &node, &high, &low)
	return high<<8 | low
}
