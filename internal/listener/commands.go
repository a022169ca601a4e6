package listener

import (
	"bytes"
	"errors"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/request"
)

// The names of the commands that become requests.
const (
	getCommand = "CACHE.GET"
	setCommand = "CACHE.SET"
)

// decode dispatches the complete commands that were read from a connection. It pauses the connection when MaxPipelined commands
// wait for responses, or when there is no memory for a long argument or for the response to a further command.
func (c *Core) decode(now time.Time, conn *Conn, effects *Effects) {
	if conn.isFramingBroken {
		return
	}
	conn.isPaused = false
	c.handOverWithheld(now, conn, effects)
	for !conn.isClosed {
		if len(conn.slots) >= c.limits.MaxPipelined || conn.commands.hasBytes() && !c.mayDecodeNext(now, conn, effects) {
			conn.isPaused = true
			return
		}
		next, err := conn.commands.next()
		switch {
		case errors.Is(err, errNeedMemory):
			if c.reserveArgument(now, conn) {
				continue
			}
			conn.isPaused = true
			return
		case errors.Is(err, errNeedMoreBytes):
			c.releaseForNext(conn)
			if conn.commands.hasPartialCommand() {
				c.table.PartialCommand(c.tableTime(now), conn.id)
			}
			return
		case err != nil:
			c.rejectFraming(now, conn, err, effects)
			return
		}
		c.dispatch(now, conn, next, effects)
	}
}

// mayDecodeNext reports whether the next command of a connection may be decoded: its client is there, as far as can be told, and there
// is processor time and memory.
func (c *Core) mayDecodeNext(now time.Time, conn *Conn, effects *Effects) bool {
	if len(conn.slots) > 0 && conn.presence.hasWaited.Load() && conn.mayHaveLeft(now) {
		return false // until a response is written, which shows whether the client is there
	}
	return c.takeTurn(now, conn, effects) && c.reserveForNext(conn)
}

// rejectFraming ends a connection whose framing is broken. Its client still gets the pending responses, and then an error about the
// framing.
func (c *Core) rejectFraming(now time.Time, conn *Conn, err error, effects *Effects) {
	c.count.BadFraming.Add(1)
	c.addAnswer(conn, &ResponseSlot{isReady: true, prefix: errorResponse(err)})
	conn.isPaused, conn.isFramingBroken = true, true
	c.finish(now, conn, EndedBadFraming, effects)
	c.notifyWriter(conn, effects)
}

// dispatch handles one command: it hands requests to the handler and answers all other commands itself.
func (c *Core) dispatch(now time.Time, conn *Conn, received command, effects *Effects) {
	if received.reservedMemory > 0 {
		c.forgetArgument(conn)
	}
	c.recordWork(now, conn, received.work())
	name := received.args[0]
	if isCommand(name, getCommand) || isCommand(name, setCommand) {
		c.dispatchRequest(now, conn, received, effects)
		return
	}
	c.dispatchOther(now, conn, received, effects)
}

// dispatchOther answers a command that is no request.
func (c *Core) dispatchOther(now time.Time, conn *Conn, received command, effects *Effects) {
	arguments := len(received.args) - 1
	if isCommand(received.args[0], "PING") && arguments == 1 && received.reservedMemory > 0 {
		c.echoLong(now, conn, received, effects)
		return
	}
	c.limits.RequestMemory.Release(received.reservedMemory)
	switch name := received.args[0]; {
	case isCommand(name, "PING") && arguments == 0:
		c.answer(now, conn, redcon.AppendString(nil, "PONG"), effects)
	case isCommand(name, "PING") && arguments == 1 && received.isIncomplete:
		c.answer(now, conn, busyResponse, effects)
	case isCommand(name, "PING") && arguments == 1:
		c.answerWithValue(now, conn, received.args[1], effects)
	case isCommand(name, "INFO"):
		c.answerWithValue(now, conn, []byte(c.count.String()), effects)
	case isCommand(name, "CLIENT"), isCommand(name, "SELECT"):
		c.answer(now, conn, redcon.AppendOK(nil), effects)
	case isCommand(name, "QUIT"):
		c.answer(now, conn, redcon.AppendOK(nil), effects)
		c.finish(now, conn, EndedByQuit, effects)
	default:
		c.rejectCommand(now, conn, errUnknownCommand, effects)
	}
}

