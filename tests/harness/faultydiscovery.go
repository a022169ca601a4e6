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

// Faults that a FaultyDiscovery can have.
const (
	NoFault           DiscoveryFault = ""
	Unresponsive      DiscoveryFault = "silent"      // watches that are open stay open but get no data; new calls get a watch that works
	Reset             DiscoveryFault = "reset"       // open watches and new calls are reset
	ResetInMessage    DiscoveryFault = "half a line" // open watches are reset in the middle of a message; new calls are reset at once
	ServiceError      DiscoveryFault = "503"         // new calls get status 503; open watches end
	Hang              DiscoveryFault = "hang"        // new calls are accepted and not answered; open watches end
	ConnectionRefused DiscoveryFault = "refuse"      // new connections are refused; open watches end
)

// FaultyDiscovery is a fake discovery service with faults that SetFault chooses. A watch is a single chunked HTTP response.
type FaultyDiscovery struct {
	Address string

	t testing.TB

	mu       sync.Mutex
	changed  *sync.Cond // signalled when the fault has changed or a caller has disconnected
	listener net.Listener
	fault    DiscoveryFault
	epoch    int    // number of changes of the fault
	list     string // the line with which a watch begins
	calls    int    // number of calls since the last change of the fault
	watches  int    // number of calls since the last change of the fault that were answered with a watch
}

// NewFaultyDiscovery starts a discovery service without a fault. Its watches begin with the given line, a list as JSON.
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

// SetFault sets the fault of calls and open watches, and the line with which a watch begins, from now on.
func (d *FaultyDiscovery) SetFault(fault DiscoveryFault, list string) {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault, d.list = fault, list
	d.epoch++
	d.calls, d.watches = 0, 0
	switch {
	case fault == ConnectionRefused && d.listener != nil:
		_ = d.listener.Close() // the cleanup of the test may already have closed the listener
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

// watch is a call of a node, with the fault and the list at the time of the call.
type watch struct {
	conn         net.Conn
	fault        DiscoveryFault
	epoch        int
	list         string
	disconnected chan struct{} // closed when the caller has disconnected
}

// serve handles one call. A call that becomes a watch or hangs is kept open until the caller disconnects or a new fault ends it.
func (d *FaultyDiscovery) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the caller may already have disconnected
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
	go func() { // returns when the connection ends
		_, _ = reader.ReadByte() // fails once the caller has disconnected
		d.mu.Lock()
		defer d.mu.Unlock()
		close(call.disconnected)
		d.changed.Broadcast()
	}()
	d.waitForEnd(call)
}

// skipRequest reads the header of a request. It returns false if the caller disconnects before its end.
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

// beginCall counts a call and returns it with the current fault and list.
func (d *FaultyDiscovery) beginCall(conn net.Conn) *watch {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	w := &watch{conn: conn, fault: d.fault, epoch: d.epoch, list: d.list, disconnected: make(chan struct{})}
	if w.fault == Unresponsive {
		w.fault = NoFault // this fault hits only the watches that were already open
	}
	if w.fault == NoFault {
		d.watches++
	}
	return w
}

// sendHeartbeats writes an empty line at every watchHeartbeat until the watch has ended. It writes nothing after the fault has
// changed.
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

// waitForEnd waits until the caller has disconnected or a change of the fault ends the call.
func (d *FaultyDiscovery) waitForEnd(w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.staysOpen(w) {
		select {
		case <-w.disconnected:
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

// staysOpen reports whether a call stays open under the current fault.
func (d *FaultyDiscovery) staysOpen(w *watch) bool {
	switch {
	case d.epoch == w.epoch:
		return true
	case d.fault == Unresponsive && w.epoch == d.epoch-1:
		return true
	case d.fault == NoFault && w.fault == Hang: // a call that hangs gets no answer even after the fault is over
		return true
	}
	return false
}

// write writes to the caller. It ignores errors, as the caller may have disconnected.
func (w *watch) write(text string) { _, _ = fmt.Fprint(w.conn, text) }

// resetOnClose makes a later Close reset the connection instead of ending it in order.
func (w *watch) resetOnClose() {
	_ = w.conn.(*net.TCPConn).SetLinger(0) // the caller may already have disconnected
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
