// Package respcmd writes and serves commands of RESP2, as the testbed's clients and simple servers need them.
package respcmd

import (
	"io"
	"net"

	"github.com/tidwall/redcon"
)

// Ping is the verb of a health check, Pong the reply to it.
const (
	Ping = "PING"
	Pong = "+PONG\r\n"
)

// Append appends a command, an array of bulk strings, to a buffer.
func Append(buffer []byte, words ...string) []byte {
	buffer = redcon.AppendArray(buffer, len(words))
	for _, word := range words {
		buffer = redcon.AppendBulkString(buffer, word)
	}
	return buffer
}

// Handler returns the bytes to write in reply to a command, which may be none; false ends the connection instead.
type Handler func(words []string) (reply string, ok bool)

// Serve answers the commands of a connection in their order until it or the handler ends it, and closes it. PING is answered
// without the handler.
func Serve(conn net.Conn, handle Handler) {
	ServeAll(conn, func(words []string) (string, bool) {
		if words[0] == Ping {
			return Pong, true
		}
		return handle(words)
	})
}

// ServeAll is Serve with PING given to the handler, too.
func ServeAll(conn net.Conn, handle Handler) {
	defer func() { _ = conn.Close() }() // whatever was owed is written
	reader := redcon.NewReader(conn)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		words := make([]string, len(command.Args))
		for i, word := range command.Args {
			words[i] = string(word)
		}
		reply, ok := handle(words)
		if !ok {
			return
		}
		_, _ = io.WriteString(conn, reply) // a broken connection ends the next read, behind what came before
	}
}
