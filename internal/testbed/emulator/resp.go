package emulator

import (
	"strings"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/wireformat"
)

// protocolErrorPrefix is the prefix of redcon's errors about malformed commands. They are recognized by this prefix because
// redcon does not export their type.
const protocolErrorPrefix = "Protocol error"

// readRESP serves the commands of a connection to a cache server until the connection ends.
func (c *connection) readRESP() {
	defer c.disconnected()
	reader := redcon.NewReader(&c.reader)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			if strings.HasPrefix(err.Error(), protocolErrorPrefix) {
				c.reportMalformed(err.Error())
				c.reply(redcon.AppendError(nil, "ERR "+err.Error()), true)
			}
			return
		}
		if !c.serveCommand(command.Args) {
			return
		}
	}
}

// serveCommand serves one command. It returns false if the connection is closed.
func (c *connection) serveCommand(args [][]byte) bool {
	switch name := strings.ToUpper(string(args[0])); name {
	case "CACHE.GET", "CACHE.SET":
		request, reason := wireformat.ParseRequest(c.emulator.classes, name == "CACHE.SET", args)
		if reason != "" {
			c.reportMalformed(reason)
			return c.reply(redcon.AppendError(nil, "SYNTAX "+reason), false)
		}
		return c.attempt(request)
	case "PING":
		return c.healthCheck(false)
	case "INFO":
		return c.serveInfo(args)
	case "CLIENT", "SELECT":
		return c.reply(redcon.AppendOK(nil), false)
	default: // includes HELLO, because these cache servers speak RESP2 only
		return c.reply(redcon.AppendError(nil, "ERR unknown command"), false)
	}
}

// serveInfo serves the command INFO load, which is a health check with a load report.
func (c *connection) serveInfo(args [][]byte) bool {
	switch {
	case len(args) != 2 || !strings.EqualFold(string(args[1]), "load"):
		return c.reply(redcon.AppendError(nil, "ERR unknown section"), false)
	case !c.emulator.plan.Nodes.HealthChecks:
		return c.reply(redcon.AppendError(nil, "NOPERM probes are not allowed"), false)
	default:
		return c.healthCheck(true)
	}
}
