package tests

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Tests of docs/crossings.md on real sockets. Each forces two events to cross by a condition that it waits for, never by time.

// patient has clients wait for a minute at most, so that a busy machine changes nothing.
func (r *rig) patient() {
	for _, lane := range r.config["settings"].(map[string]any)["lanes"].([]any) {
		lane.(map[string]any)["deadline"] = 60000000
	}
}

// counted waits for a counter of the node.
func (r *rig) counted(name string, n int) {
	r.t.Helper()
	c := r.dial()
	defer c.Close()
	r.until(fmt.Sprint(name, " ", n), func() bool { return c.counter(name) == n })
}

// isRead tells whether the node has read all that this client wrote: its end of the connection holds nothing.
func (c *client) isRead() bool {
	hex := func(a net.Addr) string {
		t := a.(*net.TCPAddr)
		ip := t.IP.To4()
		return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], t.Port)
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		c.t.Fatal(err)
	}
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > 4 && f[1] == hex(c.RemoteAddr()) && f[2] == hex(c.LocalAddr()) {
			return strings.HasSuffix(f[4], ":00000000")
		}
	}
	return false
}

// pause stops the node until SIGCONT.
func (r *rig) pause() {
	r.cmd.Process.Signal(syscall.SIGSTOP)
	r.until("the node stands still", func() bool {
		stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
		return bytes.Contains(stat, []byte(") T "))
	})
}

// closedDoor is a cache server whose listening queue is full: a dial to it does not come up before open is called.
type closedDoor struct {
	ln     *net.TCPListener
	filler []net.Conn
}

func newClosedDoor(t *testing.T) *closedDoor {
	ln, err := net.Listen("tcp", loopback())
	if err != nil {
		t.Fatal(err)
	}
	d := &closedDoor{ln: ln.(*net.TCPListener)}
	raw, err := d.ln.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }) // its queue holds one
	if err != nil {
		t.Fatal(err)
	}
	for full := false; !full; { // a dial that does not come up at once finds it full
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 300*time.Millisecond)
		if full = err != nil; !full {
			d.filler = append(d.filler, c)
		}
	}
	t.Cleanup(d.close)
	return d
}

func (d *closedDoor) close() {
	d.ln.Close()
	for _, c := range d.filler {
		c.Close()
	}
}

// open lets what waits come up, and serves it.
func (d *closedDoor) open(s *target, handle func([]string) string) {
	for range d.filler {
		if c, err := d.ln.Accept(); err == nil {
			c.Close()
		}
	}
	go func() {
		for {
			c, err := d.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, handle)
		}
	}()
}

// newRigBehindADoor starts a node whose one cache server is behind a closed door, for which it waits as long as its clients do.
func newRigBehindADoor(t *testing.T) (*rig, *closedDoor, *target) {
	door := newClosedDoor(t)
	box := &target{addr: door.ln.Addr().String()}
	r := newRig(t, box)
	set(r.config, "limits")["connect_timeout"] = 60000000
	r.patient()
	return r.start(), door, box
}

// A client leaves while the connection that its request waits for is not up. It comes up, and carries the next request only.
func TestGoneBeforeTheConnectionIsUp(t *testing.T) {
	t.Parallel()
	r, door, box := newRigBehindADoor(t)
	gone := r.dial().send("CACHE.GET", "k", "gone", "c=read,d=60000")
	r.counted("forwards_sent{class=\"read\"}", 1)
	gone.Close()
	r.counted("flows_client_left", 1)
	door.open(box, hit)
	r.dial().send("CACHE.GET", "k", "next", "c=read,d=60000").want("value-next")
	for _, cmd := range box.seen() {
		if cmd[2] != "next" {
			t.Errorf("%v is sent on after its client left", cmd)
		}
	}
}

// A client sends more commands than may wait for answers, so the node does not read them all, and leaves. That is seen over the
// unread bytes, and none of these commands is sent on.
func TestGoneBehindUnreadCommands(t *testing.T) {
	t.Parallel()
	box, release := stuckTarget(t)
	r := newRig(t, box)
	r.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 256}
	r.patient()
	r.start()
	const most = 16 // that one connection may have out at this memory
	var all bytes.Buffer
	for i := range 2 * most {
		id := fmt.Sprint(i)
		fmt.Fprintf(&all, "*4\r\n$9\r\nCACHE.GET\r\n$5\r\nstuck\r\n$%d\r\n%s\r\n$14\r\nc=read,d=60000\r\n", len(id), id)
	}
	gone := r.dial()
	gone.Write(all.Bytes())
	info := r.dial()
	r.until("as many are taken as may be", func() bool { return info.counter("flows_in{class=\"read\"}") == most })
	gone.Close()
	r.counted("flows_client_left", most)
	close(release)
	info.send("CACHE.GET", "other", "last", "c=read,d=60000").want("value-last")
	if n := info.counter("flows_in{class=\"read\"}"); n != most+1 {
		t.Errorf("%d requests were taken, want those %d and the last", n, most)
	}
}

