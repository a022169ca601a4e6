package listener

import "time"

// While its client may have closed unseen, a request that has earlier ones ahead on its connection is withheld: it is read, which may
// bring the close to light, but not handed over. The response to an earlier one shows whether the client is there.

// withhold keeps the request of a slot from the handler.
func (c *Conn) withhold(slot *ResponseSlot) {
	slot.isWithheld = true
	c.withheld++
}

// hasWithheld reports whether requests of the connection are withheld.
func (c *Conn) hasWithheld() bool { return c.withheld > 0 }

// handOverWithheld hands over the requests that are withheld, if the client is there. The first request of the connection is handed over
// in any case, as no response is to come before its own.
func (c *Core) handOverWithheld(now time.Time, conn *Conn, effects *Effects) {
	if !conn.hasWithheld() {
		return
	}
	isThere := !conn.mayHaveLeft(now)
	for i, slot := range conn.slots {
		if slot.isWithheld && (isThere || i == 0) {
			slot.isWithheld = false
			conn.withheld--
			effects.add(HandleRequest, conn, slot.request)
		}
	}
}
