package tests

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// peersOf gives a node's configuration messages to other nodes. What it tells all of them arrives at the socket that
// is returned; the other nodes are 127.0.0.2 and 127.0.0.3.
func (r *rig) peersOf(t *testing.T) (all *net.UDPConn, listen string) {
	t.Helper()
	udp := func(host string) *net.UDPConn {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
		if err != nil {
			t.Skipf("no socket at %s: %v", host, err) // loopback is a /8 on Linux only
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	all = udp("127.0.0.4")
	free := udp("127.0.0.1")
	listen = free.LocalAddr().String()
	free.Close()
	r.config["peer_listen"], r.config["peers_all"] = listen, all.LocalAddr().String()
	r.config["peers"] = []string{listen, "127.0.0.2:1", "127.0.0.3:1"}
	settings := r.config["settings"].(map[string]any)
	settings["replicas_of_me"] = 3
	settings["limits"].(map[string]any)["may_tell"] = true
	return all, listen
}

// A node that finds a server down tells the others, and two that say so are believed. Datagrams from elsewhere and
// garbage change nothing, and are counted.
func TestNodesTellEachOther(t *testing.T) {
	t.Parallel()
	down := newTarget(t, hit)
	down.close()
	finder := newRig(t, down, newTarget(t, hit))
	all, _ := finder.peersOf(t)
	c := finder.start().dial()
	for i := range 20 { // some of them belong to the one that is down
		c.send("CACHE.GET", fmt.Sprint("key", i), fmt.Sprint("id", i), "c=read,d=2900").want("value-")
	}
	var told []byte
	for buf := make([]byte, 512); told == nil; {
		all.SetReadDeadline(time.Now().Add(patience))
		n, err := all.Read(buf)
		if err != nil {
			t.Fatalf("nothing was told: %v; log: %s", err, &finder.log)
		}
		if n > 256 {
			t.Fatalf("a datagram of %d bytes", n)
		}
		if buf[n-1]&2 != 0 { // the flag of a silent server, in the last note
			told = append(told, buf[:n]...)
		}
	}

	up := newTarget(t, hit)
	other := newRig(t, up, newTarget(t, hit))
	_, listen := other.peersOf(t)
	c = other.start().dial()
	to, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		t.Fatal(err)
	}
	say := func(host string, data []byte) {
		from, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)}, to)
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		if _, err := from.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	counter := func(name string, n int) {
		t.Helper()
		other.until(fmt.Sprint(name, n), func() bool {
			return strings.Contains(c.send("INFO").answer(), fmt.Sprintf("%s %d\n", name, n))
		})
	}
	for range 3 {
		say("127.0.0.9", told)
	}
	say("127.0.0.2", make([]byte, 257))
	counter("peers_foreign", 4)
	say("127.0.0.2", []byte("what is this"))
	counter("peers_heard", 1)
	if n := strings.Count(other.log.String(), "peer_foreign"); n != 1 {
		t.Errorf("%d lines on foreign datagrams, want one: %s", n, &other.log)
	}
	ask := func(from int) {
		for i := from; i < from+20; i++ {
			c.send("CACHE.GET", fmt.Sprint("key", i), fmt.Sprint("id", i), "c=read,d=2900").want("value-")
		}
	}
	ask(0)
	if len(up.seen()) == 0 {
		t.Fatal("words from elsewhere took a server out of the map")
	}
	time.Sleep(600 * time.Millisecond) // a server that was heard from half a second ago is not believed silent
	say("127.0.0.2", told)
	say("127.0.0.3", told)
	other.logged("is silent: out of the map")
	before := len(up.seen())
	ask(100)
	if got := len(up.seen()) - before; got != 0 {
		t.Errorf("a server that two nodes call silent got %d reads", got)
	}
}

func TestBadPeersEndTheStart(t *testing.T) {
	t.Parallel()
	for field, value := range map[string]any{"peers_all": "nowhere", "peer_listen": "127.0.0.1:x", "peers[1]": nil} {
		r := newRig(t, newTarget(t, hit))
		r.peersOf(t)
		if value == nil {
			r.config["peers"] = []string{"127.0.0.1:1", "x"}
		} else {
			r.config[field] = value
		}
		out, err := r.write().CombinedOutput()
		if err == nil || !strings.Contains(string(out), field) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: %v, %s", field, err, out)
		}
	}
}
