package tests

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"shelfproxy/tests/harness"
)

// remainingOf900 matches the extra parameters that the origin gets for a request whose client waits for 900 ms. They are the
// client's parameters, but with the time that remains as d.
var remainingOf900 = regexp.MustCompile(`^c=read,d=[1-8]?[0-9]{1,2},r=1$`)

func TestRequestsAreServedByCacheServersAndTheOrigin(t *testing.T) {
	t.Parallel()
	server := harness.NewCacheServer(t, harness.HitOnly("there"))
	node := harness.NewNode(t, server)
	body := make(chan string, 1)
	node.Origin.Handle(func(w http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPut {
			content, err := io.ReadAll(request.Body)
			if err != nil {
				t.Errorf("read the body of a write: %v", err)
			}
			body <- string(content)
		}
		fmt.Fprint(w, "origin-", harness.RequestID(request))
	})
	client := node.Start().Dial()
	client.Send("PING").Want("+PONG")
	client.Send("CACHE.GET", "there", "id1", "c=read,d=900,h=7").Want("value-id1")
	if extras := server.Commands()[0][3]; !strings.HasPrefix(extras, "c=read,d=8") || !strings.HasSuffix(extras, ",h=7") {
		t.Errorf("the cache server got the extras %q, want the time that remains", extras)
	}
	client.Send("CACHE.GET", "absent", "id2", "c=read,d=900,r=1").Want("origin-id2")
	if read := node.Origin.NextRequest(); read.Method != http.MethodGet || read.URL.Path != "/absent" || !remainingOf900.MatchString(read.Header.Get("X-Extras")) {
		t.Errorf("the origin got %s %s %v, want GET /absent with the time that remains", read.Method, read.URL, read.Header)
	}
	client.Send("CACHE.SET", "there", "id3", "c=put,d=900,k=77", "new value").Want("origin-id3")
	if write := node.Origin.NextRequest(); write.Method != http.MethodPut || harness.RequestID(write) != "id3" || <-body != "new value" {
		t.Errorf("the origin got %s %s %v, want PUT with the id id3", write.Method, write.URL, write.Header)
	}
	client.Send("INFO").Want("listener_accepted ")
}

func TestAnswersComeInCommandOrder(t *testing.T) {
	t.Parallel()
	server := harness.NewCacheServer(t, func(command []string) string {
		if command[1] == "slow" {
			time.Sleep(100 * time.Millisecond) // the service time of the cache server
		}
		return harness.Hit(command)
	})
	client := harness.NewNode(t, server).Start().Dial()
	client.Send("CACHE.GET", "slow", "a", "c=read,d=5000").Send("CACHE.GET", "quick", "b", "c=read,d=5000").Send("PING")
	client.Want("value-a")
	client.Want("value-b")
	client.Want("+PONG")
}

// Malformed commands get an error and are counted. None of them ends the node or the connection.
func TestMalformedCommandsGetAnError(t *testing.T) {
	t.Parallel()
	client := harness.NewNode(t, harness.NewCacheServer(t, harness.Hit)).Start().Dial()
	for _, words := range [][]string{
		{"NOSUCH"}, {"CACHE.GET"}, {"CACHE.GET", "k", "id"}, {"CACHE.SET", "k", "id", "c=put,d=9"},
		{"CACHE.GET", "k", "id", "c=read"}, {"CACHE.GET", "k", "id", "c=nosuch,d=900"},
		{"CACHE.GET", "k", "id", "c=read,d=-1"}, {"CACHE.GET", "k", "id", "c=read,d=x"},
		{"CACHE.GET", "k", "id", "nonsense"}, {"CACHE.GET", "", "id", "c=read,d=900"},
		{"CACHE.GET", "k\r\nX: y", "id", "c=read,d=900"}, {"CACHE.GET", "k", "i d", "c=read,d=900"},
		{"CACHE.SET", "k", "id", "c=put,d=900", strings.Repeat("x", 65<<10)},
	} {
		client.Send(words...).Want("-ERR ")
	}
	client.Send("CACHE.SET", "k", "id9", "c=put,d=2900", strings.Repeat("x", 64<<10)).Want("from-origin-id9")
	if malformed := client.Counter("commands_malformed"); malformed != 13 {
		t.Errorf("%d malformed commands were counted, want 13", malformed)
	}
}

// Guards against framing that breaks redcon's reader: it loops on an element count near the largest integer and panics on such a
// length. The node checks the framing before it calls redcon. It answers the commands before the broken one, then sends an error
// and closes the connection.
func TestBrokenFramingClosesAfterOwedAnswers(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t, harness.NewCacheServer(t, harness.Hit)).Start()
	for _, broken := range []string{"*9223372036854775807\r\n", "*2\r\n$9223372036854775800\r\nx", "*1\r\n$-5\r\n",
		"*1\r\n+x\r\n", "*x\r\n", "*2\r\n$99999999\r\n", "get \"unbalanced\r\n", "*1\n$4\nPING\n"} {
		client := node.Dial()
		client.Get("k", "id")
		write(t, client, []byte(broken))
		client.Want("value-id")
		client.Want("-ERR Protocol error")
		client.Want(harness.Closed)
	}
	node.Dial().Send("PING").Want("+PONG")
}

