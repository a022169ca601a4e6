package tests

import (
	"fmt"
	"strconv"
	"strings"
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

// timeoutTold returns the time, in milliseconds, that a command tells a cache server its client waits for.
func timeoutTold(t *testing.T, command []string) time.Duration {
	t.Helper()
	_, value, _ := strings.Cut(command[3], "d=")
	milliseconds, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("the time that %v tells: %v", command, err)
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// A client's time runs while the node does not: the node answers by its end, and tells cache servers no more than what is left. The
// platform allows 150 ms beyond.
func TestClientsTimeRunsWhileTheNodeDoesNot(t *testing.T) {
	t.Parallel()
	for _, order := range [][]string{{"known", "new"}, {"new", "known"}} { // connections that requests come on, a pause for each
		t.Run(strings.Join(order, " then "), func(t *testing.T) {
			t.Parallel()
			checkClientsTimeAcrossPauses(t, order)
		})
	}
}

func checkClientsTimeAcrossPauses(t *testing.T, connections []string) {
	const timeout, pause, allowed = 3 * time.Second, 2 * time.Second, 150 * time.Millisecond
	server, release := harness.NewStuckCacheServer(t)
	defer release()
	node := harness.NewNode(t, server)
	node.Start()
	known := node.Dial()
	known.Get("k", "first").Want("value-first")
	for _, name := range connections {
		node.Process.Pause()
		client := known
		if name == "new" {
			client = node.Dial()
		}
		sentAt := time.Now()
		client.Send("CACHE.GET", harness.StuckKey, name, fmt.Sprintf("c=read,d=%d", timeout.Milliseconds()))
		time.Sleep(pause)
		node.Process.Resume()
		client.Want("-")
		if late := time.Since(sentAt) - timeout; late > allowed {
			t.Errorf("%s connection: answered %v after the client's time, want at most %v", name, late, allowed)
		}
		for _, command := range server.Commands() {
			if told := timeoutTold(t, command); command[2] == name && told > timeout-pause+allowed {
				t.Errorf("%s connection: the cache server was told %v of the %v that were left", name, told, timeout-pause)
			}
		}
	}
}
