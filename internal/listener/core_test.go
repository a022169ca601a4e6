package listener

import (
	"bytes"
	"slices"
	"testing"
	"time"
)

var coreTestLimits = Limits{MaxConnections: 64, MaxPipelined: 3, MaxValue: 100, FirstCommandTimeout: time.Minute,
	CrowdedIdleTimeout: time.Minute, IdleTimeout: time.Minute}

func hasEffect(effects Effects, kind EffectKind, conn *Conn) bool {
	return slices.ContainsFunc(effects, func(effect Effect) bool { return effect.Kind == kind && effect.Conn == conn })
}

// TestBrokenFramingIsAnsweredAndEndsConnection checks that a client that breaks the framing gets one error about it, and that its
// connection is then half-closed rather than reset, so that the client can read the error.
func TestBrokenFramingIsAnsweredAndEndsConnection(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(now, coreTestLimits)
	conn := core.Accepted(now, now)
	var effects Effects
	core.BytesReceived(now, conn, copy(conn.ReadBuffer(), "*1\r\n$x\r\n"), &effects)
	if !hasEffect(effects, WriteResponses, conn) {
		t.Errorf("got effects %+v, want %v among them", effects, WriteResponses)
	}
	responses, _ := core.NextToWrite(now, conn, nil)
	if got, want := string(bytes.Join(responses, nil)), "-ERR Protocol error: invalid length\r\n"; got != want {
		t.Errorf("got response %q, want %q", got, want)
	}
	effects = nil
	core.Resume(now, conn, &effects) // a notification of memory may come late
	if len(effects) > 0 || len(conn.slots) != 1 {
		t.Errorf("got effects %+v and %d responses after the connection was resumed, want no second error", effects, len(conn.slots))
	}
	core.WriteCompleted(now, conn, true, &effects)
	if !hasEffect(effects, HalfClose, conn) || !conn.IsLingering() {
		t.Errorf("after the response: got effects %+v and lingering %v, want the connection half-closed and lingering", effects, conn.IsLingering())
	}
}

// TestLingeringConnectionsAreBounded checks that the connection that has lingered longest is closed when too many connections
// linger.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(now, coreTestLimits)
	limit := maxLingering(coreTestLimits.MaxConnections)
	conns := make([]*Conn, limit+1)
	for i := range conns {
		conns[i] = core.Accepted(now, now)
	}
	var effects Effects
	for _, conn := range conns {
		core.finish(now, conn, EndedIdle, &effects)
	}
	checkUnread(core, now, &effects)
	if got := len(core.lingering); got != limit {
		t.Errorf("%d connections linger, want %d", got, limit)
	}
	if conns[0].IsLingering() || !hasEffect(effects, CloseConnection, conns[0]) {
		t.Errorf("the first connection lingers: %v, got effects %+v; want it closed", conns[0].IsLingering(), effects)
	}
	if last := conns[limit]; !last.IsLingering() || hasEffect(effects, CloseConnection, last) {
		t.Errorf("the last connection lingers: %v, got effects %+v; want it to linger", last.IsLingering(), effects)
	}
}
