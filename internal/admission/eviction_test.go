package admission

import (
	"testing"
	"time"
)

// regularClient models a client that makes a request at even intervals, and reconnects after it was disconnected.
type regularClient struct {
	id             uint64
	next           Time // time of the next request
	interval       time.Duration
	isDisconnected bool
}

// crowd models a table with regular clients, and with other clients that connect at even intervals and never close
// their connections.
type crowd struct {
	table    *ConnectionTable
	regulars []*regularClient
	lastID   uint64

	opened, notAdmitted, reconnects int
}

func newCrowd(maxConnections, regulars int) *crowd {
	c := &crowd{table: newTable(maxConnections)}
	for range regulars { // the regular clients are connected before the others
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

// connect opens a connection of a client of the crowd, which then sends one request if sendsRequest is set.
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

// request makes the regular clients send the requests that are due.
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

// TestCrowdDoesNotDisconnectRegularClients guards against a crowd of other clients that keeps regular clients out or
// makes the table close their connections. In one case the clients of the crowd send one request each and never close
// their connections. They open 200 connections per second: four times as many as a table of 100 connections could keep
// for 2 s each. In the other case a connection that sends nothing is opened every 7 ms.
func TestCrowdDoesNotDisconnectRegularClients(t *testing.T) {
	for name, test := range map[string]struct {
		interval     time.Duration // time from one new connection of the crowd to the next
		sendsRequest bool
	}{"one-shot clients": {5 * ms, true}, "silent connections": {7 * ms, false}} {
		t.Run(name, func(t *testing.T) {
			c := newCrowd(100, 20) // space for 100 connections: 200 per second, each kept for 2 s, would need 400
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
			if test.sendsRequest && c.notAdmitted > c.opened/4 { // connections that send no request are allowed to wait for space
				t.Errorf("got %d of %d connections not admitted at once, want a quarter at most", c.notAdmitted, c.opened)
			}
		})
	}
}