// Clients send many requests and leave while the node does not run. As it runs again it finds both, and sends nothing on: not
// even the first ones, while the end still lies behind the others.
func TestGoneWhileTheNodeIsPaused(t *testing.T) {
	t.Parallel()
	box := newTarget(t, hit)
	r := newRig(t, box)
	r.config["limits"] = map[string]any{"cores": 4.0, "memory_mb": 192, "sockets": 1024} // its parts run side by side
	r.start()
	kept := r.dial()
	kept.send("CACHE.GET", "k", "before", "c=read,d=2900").want("value-before")
	gone := []*client{kept, r.dial()} // on a connection that it has, and on one that is not accepted yet
	r.pause()
	for _, c := range gone {
		for i := range 80 {
			c.send("CACHE.GET", "k", fmt.Sprint("gone", i, c.LocalAddr()), "c=read,d=2900")
		}
		c.Close()
	}
	r.cmd.Process.Signal(syscall.SIGCONT)
	r.dial().send("CACHE.GET", "k", "next", "c=read,d=2900").want("value-next")
	sent := 0
	for _, cmd := range box.seen() {
		if strings.HasPrefix(cmd[2], "gone") {
			sent++
		}
	}
	if sent > 0 {
		t.Errorf("%d are sent on after their clients left", sent)
	}
}

// A client whose framing is broken sends on and on. The node's error reaches it, and then an end in order: no reset over the
// bytes that nobody read.
func TestErrorIsNotLostOverUnreadBytes(t *testing.T) {
	t.Parallel()
	r := newRig(t).start()
	c := r.dial()
	go c.Write(append([]byte("nonsense\r\n"), make([]byte, 64<<10)...))
	c.want("-ERR")
	if _, err := c.rd.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the error: %v, want an end in order", err)
	}
}

// SIGTERM, and what each client has just then: half a command that comes whole is answered; so are a request that is out and
// those behind it; on a connection that the node has shut nothing more is read and sent on, however it ends.
func TestShutdownWithCommandsOnTheirWay(t *testing.T) {
	t.Parallel()
	box, release := stuckTarget(t)
	r := newRig(t, box).start()
	command := "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$4\r\nhalf\r\n$13\r\nc=read,d=2900\r\n"
	half, busy, idle := r.dial(), r.dial(), r.dial()
	idle.send("CACHE.GET", "k", "first", "c=read,d=2900").want("value-first")
	half.send("PING").want("+PONG") // it is taken from the queue of the listening socket
	busy.send("CACHE.GET", "stuck", "out", "c=read,d=2900").send("CACHE.GET", "k", "behind", "c=read,d=2900")
	r.until("they are out", func() bool { return len(box.seen()) >= 2 })
	half.Write([]byte(command[:30]))
	r.until("half a command is read", half.isRead)
	r.cmd.Process.Signal(syscall.SIGTERM)
	r.logged("stopping")
	half.Write([]byte(command[30:]))
	half.want("value-half")
	if got := idle.answer(); got != "closed" { // it rests until the node ends it
		t.Fatalf("an idle connection got %q", got)
	}
	idle.send("CACHE.GET", "k", "late", "c=read,d=2900")
	close(release)
	busy.want("value-out")
	busy.want("value-behind")
	for _, c := range []*client{half, busy, idle} {
		if got := c.answer(); got != "closed" {
			t.Errorf("after the last answer came %q", got)
		}
	}
	if err := <-r.exited; err != nil {
		t.Errorf("the node ended with %v", err)
	}
	r.exited <- nil
	for _, cmd := range box.seen() {
		if cmd[2] == "late" {
			t.Errorf("%v was read after the shutdown and sent on", cmd)
		}
	}
}

// SIGTERM while the address is still taken: the node ends at once and in order.
func TestShutdownBeforeTheAddressIsFree(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	taken := r.address()
	defer taken.Close()
	r.launch()
	r.logged("address_taken")
	r.cmd.Process.Signal(syscall.SIGTERM)
	err := <-r.exited
	if err != nil || strings.Contains(r.log.String(), "in use") {
		t.Errorf("it ended with %v: %s", err, &r.log)
	}
	r.exited <- nil
}

