package simulation

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/discovery/polling"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/wireformat"
)

// discoveryCall is a call of a node to discovery, with the real state machine of a watch at the node's end of a stream.
type discoveryCall struct {
	world        *world
	id           uint64
	node         *node
	incarnation  int
	nodeStream   *stream // the node's end
	serverStream *stream // discovery's end
	watch        *discovery.WatchState
	report       func(discovery.List, error)
	isAnswered   bool
	isOver       bool
}

// Delays of a call on its way to discovery and of a refusal on its way back.
const (
	minCallDelay = 100 * time.Microsecond
	maxCallDelay = time.Millisecond
)

// discoverySource is discovery as one process of a node reaches it.
type discoverySource struct {
	node        *node
	incarnation int
}

// Watch opens a watch for the changes after a version. It implements discovery.Source.
func (s discoverySource) Watch(after int64, report func(discovery.List, error)) (stop func()) {
	world := s.node.world
	world.lastCall++
	call := &discoveryCall{
		world:       world,
		id:          world.lastCall,
		node:        s.node,
		incarnation: s.incarnation,
		report:      report,
		watch:       discovery.NewWatchState(s.node.now(), polling.CallTimeout),
	}
	call.nodeStream, call.serverStream = world.pipe(world.plan.Network.Discovery, world.plan.Network.Discovery)
	call.nodeStream.data = call.received
	call.nodeStream.ended = func(reset bool) {
		var cause error
		if reset {
			cause = errConnectionReset
		}
		call.deliver(nil, call.watch.ConnectionEnded(cause))
	}
	world.calls[call.id] = call
	world.after(world.drawBetween(minCallDelay, maxCallDelay), func() {
		if !call.isOver {
			world.logEvent("ask", strconv.Itoa(s.node.index), strconv.FormatInt(after, 10))
			world.execute(world.system.Step(world.now, model.DiscoveryCall{Call: call.id, Node: s.node.index, Watch: true, After: after}))
		}
	})
	if world.networkFault(world.plan.Network.WatchGoesSilent) {
		world.after(world.drawBetween(0, 4*time.Second), func() {
			world.logEvent("watch-silent", strconv.Itoa(s.node.index))
			call.nodeStream.isUnresponsive, call.serverStream.isUnresponsive = true, true
		})
	}
	call.armTimer()
	return call.stop
}

// errConnectionReset is how the node sees a connection that discovery reset.
var errConnectionReset = errors.New("connection reset by peer")

// armTimer schedules the watch's check for silence.
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
		c.world.after(c.world.drawBetween(minCallDelay, maxCallDelay), func() {
			c.world.execute(c.world.system.Step(c.world.now, model.DiscoveryCancelled{Call: c.id}))
		})
	}
}

// deliver reports lists and the end of the watch to the node.
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

// received takes bytes from discovery.
func (c *discoveryCall) received(b []byte, _ Time) {
	if c.isOver || c.node.incarnation != c.incarnation {
		return
	}
	c.node.lastDiscoveryData = c.world.now
	lists, err := c.watch.BytesReceived(c.node.now(), b)
	c.deliver(lists, err)
}

// replyToCall writes a reply of discovery to a call. From then on the node counts as notified of what it holds.
func (w *world) replyToCall(reply model.DiscoveryReply) {
	call := w.calls[reply.Call]
	if call == nil || call.isOver {
		return
	}
	if reply.Failed {
		delete(w.calls, reply.Call)
		call.fail()
		return
	}
	if err := call.answer(); err != nil {
		call.deliver(nil, err)
		return
	}
	text := []byte{'\n'}
	if reply.List != nil {
		text = append(wireformat.EncodeList(*reply.List, call.node.addressOf, unixMs), '\n')
	}
	call.serverStream.write(text)
	if list := reply.List; list != nil && !call.serverStream.isUnresponsive && !isEmptyList(list) {
		w.at(call.serverStream.lastAt, func() { call.notified(list) })
	}
	if reply.Ends {
		delete(w.calls, reply.Call)
		call.serverStream.close()
	}
}

// isEmptyList tells whether a list says that there are no servers at all, which nodes must not believe.
func isEmptyList(list *model.List) bool { return list.IsFull && len(list.Entries) == 0 }

// fail ends a call by a reset, or by an error status if it has not been answered yet.
func (c *discoveryCall) fail() {
	if c.isAnswered {
		c.serverStream.reset()
		return
	}
	c.world.after(c.world.drawBetween(minCallDelay, maxCallDelay), func() {
		if !c.isOver && c.node.incarnation == c.incarnation {
			c.deliver(nil, c.watch.ResponseReceived(c.node.now(), http.StatusServiceUnavailable))
		}
	})
}

// answer brings the status of the response to the watch, once.
func (c *discoveryCall) answer() error {
	if c.isAnswered {
		return nil
	}
	c.isAnswered = true
	if c.serverStream.isUnresponsive {
		return nil
	}
	return c.watch.ResponseReceived(c.node.now(), http.StatusOK)
}

// notified notifies the checker of a list that has arrived at the node.
func (c *discoveryCall) notified(list *model.List) {
	if c.nodeStream.isClosed || c.nodeStream.isUnresponsive { // a reset overtook it
		return
	}
	states := map[string]string{}
	for _, entry := range list.Entries {
		states[entry.ID] = entry.State.String()
		c.world.checker.NodeKnowsStart(c.node.index, entry.ID, entry.Started)
	}
	c.world.checker.NodeNotified(c.world.now, c.node.index, list.IsFull, states)
}

// unixMs converts a time of the run to Unix milliseconds.
func unixMs(at time.Duration) int64 { return epoch.Add(at).UnixMilli() }

// addressFormat is that of the addresses at which nodes find servers: node, high and low byte of the slot.
const addressFormat = "10.%d.%d.%d:6379"

// addressOf is the address at which the node finds the server of a slot.
func (n *node) addressOf(slot int) string {
	return fmt.Sprintf(addressFormat, n.index, slot>>8, slot&255)
}

// slotOf is the slot of an address.
func slotOf(address string) (slot int) {
	var node, high, low int
	if _, err := fmt.Sscanf(address, addressFormat, &node, &high, &low); err != nil {
		panic(fmt.Sprintf("address %q: %v", address, err)) // the simulation made it
	}
	return high<<8 | low
}
