package emulator

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"shelfproxy/internal/testbed/wireformat"
)

// readBufferSize is the size of the buffer of a connection to the origin, in bytes.
const readBufferSize = 16 << 10

// readHTTP serves the requests of a connection to the origin until the connection ends.
func (c *connection) readHTTP() {
	defer c.disconnected()
	reader := bufio.NewReaderSize(&c.reader, readBufferSize)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			if !isConnectionError(err) {
				c.reportMalformed(err.Error())
				c.reply(wireformat.HTTPText("400 Bad Request", "", "", true), true)
			}
			return
		}
		body, err := io.ReadAll(io.LimitReader(request.Body, wireformat.MaxValue+1))
		if err != nil {
			return
		}
		if !c.serveRequest(request, body) {
			return
		}
	}
}

// isConnectionError reports whether an error means that the connection ended, and not that a request was malformed.
func isConnectionError(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// serveRequest serves one HTTP request. It returns false if the connection is closed.
func (c *connection) serveRequest(request *http.Request, body []byte) bool {
	path, isWrite := request.URL.Path, request.Method == http.MethodPut
	switch {
	case path == "/alive" && request.Method == http.MethodGet:
		return c.healthCheck(false)
	case path == "/metrics/load" && request.Method == http.MethodGet:
		return c.healthCheck(true)
	case request.Method != http.MethodGet && !isWrite:
		return c.reply(wireformat.HTTPText("405 Method Not Allowed", "", "", false), false)
	}
	args := [][]byte{nil, []byte(strings.TrimPrefix(path, "/")), []byte(request.Header.Get("X-Request-Id")), []byte(request.Header.Get("X-Extras"))}
	if isWrite {
		args = append(args, body)
	}
	parsed, reason := wireformat.ParseRequest(c.emulator.classes, isWrite, args)
	if reason != "" {
		c.reportMalformed(reason)
		return c.reply(wireformat.HTTPText("400 Bad Request", "", reason, false), false)
	}
	return c.attempt(parsed)
}
