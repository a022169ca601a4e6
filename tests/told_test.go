package tests

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// toldWithin is when what discovery has counts as told, once it can be reached.
const toldWithin = 6 * time.Second

// registry is a discovery service that can be made to misbehave at a moment. A watch is one chunked answer.
type registry struct {
	t    *testing.T
	addr string

	mu     sync.Mutex
	cond   *sync.Cond
	ln     net.Listener
	mode   string // "" is well
	turn   int    // changes of mode
	calls  int    // since the last
	list   string // what a watch is told first
	opened int    // watches, since the last change of mode
}

func newRegistry(t *testing.T) *registry {
	g := &registry{t: t}
	g.cond = sync.NewCond(&g.mu)
	ln, err := net.Listen("tcp", loopback())
	if err != nil {
		t.Fatal(err)
	}
	g.addr = ln.Addr().String()
	g.serve(ln)
	t.Cleanup(func() { g.set("refuse", "") })
	return g
}

func (g *registry) serve(ln net.Listener) {
	g.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go g.answer(c)
		}
	}()
}

// set changes how calls and open watches fare from now on, and what a watch is told first.
func (g *registry) set(mode, list string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode, g.list = mode, list
	g.turn++
	g.calls, g.opened = 0, 0
	switch {
	case mode == "refuse" && g.ln != nil:
		g.ln.Close()
		g.ln = nil
	case mode != "refuse" && g.ln == nil:
		ln, err := net.Listen("tcp", g.addr)
		if err != nil {
			g.t.Error(err)
			return
		}
		g.serve(ln)
	}
	g.cond.Broadcast()
}

func (g *registry) counts() (calls, opened int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls, g.opened
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func (g *registry) answer(c net.Conn) {
	defer c.Close()
	rd := bufio.NewReader(c)
	for line := ""; line != "\r\n"; {
		var err error
		if line, err = rd.ReadString('\n'); err != nil {
			return
		}
	}
	g.mu.Lock()
	g.calls++
	mode, list, turn := g.mode, g.list, g.turn
	if mode == "silent" {
		mode = "" // what was open fell silent; calls from then on are answered
	}
	if mode == "" {
		g.opened++
	}
	g.mu.Unlock()
	switch mode {
	case "503":
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	case "reset", "half a line":
		c.(*net.TCPConn).SetLinger(0)
		return
	case "":
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(list+"\n"))
	}
	beat := make(chan bool)
	defer close(beat)
	if mode == "" {
		go func() {
			for tick := time.NewTicker(time.Second); ; {
				select {
				case <-beat:
					tick.Stop()
					return
				case <-tick.C:
					g.mu.Lock()
					if g.turn == turn { // else it is silent
						fmt.Fprint(c, chunk("\n"))
					}
					g.mu.Unlock()
				}
			}
		}()
	}
	gone := make(chan bool)
	go func() {
		rd.ReadByte()
		close(gone)
		g.cond.Broadcast()
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		select {
		case <-gone:
			return
		default:
		}
		switch {
		case g.turn == turn || g.mode == "silent" && turn == g.turn-1:
		case g.mode == "half a line":
			fmt.Fprint(c, chunk(`{"generation":43,"reset":true,"inst`))
			c.(*net.TCPConn).SetLinger(0)
			return
		case g.mode == "reset":
			c.(*net.TCPConn).SetLinger(0)
			return
		case g.mode == "hang" && turn == g.turn-1:
			return // the watch ends; calls from now on hang
		case g.mode == "" && mode == "hang": // it goes on hanging
		default:
			return
		}
		g.cond.Wait()
	}
}

func text(l map[string]any) string {
	b, _ := json.Marshal(l)
	return string(b)
}

// Discovery fails in each of its ways, for some calls on end. Once it can be reached, what it has is known within the time after
// which it counts as told, also if that came in the gap, and though the waits between calls have grown.
func TestToldOnceDiscoveryCanBeReached(t *testing.T) {
	t.Parallel()
	for mode, calls := range map[string]int{"silent": 0, "reset": 5, "half a line": 5, "503": 5, "hang": 2, "refuse": 0} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			a, b := newTarget(t, hit), newTarget(t, hit)
			r := newRig(t, a, b)
			known := r.config["known"].(map[string]any)
			all := known["instances"].([]map[string]any)
			g := newRegistry(t)
			g.set("", text(list(41, true, all...)))
			r.config["discovery"] = g.addr
			free := r.address()
			free.Close()
			r.launch()
			r.until("the node watches", func() bool { _, n := g.counts(); return n == 1 })
			r.until("the node listens", r.listens)
			c := r.dial()
			for i := 0; a.connections() == 0; i++ {
				c.send("CACHE.GET", fmt.Sprint("k", i), fmt.Sprint("id", i), "c=read,d=2900").want("value-")
			}
			drains := append([]map[string]any{}, all...)
			for i, s := range drains {
				if s["instanceId"] == "s0" {
					drains[i] = instance("s0", a.addr, "box", "draining")
				}
			}
			news := text(list(43, true, drains...))
			news = strings.NewReplacer(`,"`, ",\n  \"", `}]`, "}\n]").Replace(news) // indented
			g.set(mode, news)
			began := time.Now()
			if mode != "silent" {
				if mode == "refuse" {
					r.logged("connection refused")
				}
				r.until("calls that fail", func() bool { n, _ := g.counts(); return n >= calls })
				began = time.Now()
				g.set("", news)
			}
			r.until("the drain is known", func() bool { return a.connections() == 0 })
			if took := time.Since(began); took > toldWithin {
				t.Errorf("known %v after discovery could be reached", took)
			}
		})
	}
}

// Idle clients take all descriptors that are for clients. The watch breaks just then: a new one, a cache server and the origin
// still have theirs.
func TestDescriptorsFullOfIdleClients(t *testing.T) {
	t.Parallel()
	box := newTarget(t, func(args []string) string {
		if args[1] == "there" {
			return hit(args)
		}
		return miss
	})
	r := newRig(t, box)
	r.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 128}
	r.start()
	<-r.watches
	for range 200 { // more than there are descriptors, and all stay
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
	r.changes <- "break"
	select {
	case <-r.watches:
	case <-time.After(toldWithin):
		t.Errorf("no watch is opened while clients fill the descriptors: %s", &r.log)
	}
	c := r.dial()
	c.send("CACHE.GET", "there", "id1", "c=read,d=2900").want("value-id1")
	c.send("CACHE.GET", "absent", "id2", "c=read,d=2900").want("from-origin-id2")
}
