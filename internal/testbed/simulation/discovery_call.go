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

// discoveryCall is a watch that a node opens at discovery, over a simulated stream. The node's end uses the program's own state
// machine for watches.
type discoveryCall struct {
	world        *world
	id           uint64
	node         *node
	incarnation  int
	nodeStream   *stream // the node's end of the stream
	serverStream *stream // discovery's end of the stream
	watch        *discovery.WatchState
	report       func(discovery.List, error)
	isAnswered   bool
	isOver       bool
}

// Bounds of the delay until a call or its cancellation reaches discovery, or until an error response reaches the node.
const (
	minCallDelay = 100 * time.Microsecond
	maxCallDelay = time.Millisecond
)

// discoverySource gives one process of a node access to the simulated discovery.
type discoverySource struct {
	node        *node
	incarnation int
}

// Watch opens a watch for the changes after a version of the endpoint list. It implements discovery.Source.
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

// errConnectionReset is the error that a node gets if discovery resets the connection of a watch.
var errConnectionReset = errors.New("connection reset by peer")

// armTimer schedules the next check of the watch's timeout. The check ends the watch if it has received nothing for too long.
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

// stop ends the call at the node's end and cancels it at discovery.
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

// deliver reports the received lists to the node. If err is not nil, it then ends the watch and reports the error.
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

// received handles bytes that discovery sent to the node.
func (c *discoveryCall) received(b []byte, _ Time) {
	if c.isOver || c.node.incarnation != c.incarnation {
		return
	}
	c.node.lastDiscoveryData = c.world.now
	lists, err := c.watch.BytesReceived(c.node.now(), b)
	c.deliver(lists, err)
}

// replyToCall writes discovery's reply to a call. When a list in the reply has arrived, it tells the checker that the node was
// notified of the list.
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

// isEmptyList reports whether a list is a full list without servers. Nodes must not apply such a list.
func isEmptyList(list *model.List) bool { return list.IsFull && len(list.Entries) == 0 }

// fail ends a call with a reset, or with an error status if no status has been sent yet.
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

// answer delivers HTTP status 200 to the watch. Only the first call of answer does so.
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

// notified reports to the checker that a list has arrived at the node, unless the stream lost the list.
func (c *discoveryCall) notified(list *model.List) {
	if c.nodeStream.isClosed || c.nodeStream.isUnresponsive { // the list did not arrive: a reset overtook it, or nothing arrives on the stream any more
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

// addressFormat is the format of server addresses: the node's index, then the high and the low byte of the server's slot.
const addressFormat = "10.%d.%d.%d:6379"

// addressOf returns the address at which the node reaches the server of a slot.
func (n *node) addressOf(slot int) string {
	return fmt.Sprintf(addressFormat, n.index, slot>>8, slot&255)
}

// slotOf returns the slot of the server with an address. It is the inverse of addressOf.
func slotOf(address string) (slot int) {
	var node, high, low int
	if _, err := fmt.Sscanf(address, addressFormat, &node, &high, &low); err != nil {
		panic(fmt.Sprintf("address %q: %v", address, err)) // this would be a bug: all addresses come from addressOf
	}
	return high<<8 | low
}
