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
	conn.isPaused = false
	for !conn.isClosed {
		if len(conn.slots) >= c.limits.MaxPipelined || conn.commands.hasBytes() && !c.reserveForNext(conn) {
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

// rejectFraming ends a connection whose framing is broken. Its client still gets the pending responses, and then an error about the
// framing.
func (c *Core) rejectFraming(now time.Time, conn *Conn, err error, effects *Effects) {
	c.count.BadFraming.Add(1)
	conn.slots = append(conn.slots, &ResponseSlot{isReady: true, prefix: errorResponse(err)})
	conn.isPaused, conn.isFramingBroken = true, true
	c.finish(now, conn, EndedBadFraming, effects)
	c.notifyWriter(conn, effects)
}

// dispatch handles one command: it hands requests to the handler and answers all other commands itself.
func (c *Core) dispatch(now time.Time, conn *Conn, received command, effects *Effects) {
	if received.reservedMemory > 0 {
		c.forgetArgument(conn)
	}
	name := received.args[0]
	if isCommand(name, getCommand) || isCommand(name, setCommand) {
		c.dispatchRequest(now, conn, received, effects)
		return
	}
	c.dispatchOther(now, conn, received, effects)
	c.limits.RequestMemory.Release(received.reservedMemory)
}

// dispatchOther answers a command that is no request.
func (c *Core) dispatchOther(now time.Time, conn *Conn, received command, effects *Effects) {
	arguments := len(received.args) - 1
	switch name := received.args[0]; {
	case isCommand(name, "PING") && arguments == 0:
		c.answer(now, conn, admission.CommandOther, redcon.AppendString(nil, "PONG"), effects)
	case isCommand(name, "PING") && arguments == 1 && received.isIncomplete:
		c.answer(now, conn, admission.CommandOther, busyResponse, effects)
	case isCommand(name, "PING") && arguments == 1:
		c.answer(now, conn, admission.CommandOther, redcon.AppendBulk(nil, received.args[1]), effects)
	case isCommand(name, "INFO"):
		c.answer(now, conn, admission.CommandOther, redcon.AppendBulkString(nil, c.count.String()), effects)
	case isCommand(name, "CLIENT"), isCommand(name, "SELECT"):
		c.answer(now, conn, admission.CommandOther, redcon.AppendOK(nil), effects)
	case isCommand(name, "QUIT"):
		c.answer(now, conn, admission.CommandOther, redcon.AppendOK(nil), effects)
		c.finish(now, conn, EndedByQuit, effects)
	default:
		c.rejectCommand(now, conn, errUnknownCommand, effects)
	}
}

func isCommand(name []byte, command string) bool { return bytes.EqualFold(name, []byte(command)) }

// dispatchRequest hands a command to the handler as a request.
func (c *Core) dispatchRequest(now time.Time, conn *Conn, received command, effects *Effects) {
	r, err := c.parseRequest(conn.arrival(now, c.pause.earliestArrival(now)), received.args)
	if err != nil {
		c.limits.RequestMemory.Release(received.reservedMemory)
		c.rejectCommand(now, conn, err, effects)
		return
	}
	r.CommandMemory, r.IsValueDiscarded = received.reservedMemory, received.isIncomplete
	r.ConnectionID = conn.id
	switch {
	case len(conn.slots) == 0:
		r.MarkNext()
	case !r.IsWrite:
		r.SetReservedMemory(conn.reservedMemory)
		conn.reservedMemory = 0
	}
	slot := &ResponseSlot{request: r, isRequest: true}
	r.Reply = func(response request.Response) { c.Reply(conn, slot, response) }
	c.table.CommandReceived(c.tableTime(now), conn.id, admission.CommandRequest)
	conn.slots = append(conn.slots, slot)
	effects.add(HandleRequest, conn, r)
}

// answer responds to a command without the handler.
func (c *Core) answer(now time.Time, conn *Conn, kind admission.Command, response []byte, effects *Effects) {
	c.table.CommandReceived(c.tableTime(now), conn.id, kind)
	conn.slots = append(conn.slots, &ResponseSlot{isReady: true, prefix: response})
	c.notifyWriter(conn, effects)
}

// rejectCommand responds to an invalid command.
func (c *Core) rejectCommand(now time.Time, conn *Conn, err error, effects *Effects) {
	c.count.Malformed.Add(1)
	c.answer(now, conn, admission.CommandInvalid, errorResponse(err), effects)
}

// errorResponse returns the RESP2 error that reports err to a client. The error texts are part of the wire format.
func errorResponse(err error) []byte { return redcon.AppendError(nil, "ERR "+err.Error()) }
