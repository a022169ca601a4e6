package upstream_test

import (
	"testing"
	"time"

	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/origin"
)

// TestResetDoesNotCompleteResponse checks a response without a length. It is complete if the server closes the connection
// normally, and incomplete if the connection is reset.
func TestResetDoesNotCompleteResponse(t *testing.T) {
	for isOrderly, want := range map[bool]upstream.Outcome{true: upstream.Served, false: upstream.ConnectionLost} {
		now := time.Unix(1000, 0)
		limits := upstream.Limits{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxStreams: 1, MaxConnections: 1, MaxQueued: 1}
		core := upstream.NewCore("o", origin.Codec{Host: "o"}, limits, upstream.Budgets{Descriptors: upstream.NewDescriptorBudget(1)})
		attempt := &upstream.Attempt{Request: &request.Request{Key: []byte("k"), ID: []byte("i")}, SentAt: now, Deadline: now.Add(time.Minute)}
		var effects upstream.Effects
		core.Send(now, attempt, &effects)
		conn := effects[0].Conn
		core.DialCompleted(now, conn, true, &effects)
		core.NextToWrite(now, conn, false, &effects)
		core.WriteCompleted(now, conn, true, true, &effects)
		n := copy(conn.Decoder.ReadBuffer(), "HTTP/1.1 200 OK\r\nX-Load: queue=1\r\n\r\nhalf of a val")
		core.BytesReceived(now, conn, n, &effects)
		core.ConnectionEnded(now, conn, isOrderly, &effects)
		reports := 0
		for _, effect := range effects {
			if effect.Kind != upstream.ReportOutcome {
				continue
			}
			reports++
			if got := effect.Response.Outcome; got != want {
				t.Errorf("orderly end %v: got outcome %v with value %q, want %v", isOrderly, got, effect.Response.Value, want)
			}
		}
		if reports != 1 {
			t.Errorf("orderly end %v: got %d reports, want 1", isOrderly, reports)
		}
	}
}
