package tests

import (
	"fmt"
	"testing"
	"time"

	"shelfproxy/tests/harness"
)

// Tests of a node that does not run for a moment: what came meanwhile has come, though the node has not read it.

// Report 7e0653: a node ended connections as idle on which requests waited to be read.
func TestRequestThatCameDuringAPauseKeepsItsConnection(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t, harness.NewCacheServer(t, harness.Hit))
	const idle, clients = time.Second, 24
	node.Operator = fmt.Sprintf("[listener]\nidle = %q\n", idle)
	node.Start()
	var resting []*harness.Client
	for i := range clients {
		client := node.Dial()
		client.Get("k", fmt.Sprint("first", i)).Want("value-first")
		resting = append(resting, client)
	}
	node.Process.Pause()
	for i, client := range resting {
		client.Get("k", fmt.Sprint("second", i))
	}
	time.Sleep(idle + idle/2) // the time of the idle connections is over
	node.Process.Resume()
	for i, client := range resting {
		if got, want := client.Answer(), fmt.Sprint("value-second", i); got != want {
			t.Errorf("client %d got %q on its connection, want %q", i, got, want)
		}
	}
}