func isCommand(name []byte, command string) bool { return bytes.EqualFold(name, []byte(command)) }

// dispatchRequest hands a command to the handler as a request.
func (c *Core) dispatchRequest(now time.Time, conn *Conn, received command, effects *Effects) {
	parsed, err := c.parseRequest(conn.arrival(now, c.pause.earliestArrival(now)), received.args)
	if err != nil {
		c.limits.RequestMemory.Release(received.reservedMemory)
		c.rejectCommand(now, conn, err, effects)
		return
	}
	parsed.CommandMemory, parsed.IsValueDiscarded = received.reservedMemory, received.isIncomplete
	parsed.ConnectionID = conn.id
	mayHaveLeft := conn.mayHaveLeft(now)
	if mayHaveLeft && conn.presence.hasWaited.Load() { // rejected before anything of it ran: the response shows whether the client is there
		c.limits.RequestMemory.Release(received.reservedMemory)
		c.answer(now, conn, busyResponse, effects)
		return
	}
	switch {
	case len(conn.slots) == 0:
		parsed.MarkNext()
	case !parsed.IsWrite:
		parsed.SetReservedMemory(conn.reservedMemory)
		conn.reservedMemory = 0
	}
	slot := &ResponseSlot{request: parsed, isRequest: true, requestClient: requestClient{&conn.presence, now, c.limits.RequestMemory, conn.hasWaitedForMemory}}
	conn.hasWaitedForMemory = false
	parsed.Client = slot
	parsed.Reply = func(response request.Response) { c.Reply(conn, slot, response) }
	c.table.CommandReceived(c.tableTime(now), conn.id, admission.CommandRequest)
	conn.slots = append(conn.slots, slot)
	if mayHaveLeft && len(conn.slots) > 1 && !parsed.IsValueDiscarded {
		conn.withhold(slot)
		return
	}
	effects.add(HandleRequest, conn, parsed)
}

// answer responds to a valid command without the handler.
func (c *Core) answer(now time.Time, conn *Conn, response []byte, effects *Effects) {
	c.table.CommandReceived(c.tableTime(now), conn.id, admission.CommandOther)
	c.addAnswer(conn, &ResponseSlot{isReady: true, prefix: response})
	c.notifyWriter(conn, effects)
}

// answerWithValue responds to a valid command with a bulk string, without the handler. Like the response to a request, a bulk string
// takes response memory until it is written; without memory the command is rejected.
func (c *Core) answerWithValue(now time.Time, conn *Conn, value []byte, effects *Effects) {
	if !c.reserveAnswer(conn, len(value)) {
		c.answer(now, conn, busyResponse, effects)
		return
	}
	c.table.CommandReceived(c.tableTime(now), conn.id, admission.CommandOther)
	c.recordWork(now, conn, len(value)/bytesPerWork)
	c.addAnswer(conn, &ResponseSlot{isReady: true, prefix: bulkPrefix(value), value: value, reservedMemory: len(value)})
	c.notifyWriter(conn, effects)
}

// echoLong responds to a PING with a long argument. The argument keeps its memory until it is written.
func (c *Core) echoLong(now time.Time, conn *Conn, received command, effects *Effects) {
	argument := received.args[1]
	c.table.CommandReceived(c.tableTime(now), conn.id, admission.CommandOther)
	c.addAnswer(conn, &ResponseSlot{isReady: true, prefix: bulkPrefix(argument), value: argument, commandMemory: received.reservedMemory})
	c.notifyWriter(conn, effects)
}

// rejectCommand responds to an invalid command.
func (c *Core) rejectCommand(now time.Time, conn *Conn, err error, effects *Effects) {
	c.count.Malformed.Add(1)
	c.table.CommandReceived(c.tableTime(now), conn.id, admission.CommandInvalid)
	c.addAnswer(conn, &ResponseSlot{isReady: true, prefix: errorResponse(err)})
	c.notifyWriter(conn, effects)
}

// addAnswer adds a response that is ready.
func (c *Core) addAnswer(conn *Conn, slot *ResponseSlot) {
	conn.slots = append(conn.slots, slot)
	c.table.ResponseReady(conn.id, slot.size())
}

// errorResponse returns the RESP2 error that reports err to a client. The error texts are part of the wire format.
func errorResponse(err error) []byte { return redcon.AppendError(nil, "ERR "+err.Error()) }
