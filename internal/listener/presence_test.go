package listener

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"shelfproxy/internal/request"
)

// TestPresenceIsKnownForAWhile checks when an attempt for a client may begin, by what the kernel knows of its connection.
func TestPresenceIsKnownForAWhile(t *testing.T) {
	start := time.Unix(1000, 0)
	soon, later := start.Add(maxUnseen), start.Add(maxUnseen+1)
	for _, test := range []struct {
		name                   string
		at                     time.Time
		state                  receiving
		wantPresent, wantsLeft bool
	}{
		{"seen a moment ago", soon, receiving{isClosed: true}, true, false},
		{"seen some time ago, the connection is open", later, receiving{unread: maxVisibleUnread}, true, false},
		{"seen some time ago, the connection is closed", later, receiving{isClosed: true, unread: maxVisibleUnread + 1}, false, true},
		{"seen some time ago, a close may be hidden", later, receiving{unread: maxVisibleUnread + 1}, false, false},
		{"the same for a write", later, receiving{unread: maxVisibleUnread + 1}, true, false},
		{"the same for a write after a wait", later, receiving{unread: maxVisibleUnread + 1}, false, false},
	} {
		known := presence{start: start, look: func() receiving { return test.state }}
		known.hasWaited.Store(strings.HasSuffix(test.name, "after a wait"))
		client := requestClient{presence: &known, decodedAt: later}
		isPresent, hasLeft := client.IsPresent(test.at, &request.Request{IsWrite: strings.Contains(test.name, "write")})
		if isPresent != test.wantPresent || hasLeft != test.wantsLeft {
			t.Errorf("%s: present %v and left %v, want %v and %v", test.name, isPresent, hasLeft, test.wantPresent, test.wantsLeft)
		}
	}
	client := presence{start: start, look: func() receiving { return receiving{} }}
	client.isThere(later)
	if !client.isRecentlySeen(later.Add(maxUnseen)) {
		t.Error("a look that finds the client does not count as a sign of it")
	}
}

// readCommand returns the bytes of a read with the given id.
func readCommand(id string) string {
	return fmt.Sprintf("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$%d\r\n%s\r\n$13\r\nc=read,d=3000\r\n", len(id), id)
}

// newHiddenConn returns a connection whose client may have closed it unseen and has sent a request, and a function that has the core receive
// bytes on it.
func newHiddenConn(t *testing.T, core *Core, now *time.Time) (conn *Conn, receive func(bytes string) Effects) {
	t.Helper()
	conn = core.Accepted(*now, *now)
	hidden := receiving{unread: maxVisibleUnread + 1}
	conn.presence.look = func() receiving { return hidden }
	receive = func(bytes string) (effects Effects) {
		conn.presence.observed(*now, hidden)
		core.BytesReceived(*now, conn, copy(conn.ReadBuffer(), bytes), &effects)
		return effects
	}
	if effects := receive(readCommand("first")); !hasEffect(effects, HandleRequest, conn) {
		t.Fatalf("got effects %+v, want the request of a new client handed over", effects)
	}
	return conn, receive
}

// TestRequestsOfAClientThatMayHaveLeftAreNotHandedOver checks that, while more is unread than the kernel takes and the client was not
// seen since its connection waited for a turn, commands wait for the responses before them, or the first of them is rejected, and that a written response lets the others
// go on.
func TestRequestsOfAClientThatMayHaveLeftAreNotHandedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(now, coreTestLimits)
	conn, receive := newHiddenConn(t, core, &now)
	first := conn.slots[0]
	now = now.Add(maxUnseen + 1)
	conn.presence.hasWaited.Store(true)
	if effects := receive(readCommand("second")); hasEffect(effects, HandleRequest, conn) || !conn.IsPaused() {
		t.Errorf("got effects %+v and paused %v, want the second request to wait for the first response", effects, conn.IsPaused())
	}
	var effects Effects
	core.Respond(conn, first, request.Response{Kind: request.Rejected}, &effects)
	core.NextToWrite(now, conn, nil)
	core.WriteCompleted(now, conn, true, &effects)
	core.Resume(now, conn, &effects)
	if !hasEffect(effects, HandleRequest, conn) {
		t.Errorf("got effects %+v, want the second request handed over after the response", effects)
	}
	core.Respond(conn, conn.slots[0], request.Response{Kind: request.Rejected}, &effects)
	core.NextToWrite(now, conn, nil)
	core.WriteCompleted(now, conn, true, &effects)

	now = now.Add(maxUnseen + 1)
	conn.presence.hasWaited.Store(true)
	effects = receive(readCommand("third") + readCommand("fourth"))
	if hasEffect(effects, HandleRequest, conn) || !hasEffect(effects, WriteResponses, conn) || !conn.IsPaused() {
		t.Errorf("got effects %+v and paused %v, want the third request rejected and the fourth to wait", effects, conn.IsPaused())
	}
}

