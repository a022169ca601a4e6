// Command 6 shows that a client gets another client's value after a cache server has dropped, without a word, a read with very little
// time left that was ahead on the same connection.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"review/rig2"
)

const (
	servers       = 12
	rounds        = 1
	workTime      = 5 * time.Millisecond // what a hit takes
	littleTime    = 25                   // ms; a read with less left is dropped without a word
	shortPatience = 20                   // ms; patience of the hurried clients
	longPatience  = 2000                 // ms; patience of the others
)

func valueOf(key string) string { return "value-of-" + key }

func main() {
	c := rig2.NewCase("review/6")
	var mu sync.Mutex
	servedBy := map[string]string{}
	answer := func(s *rig2.CacheServer, conn *rig2.CacheConn, m rig2.Command) string {
		mu.Lock()
		servedBy[m.Key] = s.Name
		mu.Unlock()
		if c.Trouble && m.Millis("d") < littleTime {
			c.Log("%s conn %d drops id=%s without a word", s.Name, conn.Number, m.ID)
			return ""
		}
		time.Sleep(workTime)
		return rig2.Hit(valueOf(m.Key))
	}
	origin := c.StartOrigin(func(m rig2.Command) (int, string) { return 200, valueOf(m.Key) })
	list := []rig2.Instance{{InstanceID: "origin", HostPort: origin.Addr, Zone: "room-a", MachineType: "origin", Lifecycle: "up", Weight: 1}}
	for i := range servers {
		s := c.StartCache(fmt.Sprintf("box-%d", i), answer)
		list = append(list, rig2.Instance{InstanceID: s.Name, HostPort: s.Addr, Zone: "room-a", MachineType: "standard", Lifecycle: "up", Weight: 1})
	}
	discovery := c.StartDiscovery(list...)
	node := c.StartNode("n0", discovery.Addr, discovery.Known(), rig2.Settings(1))
	first, second := dial(c, node), dial(c, node)

	// A calm beginning: each server gets reads, and the node has one connection to each.
	keys := map[string][]string{}
	for i := range 300 {
		key := fmt.Sprintf("record-%d", i)
		got, err := first.Ask(5*time.Second, "CACHE.GET", key, fmt.Sprintf("warm-%d", i), fmt.Sprintf("c=view-logbook,d=%d", longPatience))
		if err != nil || got.Text != valueOf(key) {
			c.Stop("a calm read went wrong: %v %v", got, err)
		}
		mu.Lock()
		keys[servedBy[key]] = append(keys[servedBy[key]], key)
		mu.Unlock()
	}
	for round := range rounds {
		for i := range servers {
			name := fmt.Sprintf("box-%d", i)
			if len(keys[name]) < 2*rounds {
				continue
			}
			hurried, patient := keys[name][2*round], keys[name][2*round+1]
			_ = first.Send("CACHE.GET", hurried, fmt.Sprintf("hurried-%d-%d", round, i), fmt.Sprintf("c=view-logbook,d=%d", shortPatience))
			time.Sleep(time.Millisecond)
			_ = second.Send("CACHE.GET", patient, fmt.Sprintf("patient-%d-%d", round, i), fmt.Sprintf("c=view-logbook,d=%d", longPatience))
			check(c, first, "hurried", hurried)
			check(c, second, "patient", patient)
			time.Sleep(20 * time.Millisecond)
		}
	}
	c.End()
}

func dial(c *rig2.Case, node *rig2.Node) *rig2.Client {
	client, err := rig2.Dial(node.Addr)
	if err != nil {
		c.Stop("client: %v", err)
	}
	return client
}

// check reads the answer to a read and breaks the rule if it is a value that was made for another request.
func check(c *rig2.Case, client *rig2.Client, who, key string) {
	got, err := client.Read(8 * time.Second)
	c.Log("%s client asked for %s and got %v %v", who, key, got, err)
	if err == nil && got.Served() && got.Text != valueOf(key) && strings.HasPrefix(got.Text, "value-of-") {
		c.Break("the %s client asked for %s and was served %s", who, key, got.Text)
	}
}
