package harness

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// DiscoveryFault is a way in which a FaultyDiscovery fails.
type DiscoveryFault string

// Faults of discovery.
const (
	NoFault           DiscoveryFault = ""
	Unresponsive      DiscoveryFault = "silent"      // open watches fall silent; calls from then on are answered
	Reset             DiscoveryFault = "reset"       // open watches and calls are reset
	ResetInMessage    DiscoveryFault = "half a line" // open watches are reset in the middle of a message, calls at once
	ServiceError      DiscoveryFault = "503"         // calls are answered 503; open watches end
	Hang              DiscoveryFault = "hang"        // calls are accepted and not answered; open watches end
	ConnectionRefused DiscoveryFault = "refuse"      // nothing listens; open watches end
)

// FaultyDiscovery is a discovery service that fails in one way after another. A watch is one chunked answer.
type FaultyDiscovery struct {
	Address string

	t testing.TB

	mu       sync.Mutex
	changed  *sync.Cond // the fault has changed, or a caller has hung up
	listener net.Listener
	fault    DiscoveryFault
	epoch    int    // number of changes of the fault
	list     string // the line with which a watch begins
	calls    int    // since the last change of the fault
	watches  int    // calls among them that were answered with a watch
}

// NewFaultyDiscovery starts a discovery service without a fault, whose watches begin with a list.
func NewFaultyDiscovery(t testing.TB, list string) *FaultyDiscovery {
	t.Helper()
	d := &FaultyDiscovery{t: t, list: list}
	d.changed = sync.NewCond(&d.mu)
	listener := Listen(t, LoopbackAddress())
	d.Address = listener.Addr().String()
	d.listen(listener)
	t.Cleanup(func() { d.SetFault(ConnectionRefused, "") })
	return d
}

func (d *FaultyDiscovery) listen(listener net.Listener) {
	d.listener = listener
	ServeConnections(listener, d.serve)
}

// SetFault changes how calls and open watches fare from now on, and the line with which a watch begins.
func (d *FaultyDiscovery) SetFault(fault DiscoveryFault, list string) {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault, d.list = fault, list
	d.epoch++
	d.calls, d.watches = 0, 0
	switch {
	case fault == ConnectionRefused && d.listener != nil:
		_ = d.listener.Close() // the end of the test may have closed it
		d.listener = nil
	case fault != ConnectionRefused && d.listener == nil:
		d.listen(Listen(d.t, d.Address))
	}
	d.changed.Broadcast()
}

// Calls returns the number of calls since the last change of the fault, and how many of them were answered with a watch.
func (d *FaultyDiscovery) Calls() (calls, watches int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls, d.watches
}

// watch is a call and what it met when it began.
type watch struct {
	conn   net.Conn
	fault  DiscoveryFault
	epoch  int
	list   string
	hungUp chan struct{} // closed when the caller has hung up
}

// serve answers a call, and keeps it as a watch for as long as the fault allows.
func (d *FaultyDiscovery) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the caller may have hung up
	reader := bufio.NewReader(conn)
	if !skipRequest(reader) {
		return
	}
	call := d.beginCall(conn)
	switch call.fault {
	case ServiceError:
		call.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	case Reset, ResetInMessage:
		call.resetOnClose()
		return
	case NoFault:
		call.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(call.list+"\n"))
		ended := make(chan struct{})
		defer close(ended)
		go d.sendHeartbeats(call, ended)
	}
	go func() { // ends with the connection
		_, _ = reader.ReadByte() // fails once the caller has hung up
		d.mu.Lock()
		defer d.mu.Unlock()
		close(call.hungUp)
		d.changed.Broadcast()
	}()
	d.waitForEnd(call)
}

// skipRequest reads the header of a request; false if the caller has hung up.
func skipRequest(reader *bufio.Reader) bool {
	for {
		header, err := reader.ReadString('\n')
		if err != nil {
			return false
		}
		if header == "\r\n" {
			return true
		}
	}
}

// beginCall counts a call and returns what it meets.
func (d *FaultyDiscovery) beginCall(conn net.Conn) *watch {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	w := &watch{conn: conn, fault: d.fault, epoch: d.epoch, list: d.list, hungUp: make(chan struct{})}
	if w.fault == Unresponsive {
		w.fault = NoFault // only what was open is unresponsive
	}
	if w.fault == NoFault {
		d.watches++
	}
	return w
}

// sendHeartbeats writes an empty line now and then while the fault stays as it is, until the watch has ended.
func (d *FaultyDiscovery) sendHeartbeats(w *watch, ended <-chan struct{}) {
	ticker := time.NewTicker(watchHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			d.mu.Lock()
			if d.epoch == w.epoch {
				w.write(chunk("\n"))
			}
			d.mu.Unlock()
		}
	}
}

// waitForEnd returns when the caller has hung up or a change of the fault ends the call.
func (d *FaultyDiscovery) waitForEnd(w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.staysOpen(w) {
		select {
		case <-w.hungUp:
			return
		default:
		}
		d.changed.Wait()
	}
	switch d.fault {
	case ResetInMessage:
		w.write(chunk(`{"generation":43,"reset":true,"inst`))
		w.resetOnClose()
	case Reset:
		w.resetOnClose()
	}
}

// staysOpen reports whether a call stays open under the present fault.
func (d *FaultyDiscovery) staysOpen(w *watch) bool {
	switch {
	case d.epoch == w.epoch:
		return true
	case d.fault == Unresponsive && w.epoch == d.epoch-1:
		return true
	case d.fault == NoFault && w.fault == Hang: // it goes on hanging
		return true
	}
	return false
}

// write writes to a caller, who may have hung up.
func (w *watch) write(text string) { _, _ = fmt.Fprint(w.conn, text) }

// resetOnClose has the connection reset instead of closed in order.
func (w *watch) resetOnClose() {
	_ = w.conn.(*net.TCPConn).SetLinger(0) // the caller may have hung up
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