// TestCloseIsHiddenUntilNothingIsOnItsWay checks when a close may be hidden: once much was unread, until nothing is and nothing came for a
// while, or a response was taken after that.
func TestCloseIsHiddenUntilNothingIsOnItsWay(t *testing.T) {
	now := time.Unix(1000, 0)
	const quiet = 20 * time.Millisecond
	known := presence{start: now}
	for i, step := range []struct {
		state       receiving
		isAnswered  bool // a response is written before, and taken
		wantsHidden bool
	}{
		{receiving{}, false, false},
		{receiving{unread: maxVisibleUnread}, false, false},
		{receiving{unread: maxVisibleUnread + 1}, false, true},
		{receiving{unread: 1}, false, true},
		{receiving{}, false, true},
		{receiving{unread: 1, sinceData: quiet}, false, true},
		{receiving{sinceData: quiet}, false, false},
		{receiving{unread: 1}, false, false},
		{receiving{unread: maxVisibleUnread + 1}, true, true},
		{receiving{unread: 1}, true, true},
		{receiving{}, true, false},
	} {
		now = now.Add(maxUnseen + time.Millisecond)
		if step.isAnswered {
			known.answered(now)
		}
		known.look = func() receiving { return step.state }
		known.isThere(now)
		if got := known.mayHideClose.Load(); got != step.wantsHidden {
			t.Errorf("step %d, %+v: a close may be hidden: %v, want %v", i, step, got, step.wantsHidden)
		}
	}
}

// TestWrittenResponseIsASignOnceItIsTaken guards against a client that counts as there because a response was written to it: only the
// answer of its kernel tells, which takes the response or resets the connection.
func TestWrittenResponseIsASignOnceItIsTaken(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(time.Second)
	for _, test := range []struct {
		name                 string
		state                receiving
		wantsThere, wantLeft bool
	}{
		{"not taken yet", receiving{unread: 1, unacked: 1}, false, false},
		{"taken", receiving{unread: 1}, true, false},
		{"reset", receiving{isClosed: true}, false, true},
	} {
		known := presence{start: start, look: func() receiving { return test.state }}
		known.mayHideClose.Store(true)
		known.seen(start.Add(-time.Second)) // it waited to be accepted
		if isThere, _ := known.isThere(start); isThere {
			t.Errorf("%s: the client counts as there as it is accepted, want it unknown: it waited for long", test.name)
		}
		if isThere, _ := known.isThere(now); isThere {
			t.Errorf("%s: the client counts as there before a response, want it unknown", test.name)
		}
		known.answered(now)
		if isThere, hasLeft := known.isThere(now); isThere != test.wantsThere || hasLeft != test.wantLeft {
			t.Errorf("%s: there %v and left %v, want %v and %v", test.name, isThere, hasLeft, test.wantsThere, test.wantLeft)
		}
	}
}

// TestRequestsBehindAnotherAreWithheldWhileTheirClientMayHaveLeft guards against writes that are begun long after their client closed
// behind more than the kernel takes. They are read but not handed over until the response to an earlier one shows that the client is
// there, or all is read; what is withheld as the connection ends is handed over to nobody.
func TestRequestsBehindAnotherAreWithheldWhileTheirClientMayHaveLeft(t *testing.T) {
	for _, test := range []struct {
		name string
		// sign says that the client is there; it returns the effects of what the shell does then.
		sign          func(core *Core, conn *Conn, now time.Time) Effects
		wantHandedOut int
	}{
		{"a response is taken", func(core *Core, conn *Conn, now time.Time) (effects Effects) {
			core.Respond(conn, conn.slots[0], request.Response{Kind: request.Rejected}, &effects)
			core.NextToWrite(now, conn, nil)
			core.WriteCompleted(now, conn, true, &effects)
			core.Resume(now, conn, &effects)
			return effects
		}, 2},
		{"all is read", func(core *Core, conn *Conn, now time.Time) (effects Effects) {
			conn.presence.observed(now, receiving{sinceData: time.Second})
			core.BytesReceived(now, conn, 0, &effects)
			return effects
		}, 2},
		{"the connection ends", func(core *Core, conn *Conn, now time.Time) (effects Effects) {
			core.ConnectionEnded(now, conn, &effects)
			return effects
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			limits := coreTestLimits
			limits.MaxPipelined = 8
			core := newTestCore(now, limits)
			conn, receive := newHiddenConn(t, core, &now)
			now = now.Add(maxUnseen + 1)
			if effects := receive(readCommand("second") + readCommand("third")); hasEffect(effects, HandleRequest, conn) || conn.IsPaused() {
				t.Fatalf("got effects %+v and paused %v, want the requests read and withheld", effects, conn.IsPaused())
			}
			handedOut := 0
			for _, effect := range test.sign(core, conn, now) {
				if effect.Kind == HandleRequest {
					handedOut++
				}
				if effect.Kind == ClientDisconnected && string(effect.Request.ID) != "first" {
					t.Errorf("the handler is told that the client of %s left, of which it does not know", effect.Request.ID)
				}
			}
			if handedOut != test.wantHandedOut {
				t.Errorf("%d requests are handed over, want %d", handedOut, test.wantHandedOut)
			}
		})
	}
}
