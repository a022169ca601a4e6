// Command 7 shows that a client is served the answer to an earlier request after a server of another room has sent a second copy of
// that answer some milliseconds late, when nothing else waited on the connection.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"review/rig2"
)

const (
	servers  = 4
	reads    = 2000
	writes   = 1000
	oneWay   = 1300 * time.Microsecond // between two machine rooms: 0.7 to 1.3 ms
	workTime = 3 * time.Millisecond
	lateness = 2 * time.Millisecond // of the second copy
	oneIn    = 20                   // so many answers have a second copy
	patience = 3000                 // ms
)

func valueOf(key string) string { return "value-of-" + key }

func main() {
	c := rig2.NewCase("review/7")
	origin := startOrigin(c)
	list := []rig2.Instance{{InstanceID: "origin", HostPort: c.Delayed(origin, oneWay), Zone: "room-b", MachineType: "origin", Lifecycle: "up", Weight: 1}}
	var mu sync.Mutex
	answered := 0
	for i := range servers {
		s := c.StartCache(fmt.Sprintf("box-%d", i), func(_ *rig2.CacheServer, _ *rig2.CacheConn, m rig2.Command) string {
			time.Sleep(workTime)
			return rig2.Hit(valueOf(m.Key))
		})
		s.After = func(s *rig2.CacheServer, conn *rig2.CacheConn, m rig2.Command) {
			mu.Lock()
			answered++
			isSpoilt := c.Trouble && answered%oneIn == 0
			mu.Unlock()
			if !isSpoilt || m.Probe {
				return
			}
			time.Sleep(lateness)
			if conn.Waiting() == 0 { // nothing else waits on the connection
				conn.Write(rig2.Hit(valueOf(m.Key)))
				c.Log("%s conn %d sent a second copy of the answer to id=%s", s.Name, conn.Number, m.ID)
			}
		}
		list = append(list, rig2.Instance{InstanceID: s.Name, HostPort: c.Delayed(s.Addr, oneWay), Zone: "room-b", MachineType: "standard",
			Lifecycle: "up", Weight: 1})
	}
	discovery := c.StartDiscovery(list...)
	node := c.StartNode("n0", discovery.Addr, discovery.Known(), rig2.Settings(1))
	client, err := rig2.Dial(node.Addr)
	if err != nil {
		c.Stop("client: %v", err)
	}
	for i := range reads {
		key := fmt.Sprintf("record-%d", i)
		got, err := client.Ask(5*time.Second, "CACHE.GET", key, fmt.Sprintf("id-%d", i), fmt.Sprintf("c=view-logbook,d=%d", patience))
		c.Log("the client asked for %s and got %v %v", key, got, err)
		if err != nil {
			c.Stop("the client's connection ended: %v", err)
		}
		if got.Served() && got.Text != valueOf(key) {
			c.Break("the client asked for %s and was served %s", key, got.Text)
		}
	}
	for i := range writes {
		key, id := fmt.Sprintf("record-%d", i), fmt.Sprintf("write-%d", i)
		got, err := client.Ask(5*time.Second, "CACHE.SET", key, id, fmt.Sprintf("c=sign-off,d=%d,k=%d", patience, 1000+i), "signed")
		c.Log("the client signed %s under id=%s and got %v %v", key, id, got, err)
		if err != nil {
			c.Stop("the client's connection ended: %v", err)
		}
		if got.Served() && got.Text != receiptOf(id) {
			c.Break("the client signed %s under id=%s and was served %s", key, id, got.Text)
		}
	}
	c.End()
}

func receiptOf(id string) string { return "receipt-of-" + id }

// startOrigin starts an origin that writes its answers by hand: some have a second copy, as those of the cache servers.
func startOrigin(c *rig2.Case) (addr string) {
	l := c.Listen()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveOrigin(c, conn)
		}
	}()
	return l.Addr().String()
}

func serveOrigin(c *rig2.Case, conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for answered := 1; ; answered++ {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		c.Log("origin got %s %s id=%s", request.Method, request.URL.Path, id)
		time.Sleep(workTime)
		body := receiptOf(id)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		c.Log("origin answered id=%s", id)
		if !c.Trouble || answered%oneIn != 0 {
			continue
		}
		_ = conn.SetReadDeadline(time.Now().Add(lateness))
		_, err = r.Peek(1)
		_ = conn.SetReadDeadline(time.Time{})
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) { // nothing else waits on the connection
			_, _ = io.WriteString(conn, answer)
			c.Log("origin sent a second copy of the answer to id=%s", id)
		}
	}
}
