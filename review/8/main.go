// Command 8 shows that a read is out at two servers at the same time, although the settings allow no second copies: the node gives up a
// read at a cache server that hangs, without closing its connection, and sends it to the origin.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"review/rig2"
)

const (
	servers  = 19
	hang     = 1600 * time.Millisecond // how long a cache server hangs in the middle of its work; one at a time
	behind   = 95 * time.Millisecond   // the second read comes so long after the first one
	workTime = 5 * time.Millisecond
	slack    = 100 * time.Millisecond // for the end of a connection to arrive: the rule has 50 ms
	patience = 4800                   // ms
)

// isOver says that the case ends, and with it the node.
var isOver atomic.Bool

func valueOf(key string) string { return "value-of-" + key }

// attempts are the attempts for one request.
type attempts struct {
	mu   sync.Mutex
	open map[string]*rig2.CacheConn // by id of the request: the connection to a cache server on which it is out
}

func main() {
	c := rig2.NewCase("review/8")
	out := &attempts{open: map[string]*rig2.CacheConn{}}
	var mu sync.Mutex
	hangsUntil, servedBy := map[string]time.Time{}, map[string]string{}
	answer := func(s *rig2.CacheServer, conn *rig2.CacheConn, m rig2.Command) string {
		mu.Lock()
		until := hangsUntil[s.Name]
		servedBy[m.Key] = s.Name
		mu.Unlock()
		if m.Key[0] == 'm' { // keys that no cache server holds
			return rig2.Miss
		}
		out.mu.Lock()
		out.open[m.ID] = conn
		out.mu.Unlock()
		time.Sleep(max(workTime, time.Until(until)))
		out.mu.Lock()
		delete(out.open, m.ID)
		out.mu.Unlock()
		return rig2.Hit(valueOf(m.Key))
	}
	origin := c.StartOrigin(func(m rig2.Command) (int, string) {
		out.mu.Lock()
		earlier := out.open[m.ID]
		out.mu.Unlock()
		time.Sleep(slack)
		out.mu.Lock()
		stillOut := earlier != nil && out.open[m.ID] == earlier && !earlier.Ended()
		out.mu.Unlock()
		if stillOut {
			c.Break("id=%s key=%s came to the origin while it was out on the open connection %d to a cache server", m.ID, m.Key, earlier.Number)
		}
		return 200, valueOf(m.Key)
	})
	list := []rig2.Instance{{InstanceID: "origin", HostPort: origin.Addr, Zone: "room-a", MachineType: "origin", Lifecycle: "up", Weight: 1}}
	for i := range servers {
		s := c.StartCache(fmt.Sprintf("box-%d", i), answer)
		list = append(list, rig2.Instance{InstanceID: s.Name, HostPort: s.Addr, Zone: "room-a", MachineType: "standard", Lifecycle: "up", Weight: 1})
	}
	discovery := c.StartDiscovery(list...)
	settings := rig2.Settings(1)
	rig2.Limits(settings, "second_copies", false)
	node := c.StartNode("n0", discovery.Addr, discovery.Known(), settings)

	first := dial(c, node)
	keys := map[string][]string{}
	for i := range 500 {
		key := fmt.Sprintf("record-%d", i)
		ask(c, first, key, fmt.Sprintf("warm-%d", i))
		mu.Lock()
		keys[servedBy[key]] = append(keys[servedBy[key]], key)
		mu.Unlock()
	}
	stop := make(chan struct{})
	go background(c, node, stop) // hits at all servers, and a few misses
	time.Sleep(3 * time.Second)
	for i := range servers {
		name := fmt.Sprintf("box-%d", i)
		if len(keys[name]) < 2 {
			continue
		}
		if c.Trouble {
			mu.Lock()
			hangsUntil[name] = time.Now().Add(hang)
			mu.Unlock()
			c.Log("%s hangs", name)
		}
		var both sync.WaitGroup
		both.Go(func() { ask(c, dial(c, node), keys[name][0], fmt.Sprintf("a-%d", i)) })
		time.Sleep(behind)
		both.Go(func() { ask(c, dial(c, node), keys[name][1], fmt.Sprintf("b-%d", i)) })
		both.Wait()
		time.Sleep(300*time.Millisecond + time.Duration(i*37%250)*time.Millisecond) // not in step with the node's own timer
	}
	isOver.Store(true)
	close(stop)
	c.End()
}

func dial(c *rig2.Case, node *rig2.Node) *rig2.Client {
	client, err := rig2.Dial(node.Addr)
	if err != nil {
		c.Stop("client: %v", err)
	}
	return client
}

func ask(c *rig2.Case, client *rig2.Client, key, id string) {
	got, err := client.Ask(8*time.Second, "CACHE.GET", key, id, fmt.Sprintf("c=view-logbook,d=%d", patience))
	c.Log("the client of id=%s asked for %s and got %v %v", id, key, got, err)
	if err != nil && !isOver.Load() {
		c.Stop("the connection of id=%s ended: %v", id, err)
	}
}

// background keeps the caches and the origin at their usual, light load: 50 hits and 3 misses a second.
func background(c *rig2.Case, node *rig2.Node, stop chan struct{}) {
	hits, misses := dial(c, node), dial(c, node)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(330 * time.Millisecond):
				ask(c, misses, fmt.Sprintf("missing-%d", i), fmt.Sprintf("miss-%d", i))
			}
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			ask(c, hits, fmt.Sprintf("record-%d", 100000+i%5000), fmt.Sprintf("hit-%d", i))
		}
	}
}
