package simulation

import (
	"strconv"
	"time"
)

// abuseTimeout is the time within which the protocol requires a node to react to malformed input: the node has to send an error
// or close the connection.
const abuseTimeout = 3 * time.Second

// malformedInputs lists the malformed or incomplete inputs that abusive clients send.
var malformedInputs = []string{"GET / HTTP/1.1\r\n\r\n", "*1\r\n$9999999999\r\n", "*-5\r\n", "*99999999999999999999\r\n", "*2\r\n$4\r\nPI", "\x00\xff\r\n",
	"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$3\r\nxyz\r\n$9\r\nc=nothing\r\n", "*3\r\n$9\r\nCACHE.GET\r\n$0\r\n\r\n$0\r\n\r\n", "*1\r\n$1\r\nx\r\n*1\r\n$"}

// connectAbusiveClient connects a client that sends one malformed input. It checks that the node sends an error to the client, or
// closes the connection, within abuseTimeout.
func (c *clients) connectAbusiveClient() {
	world := c.world
	node := world.rng.IntN(len(world.nodes))
	stream := world.nodes[node].accept()
	if stream == nil {
		return
	}
	incarnation, isAnswered := world.nodes[node].incarnation, false
	text := malformedInputs[world.rng.IntN(len(malformedInputs))]
	stream.data = func([]byte, Time) { isAnswered = true }
	stream.ended = func(bool) { isAnswered = true }
	world.logEvent("rude", strconv.Quote(text))
	stream.write([]byte(text))
	world.after(abuseTimeout, func() {
		if !isAnswered && world.nodes[node].incarnation == incarnation {
			world.violation(InvariantAbusiveClient, "node %d left a client with %q alone", node, text)
		}
		stream.close()
	})
}
