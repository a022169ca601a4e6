package clients

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"shelfproxy/internal/socketstate"
)

const connectTimeout = time.Second

// connection is a client's connection to a node.
type connection struct {
	net.Conn
	reader     *bufio.Reader
	answeredAt time.Time   // time of the last answer; zero before the first
	isStopping func() bool // reports whether the node's process was told to end
}

// isStale reports whether the node has closed the idle connection. A client checks this before it writes.
func (c *connection) isStale() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	return err != nil || socketstate.IsReadable(raw)
}

// exchange writes a command and reads its answer.
func (c *connection) exchange(command []byte, deadline time.Time) (answer, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return answer{}, err
	}
	if _, err := c.Write(command); err != nil {
		return answer{}, err
	}
	return readAnswer(c.reader)
}

// connectionPool holds the idle connections to each node. It is safe for concurrent use.
type connectionPool struct {
	nodes []Node
	mu    sync.Mutex
	idle  [][]*connection // by node; the most recently used connection is last
}

func newConnectionPool(nodes []Node) *connectionPool {
	return &connectionPool{nodes: nodes, idle: make([][]*connection, len(nodes))}
}

// take returns the most recently used idle connection to a node, or a new connection. The caller must put the connection
// back or close it.
func (p *connectionPool) take(node int) (*connection, error) {
	for conn := p.takeIdle(node); conn != nil; conn = p.takeIdle(node) {
		if !conn.isStale() {
			return conn, nil
		}
		_ = conn.Close() // the node has already closed it, so an error does not matter
	}
	isStopping := func() bool { return false }
	if process := p.nodes[node].Process; process != nil {
		isStopping = process()
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	// The context of the run is not used: a request that was begun is finished, even if the run is interrupted.
	conn, err := dialer.DialContext(context.Background(), "tcp", p.nodes[node].Address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn), isStopping: isStopping}, nil
}

// takeIdle returns the most recently used idle connection to a node, or nil if there is none.
func (p *connectionPool) takeIdle(node int) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle[node]) - 1
	if last < 0 {
		return nil
	}
	conn := p.idle[node][last]
	p.idle[node] = p.idle[node][:last]
	return conn
}

// hasIdle reports whether there is an idle connection to a node that the node has not closed.
func (p *connectionPool) hasIdle(node int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[node]
	return len(idle) > 0 && !idle[len(idle)-1].isStale()
}

func (p *connectionPool) put(node int, conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[node] = append(p.idle[node], conn)
}

func (p *connectionPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for node, connections := range p.idle {
		for _, conn := range connections {
			_ = conn.Close() // the connection is idle, so an error loses no answer
		}
		p.idle[node] = nil
	}
}
