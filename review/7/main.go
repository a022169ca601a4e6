// Command 7 shows that a client gets another client's value after a cache server of another room has sent a second copy of an answer
// some milliseconds late, when nothing else waited on the connection.
package main

import (
	"fmt"
	"sync"
	"time"

	"review/rig2"
)

const (
	servers  = 4
	reads    = 2000
	oneWay   = 1300 * time.Microsecond // between two machine rooms: 0.7 to 1.3 ms
	workTime = 3 * time.Millisecond
	lateness = 2 * time.Millisecond // of the second copy
	oneIn    = 20                   // so many answers have a second copy
	patience = 3000                 // ms
)

func valueOf(key string) string { return "value-of-" + key }

func main() {
	c := rig2.NewCase("review/7")
	origin := c.StartOrigin(func(m rig2.Command) (int, string) { return 200, valueOf(m.Key) })
	list := []rig2.Instance{{InstanceID: "origin", HostPort: origin.Addr, Zone: "room-a", MachineType: "origin", Lifecycle: "up", Weight: 1}}
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
	c.End()
}
