package listener

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/golden"
	"shelfproxy/internal/request"
)

// TestCommandsMatchGoldenFile guards the wire format against accidental changes. The golden file holds commands, the requests
// that result from them, and the bytes of every kind of response, including that of INFO.
func TestCommandsMatchGoldenFile(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := Limits{MaxConnections: 4, MaxPipelined: 64, MaxValue: 10, WriteTimeout: time.Second, MaxUnsentBytes: 100 << 10,
		FirstCommandTimeout: 2 * time.Second, CrowdedIdleTimeout: 50 * time.Millisecond, IdleTimeout: 5 * time.Second}
	count := counters.New([]string{"read", "sign"}, request.ResponseKinds(), []string{"end_a", "end_b"})
	count.Register("part_event").Add(3)
	core := NewCore(now, []string{"read", "sign"}, []string{"school"}, limits, count)
	responses := []request.Response{
		{Kind: request.Served, Value: []byte("val\r\nue")}, {Kind: request.Rejected}, {Kind: request.Rejected, RetryAfter: 250 * time.Millisecond},
		{Kind: request.Failed}, {Kind: request.Invalid, Text: "duplicate id"}}
	core.Reply = func(*Conn, *ResponseSlot, request.Response) {}
	var lines golden.Lines
	given := 0
	for _, command := range []string{
		"PING\r\n", "*2\r\n$4\r\nPING\r\n$2\r\nhi\r\n", "CLIENT SETNAME x\r\n", "SELECT 0\r\n", "NOPE\r\n",
		"CACHE.GET anna id-1 c=read,d=3000,t=school\r\n", "CACHE.GET anna id-2 c=read,d=3000,t=other\r\n", "cache.get anna id-3 d=1,c=sign,k=7\r\n",
		"CACHE.GET anna id-4 c=read,d=20\r\n", "CACHE.GET anna id-5 c=read,d=20\r\n", "CACHE.SET anna id-6 c=sign,d=2000,k=77 signed\r\n",
		"CACHE.GET anna id-7\r\n", "CACHE.GET anna id-8 c=read\r\n", "CACHE.GET anna id-9 c=none,d=1\r\n", "CACHE.GET anna id-10 c=read,d=0\r\n",
		"CACHE.GET anna id-11 nonsense\r\n", "CACHE.SET anna id-12 c=sign,d=2000 longer-than-ten\r\n",
		"*1\r\n$x\r\n", "INFO\r\n", "QUIT\r\n"} {
		var effects Effects
		conn := core.Accepted(now, now)
		core.BytesReceived(now, conn, copy(conn.ReadBuffer(), command), &effects)
		for i := 0; i < len(effects); i++ {
			if effects[i].Kind != HandleRequest {
				continue
			}
			r := effects[i].Request
			lines.Text("request", fmt.Sprintf("key %q, id %q, class %s, tenant %q, extras %q, write %v, value %q, wait %v",
				r.Key, r.ID, r.Class, r.Tenant, r.Parameters, r.IsWrite, r.Value, r.ClientTimeout))
			core.Respond(conn, conn.slots[0], responses[given%len(responses)], &effects)
			given++
		}
		out, _ := core.NextToWrite(now, conn, nil)
		lines.Text(fmt.Sprintf("%q", command), fmt.Sprintf("%q", bytes.Join(out, nil)))
		core.ConnectionEnded(now, conn, &effects)
	}
	golden.Check(t, "commands.golden", lines.Bytes())
}