func TestDuplicateIDIsRejectedWhileInUse(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t, harness.NewCacheServer(t, func(command []string) string {
		time.Sleep(150 * time.Millisecond) // the service time of the cache server
		return harness.Hit(command)
	})).Start()
	first, other := node.Dial(), node.Dial()
	first.Get("k", "same").Get("k", "same")
	first.Want("value-same")
	first.Want("-ERR request id is in use")
	other.Get("k", "same").Want("value-same")
}

// Guards against a client that waits beyond its deadline for a cache server that does not answer. The client gets an error by its
// deadline, here 300 ms, and the server's late answer is given to no request.
func TestAnswerComesByTheDeadline(t *testing.T) {
	t.Parallel()
	server, release := harness.NewStuckCacheServer(t)
	client := harness.NewNode(t, server).Start().Dial()
	sentAt := time.Now()
	client.Send("CACHE.GET", harness.StuckKey, "id1", "c=read,d=300").Want("-")
	if took := time.Since(sentAt); took < 250*time.Millisecond || took > 2*time.Second {
		t.Errorf("answered after %v, want 300 ms", took)
	}
	release()
	client.Get("k", "id2").Want("value-id2")
}

// A rejection tells the client after what time to retry, if the settings say that clients use this value.
func TestRejectionHasARetryAfterWhereClientsFollowIt(t *testing.T) {
	t.Parallel()
	for follow, want := range map[bool]string{true: "-BUSY 2000", false: "-BUSY"} {
		node := harness.NewNode(t)
		node.Config.Known.Instances = nil // without an origin the write is certain not to have been executed
		node.Config.Settings.Limits.RetryAfter = follow
		node.Config.Settings.Limits.MaxRetryAfter = 2000000
		client := node.Start().Dial()
		if answer := client.Send("CACHE.SET", "k", "id", "c=cert,d=2900", "v").Answer(); answer != want {
			t.Errorf("answer %q, want %q", answer, want)
		}
	}
}

func TestDisconnectOfAClientLeavesOthersServed(t *testing.T) {
	t.Parallel()
	server, _ := harness.NewStuckCacheServer(t)
	node := harness.NewNode(t, server).Start()
	disconnecting := node.Dial().Get(harness.StuckKey, "id1")
	node.WaitFor("the request is in flight", func() bool { return len(server.Commands()) == 1 })
	disconnecting.Disconnect()
	client := node.Dial()
	client.Get("k", "id2").Want("value-id2")
	node.WaitFor("the disconnect is counted", func() bool { return client.Counter("flows_client_left") == 1 })
}

// Connections of clients that send nothing, or only half a command, are closed even if there are few connections. A client that
// has made a request may stay. A client's wait that is longer than any class allows is shortened to the longest wait of a class.
func TestClientsThatSendNothingAreClosed(t *testing.T) {
	t.Parallel()
	server, _ := harness.NewStuckCacheServer(t)
	node := harness.NewNode(t, server).Start()
	const limit = 10 * time.Second
	began := time.Now()
	ordinary, idle, partial, patient := node.Dial(), node.Dial(), node.Dial(), node.Dial()
	ordinary.Get("k", "id1").Want("value-id1")
	patient.Send("CACHE.GET", harness.StuckKey, "id2", "c=read,d=3600000")
	partial.Get("k", "id3").Want("value-id3")
	write(t, partial, []byte("*4\r\n$9\r\nCACHE"))
	idle.Want(harness.Closed)
	partial.Want(harness.Closed)
	if took := time.Since(began); took > limit {
		t.Errorf("closed after %v, want at most %v", took, limit)
	}
	if closed := ordinary.Counter("listener_closed_silent"); closed != 2 {
		t.Errorf("%d connections were closed because their client sent nothing, want 2", closed)
	}
	patient.Want("-")
	if took := time.Since(began); took > limit {
		t.Errorf("answered after %v, want at most the longest wait of a class", took)
	}
}

// When more clients connect than there are descriptors for, the node closes the connection that has been idle for the longest
// time and keeps the others.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t, harness.NewCacheServer(t, harness.Hit))
	node.Config.Limits = harness.FewDescriptors()
	node.Start()
	first := node.Dial()
	first.Send("PING").Want("+PONG")
	for i := range 60 {
		node.Dial().Get("k", fmt.Sprint("id", i)).Want("value-")
	}
	first.Want(harness.Closed)
	node.Dial().Send("PING").Want("+PONG")
}
