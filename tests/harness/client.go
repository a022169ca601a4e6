package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"shelfproxy/internal/testbed/respcmd"
)

// Closed is what Client.Answer returns when the connection has ended or the read failed.
const Closed = "closed"

// Client is a client of a node, with one connection.
type Client struct {
	net.Conn
	Reader *bufio.Reader
	t      testing.TB
}

// Send writes a command. It ignores errors: if the node has closed the connection, the next call of Answer returns Closed.
func (c *Client) Send(words ...string) *Client {
	_, _ = c.Write(respcmd.Append(nil, words...))
	return c
}

// Get sends a read with ReadExtras.
func (c *Client) Get(key, id string) *Client { return c.Send("CACHE.GET", key, id, ReadExtras) }

// ReadExtras holds the extra parameters of a read whose client waits for 2.9 s, nearly the 3 s that its class allows.
const ReadExtras = "c=read,d=2900"

// GetCommand returns the bytes of the command that Client.Get sends.
func GetCommand(key, id string) []byte { return respcmd.Append(nil, "CACHE.GET", key, id, ReadExtras) }

// Answer reads one answer and returns its line, or the value of a bulk string. It returns Closed if the connection has ended.
func (c *Client) Answer() string {
	answer, err := ReadAnswer(c.Reader)
	if err != nil {
		return Closed
	}
	return answer
}

// ReadAnswer reads one answer and returns its line, or the value of a bulk string.
func ReadAnswer(reader *bufio.Reader) (string, error) {
	header, err := reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	header = strings.TrimSuffix(header, "\r\n")
	length, isValue := strings.CutPrefix(header, "$")
	if !isValue || length == "-1" {
		return header, nil
	}
	size, err := strconv.Atoi(length)
	if err != nil {
		return "", fmt.Errorf("parse the length of a value: %w", err)
	}
	value := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(reader, value); err != nil {
		return "", err
	}
	return string(value[:size]), nil
}

// Want fails the test unless the next answer starts with prefix.
func (c *Client) Want(prefix string) {
	c.t.Helper()
	if got := c.Answer(); !strings.HasPrefix(got, prefix) {
		c.t.Fatalf("answer %q, want one that starts with %q", got, prefix)
	}
}

// Info returns the node's counters as text.
func (c *Client) Info() string { return c.Send("INFO").Answer() }

// Counter returns the value of a counter of the node; 0 if the node has no such counter yet.
func (c *Client) Counter(name string) int {
	c.t.Helper()
	return counterIn(c.t, c.Info(), name)
}

// counterIn returns the value of a counter in the text that INFO returns; 0 if the text does not have it.
func counterIn(t testing.TB, info, name string) int {
	t.Helper()
	for line := range strings.Lines(info) {
		value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" ")
		if !ok {
			continue
		}
		number, err := strconv.Atoi(value)
		if err != nil {
			t.Fatalf("counter %s: %v", name, err)
		}
		return number
	}
	return 0
}

// Disconnect closes the connection.
func (c *Client) Disconnect() {
	c.t.Helper()
	if err := c.Close(); err != nil {
		c.t.Fatalf("close a client's connection: %v", err)
	}
}

// IsRead reports whether the node has read all that the client has written: the receive queue of the node's socket is empty.
func (c *Client) IsRead() bool {
	c.t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		c.t.Fatalf("read the table of sockets: %v", err)
	}
	local, remote := procAddress(c.RemoteAddr()), procAddress(c.LocalAddr()) // local and remote from the node's point of view
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 4 && fields[1] == local && fields[2] == remote {
			return strings.HasSuffix(fields[4], ":00000000")
		}
	}
	return false
}

// procAddress formats an address as /proc/net/tcp does.
func procAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}
