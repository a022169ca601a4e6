package simulation

import (
	"strconv"
	"time"
)

// nonsense is what some clients send.
var nonsense = []string{"GET / HTTP/1.1\r\n\r\n", "*1\r\n$9999999999\r\n", "*-5\r\n", "*99999999999999999999\r\n", "*2\r\n$4\r\nPI", "\x00\xff\r\n",
	"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$3\r\nxyz\r\n$9\r\nc=nothing\r\n", "*3\r\n$9\r\nCACHE.GET\r\n$0\r\n\r\n$0\r\n\r\n", "*1\r\n$1\r\nx\r\n*1\r\n$"}

// abuse is a client that makes no sense: it is owed an error or a close within 3 s.
func (c *clients) abuse() {
	w := c.world
	at := w.rng.IntN(len(w.nodes))
	near := w.nodes[at].accept()
	if near == nil {
		return
	}
	incarnation, done := w.nodes[at].incarnation, false
	text := nonsense[w.rng.IntN(len(nonsense))]
	near.data = func([]byte, Time) { done = true }
	near.ended = func(bool) { done = true }
	w.logEvent("rude", strconv.Quote(text))
	near.write([]byte(text))
	w.after(3*time.Second, func() {
		if !done && w.nodes[at].incarnation == incarnation {
			w.violation(InvariantAbusiveClient, "node %d left a client with %q alone", at, text)
		}
		near.close()
	})
}
