// Package respcmd writes and serves RESP2 commands for the testbed's clients and simple servers.
package respcmd

import (
	"io"
	"net"

	"github.com/tidwall/redcon"
)

// Ping is the command of a health check, and Pong is the encoded reply to it.
const (
	Ping = "PING"
	Pong = "+PONG\r\n"
)

// Append appends a command to a buffer, encoded as an array of bulk strings.
func Append(buffer []byte, args ...string) []byte {
	buffer = redcon.AppendArray(buffer, len(args))
	for _, arg := range args {
		buffer = redcon.AppendBulkString(buffer, arg)
	}
	return buffer
}

// Handler returns the bytes to write in reply to a command, possibly none. If ok is false, nothing is written and the
// connection ends.
type Handler func(args []string) (reply string, ok bool)

// Serve answers the commands of a connection in their order until the peer or the handler ends the connection. Then it
// closes the connection. It answers PING itself, without the handler.
func Serve(conn net.Conn, handle Handler) {
	ServeAll(conn, func(args []string) (string, bool) {
		if args[0] == Ping {
			return Pong, true
		}
		return handle(args)
	})
}

// ServeAll is like Serve, but also passes PING to the handler.
func ServeAll(conn net.Conn, handle Handler) {
	defer func() { _ = conn.Close() }() // all replies have been written
	reader := redcon.NewReader(conn)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		args := make([]string, len(command.Args))
		for i, arg := range command.Args {
			args[i] = string(arg)
		}
		reply, ok := handle(args)
		if !ok {
			return
		}
		_, _ = io.WriteString(conn, reply) // if the connection is broken, a later read fails and ends the loop
	}
}
