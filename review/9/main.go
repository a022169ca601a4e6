// Command 9 shows that writes of a client that has sent much at once and gone are begun long after it closed its connection.
package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"

	"review/rig2"
)

const (
	plays      = 5
	usual      = 80                     // usual clients, each with one sign-off at a time
	originTime = 800 * time.Millisecond // what the origin takes for a write under load
	writes     = 64                     // that the client sends at once
	size       = 40 << 10               // bytes of each
	patience   = 3000                   // ms
	allowed    = 300 * time.Millisecond // 100 ms by the rule, 50 ms for sockets, 150 ms for a node that is held up
)

func main() {
	c := rig2.NewCase("review/9")
	var mu sync.Mutex
	closedAt := map[string]time.Time{} // by play: when its client closed the connection
	late, longest := map[string]int{}, map[string]time.Duration{}
	origin := c.StartOrigin(func(m rig2.Command) (int, string) {
		mu.Lock()
		if play, _, ok := strings.Cut(m.ID, "/"); ok && !closedAt[play].IsZero() {
			if after := m.At.Sub(closedAt[play]); after > allowed {
				late[play]++
				longest[play] = max(longest[play], after)
			}
		}
		mu.Unlock()
		time.Sleep(originTime)
		return 200, "receipt-of-" + m.ID
	})
	list := []rig2.Instance{{InstanceID: "origin", HostPort: origin.Addr, Zone: "room-a", MachineType: "origin", Lifecycle: "up", Weight: 1}}
	for i := range 4 {
		s := c.StartCache(fmt.Sprintf("box-%d", i), func(*rig2.CacheServer, *rig2.CacheConn, rig2.Command) string { return rig2.Miss })
		list = append(list, rig2.Instance{InstanceID: s.Name, HostPort: s.Addr, Zone: "room-a", MachineType: "standard", Lifecycle: "up", Weight: 1})
	}
	discovery := c.StartDiscovery(list...)
	rig2.MemoryMB, rig2.Sockets = 64, 512
	node := c.StartNode("n0", discovery.Addr, discovery.Known(), rig2.Settings(1))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range usual {
		clients.Go(func() { signOff(c, node, i, stop) })
	}
	time.Sleep(2 * time.Second)
	for play := range plays {
		name := fmt.Sprintf("play-%d", play)
		client, err := rig2.Dial(node.Addr)
		if err != nil {
			c.Stop("client: %v", err)
		}
		var all bytes.Buffer
		value := strings.Repeat("x", size)
		for i := range writes {
			args := []string{"CACHE.SET", fmt.Sprintf("record-%d-%d", play, i), fmt.Sprintf("%s/%d", name, i),
				fmt.Sprintf("c=sign-off,d=%d,k=%d", patience, 100*play+i), value}
			fmt.Fprintf(&all, "*%d\r\n", len(args))
			for _, arg := range args {
				all.WriteString(rig2.Bulk(arg))
			}
		}
		began := time.Now()
		sent := make(chan error, 1)
		go func() { _, err := client.Net.Write(all.Bytes()); sent <- err }()
		if c.Trouble {
			select {
			case err = <-sent:
			case <-time.After(30 * time.Millisecond): // it goes though not all of it is out
			}
			client.Close()
			mu.Lock()
			closedAt[name] = time.Now()
			mu.Unlock()
			c.Log("%s: the client closed its connection after %v (%v)", name, time.Since(began), err)
			time.Sleep(4 * time.Second)
		} else {
			for range writes {
				if _, err := client.Read(8 * time.Second); err != nil {
					c.Stop("%s: %v", name, err)
				}
			}
			client.Close()
		}
		mu.Lock()
		c.Log("%s: %d writes were begun over %v after the close, the last %v after it", name, late[name], allowed, longest[name])
		if late[name] > 0 {
			c.Break("%s: %d writes were begun over %v after their client had closed its connection, the last %v after it", name, late[name],
				allowed, longest[name])
		}
		mu.Unlock()
	}
	close(stop)
	clients.Wait()
	c.End()
}

// signOff is a usual client: it signs one record after the other.
func signOff(c *rig2.Case, node *rig2.Node, number int, stop chan struct{}) {
	client, err := rig2.Dial(node.Addr)
	if err != nil {
		c.Stop("client: %v", err)
	}
	defer client.Close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("usual-%d-%d", number, i)
		if _, err := client.Ask(8*time.Second, "CACHE.SET", "record-"+id, id, fmt.Sprintf("c=sign-off,d=%d,k=%d", patience, number), "signed"); err != nil {
			client.Close()
			if client, err = rig2.Dial(node.Addr); err != nil {
				c.Stop("client: %v", err)
			}
		}
	}
}
