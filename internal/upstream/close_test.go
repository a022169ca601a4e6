package upstream_test

import (
	"testing"
	"time"

	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/origin"
)

// TestResetIsNoEnd: an answer without a length ends with its connection where the server ends that in order, and is none where it
// is reset.
func TestResetIsNoEnd(t *testing.T) {
	for whole, want := range map[bool]upstream.Outcome{true: upstream.Served, false: upstream.ConnectionLost} {
		now := time.Unix(1000, 0)
		p := upstream.NewCore("o", origin.Codec{Host: "o"}, upstream.Limits{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxStreams: 1, MaxConnections: 1, MaxQueued: 1}, upstream.NewDescriptorBudget(1))
		var fx upstream.Effects
		p.Send(now, &upstream.Attempt{Request: &request.Request{Key: []byte("k"), ID: []byte("i")}, SentAt: now, Deadline: now.Add(time.Minute)}, &fx)
		c := fx[0].Conn
		p.DialCompleted(now, c, true, &fx)
		p.NextToWrite(now, c, false, &fx)
		p.WriteCompleted(now, c, true, true, &fx)
		n := copy(c.Decoder.ReadBuffer(), "HTTP/1.1 200 OK\r\nX-Load: queue=1\r\n\r\nhalf of a val")
		p.BytesReceived(now, c, n, &fx)
		p.ConnectionEnded(now, c, whole, &fx)
		ended := 0
		for _, e := range fx {
			if e.Kind == upstream.ReportOutcome {
				if ended++; e.Response.Outcome != want {
					t.Errorf("ended in order %v: %v %q, want %v", whole, e.Response.Outcome, e.Response.Value, want)
				}
			}
		}
		if ended != 1 {
			t.Errorf("ended in order %v: %d ends", whole, ended)
		}
	}
}
