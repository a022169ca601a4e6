package overhead

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/tidwall/redcon"
)

const copyBufferSize = 16 << 10

// ServeCache runs a cache server that has every key and answers immediately, until the context ends.
func ServeCache(ctx context.Context, address string, valueSize int) error {
	value := strings.Repeat("x", valueSize)
	hit := fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", valueSize, value)
	return serve(ctx, address, func(conn net.Conn) { answerAll(conn, hit) })
}

// answerAll answers the commands of a connection until the connection ends.
func answerAll(conn net.Conn, hit []byte) {
	reader, writer := redcon.NewReader(conn), bufio.NewWriter(conn)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		answer := hit
		if string(command.Args[0]) == "PING" {
			answer = []byte("+PONG\r\n")
		}
		if _, err := writer.Write(answer); err != nil {
			return
		}
		if err := writer.Flush(); err != nil {
			return
		}
	}
}

// ServeCopy copies bytes in both directions between its clients and the server at the address in to, until the context ends.
func ServeCopy(ctx context.Context, address, to string) error {
	return serve(ctx, address, func(client net.Conn) {
		server, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
		if err != nil {
			return
		}
		defer func() { _ = server.Close() }()
		go func() { // ends when the connection to the client ends; serve closes this connection
			copyBytes(server, client)
			_ = server.Close()
		}()
		copyBytes(client, server)
	})
}

// copyBytes copies through a buffer until either side ends. It avoids io.Copy, which would use the splice call of the kernel:
// a program that never reads the bytes is not comparable to a node, which reads what it forwards.
func copyBytes(to io.Writer, from io.Reader) {
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, copyBufferSize))
}

// serve accepts connections until the context ends. It calls handle in a goroutine for each connection and then closes the
// connection.
func serve(ctx context.Context, address string, handle func(net.Conn)) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go func() { // ends when the connection ends, or when the program exits
			defer func() { _ = conn.Close() }()
			handle(conn)
		}()
	}
}