// A server closes the connection that rests just as a request comes, while the node does not run. As it runs again it finds both:
// the request is not written to the closed connection, where it would be lost.
func TestClosedAsARequestComes(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var rests []net.Conn
	box := newTarget(t, hit)
	between, err := net.Listen("tcp", loopback()) // what the node takes for the server
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { between.Close() })
	go func() {
		for {
			c, err := between.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			rests = append(rests, c)
			mu.Unlock()
			go box.serve(c, hit)
		}
	}()
	box.addr = between.Addr().String()
	r := newRig(t, box).start()
	c := r.dial()
	c.send("CACHE.GET", "k", "first", "c=read,d=2900").want("value-first")
	r.pause()
	mu.Lock()
	for _, k := range rests {
		k.(*net.TCPConn).SetLinger(0)
		k.Close()
	}
	mu.Unlock()
	c.send("CACHE.GET", "k", "second", "c=read,d=2900")
	r.cmd.Process.Signal(syscall.SIGCONT)
	c.want("value-second")
	if n := c.counter(`forwards_ended{class="read",end="broken"}`); n > 0 {
		t.Errorf("%d were written to a connection that had ended", n)
	}
}

// A server begins to drain while a request waits for the connection to it. The request goes elsewhere, and nothing to the server,
// though the connection comes up.
func TestDrainsBeforeTheConnectionIsUp(t *testing.T) {
	t.Parallel()
	r, door, box := newRigBehindADoor(t)
	c := r.dial().send("CACHE.GET", "k", "id", "c=read,d=60000")
	r.counted(`forwards_sent{class="read"}`, 1)
	r.tell(list(43, false, instance("s0", box.addr, "box", "draining")))
	c.want("from-origin-id")
	door.open(box, hit)
	c.send("CACHE.GET", "k", "next", "c=read,d=60000").want("from-origin-next")
	if got := box.seen(); len(got) > 0 {
		t.Errorf("%v is sent to a server that drains", got)
	}
}

// SIGTERM comes twice, and a reload just before: what is out is answered, and the node ends in order.
func TestShutdownTwiceAndInAReload(t *testing.T) {
	t.Parallel()
	box, release := stuckTarget(t)
	r := newRig(t, box).start()
	c := r.dial().send("CACHE.GET", "stuck", "out", "c=read,d=2900")
	r.until("it is out", func() bool { return len(box.seen()) == 1 })
	text, err := os.ReadFile(r.path)
	if err != nil {
		t.Fatal(err)
	}
	r.replace(strings.Replace(string(text), `"discovery":"`, `"discovery":"127.0.0.1:1","was":"`, 1))
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		r.cmd.Process.Signal(s)
	}
	if got := r.dial().send("PING").answer(); got != "+PONG" { // it goes on taking for the grace
		t.Errorf("after SIGTERM PING got %q", got)
	}
	r.cmd.Process.Signal(syscall.SIGTERM)
	close(release)
	c.want("value-out")
	if err := <-r.exited; err != nil {
		t.Errorf("the node ended with %v: %s", err, &r.log)
	}
	r.exited <- nil
}

// Ten nodes start at once, with discovery down and their addresses taken for a moment by those before: all answer PING within 10 s.
func TestTenStartWithoutDiscovery(t *testing.T) {
	t.Parallel()
	var rigs []*rig
	var taken []net.Listener
	for range 10 {
		r := newRig(t, newTarget(t, hit))
		r.config["discovery"] = "127.0.0.1:1"
		taken = append(taken, r.address())
		rigs = append(rigs, r)
	}
	began := time.Now()
	for _, r := range rigs {
		r.launch()
	}
	for i, r := range rigs {
		r.logged("address_taken")
		taken[i].Close()
	}
	for _, r := range rigs {
		r.until("the node listens", r.listens)
		r.dial().send("PING").want("+PONG")
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("ready after %v", took)
	}
	rigs[0].dial().send("CACHE.GET", "k", "id", "c=read,d=2900").want("value-id") // by the list that it is told at its start
}

// A server begins to drain while it is at work, and stops in the middle of an answer. What it had begun is waited for, and nothing
// else is sent there; half an answer that never ends reaches nobody, and its client is answered in its time.
func TestDrainsInTheMiddleOfItsWork(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	box := newTarget(t, func(args []string) string {
		switch args[1] {
		case "slow":
			<-release
		case "half":
			return "*3\r\n$10\r\nhal"
		}
		return hit(args)
	})
	r := newRig(t, box).start()
	slow := r.dial().send("CACHE.GET", "slow", "slow", "c=read,d=2900")
	r.until("it is out", func() bool { return len(box.seen()) == 1 })
	half := r.dial().send("CACHE.GET", "half", "half", "c=read,d=900")
	r.until("the other too", func() bool { return len(box.seen()) == 2 })
	r.tell(list(43, false, instance("s0", box.addr, "box", "draining")))
	r.counted("discovery_lists", 2) // the watch's first one, and the drain
	next := r.dial()
	next.send("CACHE.GET", "k", "next", "c=read,d=2900").want("from-origin-next")
	half.want("-")
	close(release)
	slow.want("value-slow")
	next.send("CACHE.GET", "half", "again", "c=read,d=2900").want("from-origin-again")
	if n := len(box.seen()); n != 2 {
		t.Errorf("%d requests came to a server that drains, want the first two", n)
	}
}
