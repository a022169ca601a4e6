// Command 7 shows that a node goes on sending to a cache server that drains, as each new configuration has it give up the call to
// discovery that is about to be answered.
package main

import (
	"fmt"
	"sync"
	"time"

	"review/rig2"
)

const (
	servers   = 12
	answerIn  = 1700 * time.Millisecond // discovery answers a call so late; a call fails after 2 s
	between   = 1500 * time.Millisecond // from one new configuration to the next
	reloads   = 8
	drainsAt  = 200 * time.Millisecond // after the first new configuration
	knownIn   = 6 * time.Second        // a change counts as told so long after discovery had it, at the latest
	grace     = 2500 * time.Millisecond
	slack     = 200 * time.Millisecond // 50 ms for sockets, 150 ms for a node that is held up
	runsFor   = 14 * time.Second
	betweenIn = 20 * time.Millisecond // between two reads
)

func valueOf(key string) string { return "value-of-" + key }

func main() {
	c := rig2.NewCase("review/7")
	origin := c.StartOrigin(func(m rig2.Command) (int, string) { return 200, valueOf(m.Key) })
	list := []rig2.Instance{{InstanceID: "origin", HostPort: origin.Addr, Zone: "room-a", MachineType: "origin", Lifecycle: "up", Weight: 1}}
	var mu sync.Mutex
	var drainedAt time.Time // when discovery had the change
	last := time.Duration(0)
	servedBy := map[string]string{}
	for i := range servers {
		s := c.StartCache(fmt.Sprintf("box-%d", i), func(s *rig2.CacheServer, _ *rig2.CacheConn, m rig2.Command) string {
			mu.Lock()
			defer mu.Unlock()
			servedBy[m.Key] = s.Name
			if s.Name == "box-0" && !drainedAt.IsZero() {
				last = m.At.Sub(drainedAt)
			}
			return rig2.Hit(valueOf(m.Key))
		})
		list = append(list, rig2.Instance{InstanceID: s.Name, HostPort: s.Addr, Zone: "room-a", MachineType: "standard", Lifecycle: "up", Weight: 1})
	}
	discovery := c.StartDiscovery(list...)
	node := c.StartNode("n0", discovery.Addr, discovery.Known(), rig2.Settings(1))
	client, err := rig2.Dial(node.Addr)
	if err != nil {
		c.Stop("client: %v", err)
	}
	read := func(i int, key string) {
		got, err := client.Ask(5*time.Second, "CACHE.GET", key, fmt.Sprintf("id-%d", i), "c=view-logbook,d=3000")
		if err != nil {
			c.Stop("a client's connection ended: %v", err)
		}
		c.Log("the client asked for %s and got %v", key, got)
	}
	number := 0
	var keys []string // keys of the server that will drain
	for ; number < 200; number++ {
		key := fmt.Sprintf("record-%d", number)
		read(number, key)
		if mu.Lock(); servedBy[key] == "box-0" {
			keys = append(keys, key)
		}
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	if len(keys) == 0 {
		c.Stop("no key of box-0")
	}

	go func() {
		leave := discovery.Leave
		for i := range reloads {
			if c.Trouble {
				discovery.Answer = answerIn
			}
			addr, leaveNext := discovery.Open()
			if c.Trouble || i == 0 { // without the disruption there is one new configuration, and discovery answers at once
				if err := node.Reload(addr); err != nil {
					c.Stop("reload: %v", err)
				}
				c.Log("new configuration %d: discovery is at %s", i, addr)
				leave()
				leave = leaveNext
			}
			time.Sleep(between)
		}
	}()
	time.Sleep(drainsAt)
	for _, entry := range list {
		if entry.InstanceID == "box-0" {
			entry.Lifecycle = "draining"
			mu.Lock()
			drainedAt = time.Now()
			mu.Unlock()
			discovery.Change(entry)
		}
	}
	for began := time.Now(); time.Since(began) < runsFor; number++ {
		read(number, keys[number%len(keys)])
		time.Sleep(betweenIn)
	}
	mu.Lock()
	defer mu.Unlock()
	c.Log("the last command came to box-0 %v after discovery had its drain", last)
	if allowed := knownIn + grace + slack; last > allowed {
		c.Break("box-0 was sent work %v after discovery had its drain; %v is allowed", last, allowed)
	}
	c.End()
}
