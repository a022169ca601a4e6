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
	for whole, want := range map[bool]upstream.End{true: upstream.Served, false: upstream.Broken} {
		now := time.Unix(1000, 0)
		p := upstream.NewCore("o", origin.Codec{Host: "o"}, upstream.Limits{Connect: time.Second, Idle: time.Minute, Streams: 1, Conns: 1, Waiting: 1}, upstream.NewBudget(1))
		var fx upstream.Effects
		p.Send(now, &upstream.Forward{Flow: &request.Flow{Key: []byte("k"), ID: []byte("i")}, Sent: now, Deadline: now.Add(time.Minute)}, &fx)
		c := fx[0].Conn
		p.Dialed(now, c, true, &fx)
		p.Pull(now, c, false, &fx)
		p.Wrote(now, c, true, true, &fx)
		n := copy(c.Decoder.Space(), "HTTP/1.1 200 OK\r\nX-Load: queue=1\r\n\r\nhalf of a val")
		p.Received(now, c, n, &fx)
		p.Ended(now, c, whole, &fx)
		ended := 0
		for _, e := range fx {
			if e.Kind == upstream.Report {
				if ended++; e.Answer.End != want {
					t.Errorf("ended in order %v: %v %q, want %v", whole, e.Answer.End, e.Answer.Value, want)
				}
			}
		}
		if ended != 1 {
			t.Errorf("ended in order %v: %d ends", whole, ended)
		}
	}
}
