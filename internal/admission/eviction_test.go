package admission

import (
	"testing"
	"time"
)

// regularClient makes a request at even intervals, and reconnects when it was disconnected.
type regularClient struct {
	id             uint64
	next           Time // request
	interval       time.Duration
	isDisconnected bool
}

// crowd is a table with regular clients, and with others that connect at even intervals and never close.
type crowd struct {
	table    *ConnectionTable
	regulars []*regularClient
	lastID   uint64

	opened, notAdmitted, reconnects int
}

func newCrowd(maxConnections, regulars int) *crowd {
	c := &crowd{table: newTable(maxConnections)}
	for range regulars { // they are connected before the others come
		c.lastID++
		c.table.Accepted(0, c.lastID)
		c.regulars = append(c.regulars, &regularClient{id: c.lastID, next: time.Duration(c.lastID) * 7 * ms, interval: 150 * ms})
	}
	return c
}

func (c *crowd) close(now Time, ids ...uint64) {
	for _, id := range ids {
		c.table.Closed(now, id)
		if id <= uint64(len(c.regulars)) {
			c.regulars[id-1].isDisconnected = true
		}
	}
}

// connect opens a connection of the crowd.
func (c *crowd) connect(now Time, sendsRequest bool) {
	c.opened++
	ok, victim, found := c.table.Admit(now)
	if !ok {
		c.notAdmitted++
		if found {
			c.close(now, victim)
		}
		return
	}
	c.lastID++
	c.table.Accepted(now, c.lastID)
	if sendsRequest {
		exchange(c.table, now, c.lastID, CommandRequest)
	}
}

// request makes the regular clients send what is due.
func (c *crowd) request(now Time) {
	for _, client := range c.regulars {
		if now < client.next {
			continue
		}
		if client.isDisconnected {
			c.reconnects++
			client.isDisconnected = false
			c.table.Accepted(now, client.id)
		}
		exchange(c.table, now, client.id, CommandRequest)
		client.next += client.interval
	}
}

// One-shot clients that never close, at four times the rate that the table could hold for 2 s, and 400 connections that
// send nothing, neither keep regular clients out nor cost them their connections.
func TestCrowdDoesNotDisconnectRegularClients(t *testing.T) {
	for name, test := range map[string]struct {
		interval     time.Duration // between two connections of the crowd
		sendsRequest bool
	}{"one-shot clients": {5 * ms, true}, "silent connections": {7 * ms, false}} {
		t.Run(name, func(t *testing.T) {
			c := newCrowd(100, 20) // 2 s of 200 a second would be 400
			for now := Time(0); now < 10*time.Second; now += ms {
				if now > time.Second && now%test.interval == 0 {
					c.connect(now, test.sendsRequest)
				}
				c.request(now)
				c.close(now, c.table.ExpireIdle(now, 1000)...)
			}
			t.Logf("%d opened, %d not admitted at once, %d reconnects of regular clients in %d requests",
				c.opened, c.notAdmitted, c.reconnects, 20*10000/150)
			if c.reconnects > 20 {
				t.Errorf("got %d reconnects of regular clients, want 20 at most", c.reconnects)
			}
			if test.sendsRequest && c.notAdmitted > c.opened/4 { // silent ones may wait
				t.Errorf("got %d of %d connections not admitted at once, want a quarter at most", c.notAdmitted, c.opened)
			}
		})
	}
}
