package resp

import (
	"fmt"
	"testing"
	"time"

	"shelfproxy/internal/golden"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// TestRequestsMatchGoldenFile checks the RESP2 commands that cache servers receive.
func TestRequestsMatchGoldenFile(t *testing.T) {
	now := time.Unix(1000, 0)
	read := &request.Request{Key: []byte("anna"), ID: []byte("id-1"), Parameters: []byte("c=view,d=3000,t=x")}
	write := &request.Request{Key: []byte("anna"), ID: []byte("id-2"), Parameters: []byte("d=3000,k=77,c=sign"), IsWrite: true, Value: []byte("a\r\nb")}
	var lines golden.Lines
	for _, test := range []struct {
		name    string
		attempt upstream.Attempt
	}{
		{"get", upstream.Attempt{Request: read, Deadline: now.Add(1234567 * time.Microsecond)}},
		{"get_late", upstream.Attempt{Request: read, Deadline: now.Add(-time.Second)}},
		{"set", upstream.Attempt{Request: write, Deadline: now.Add(2 * time.Second)}},
		{"probe", upstream.Attempt{Deadline: now}},
	} {
		lines.Hex(test.name, Codec{}.AppendRequest(nil, &test.attempt, now))
	}
	golden.Check(t, "requests.golden", lines.Bytes())
}

// TestResponsesMatchGoldenFile checks how the decoder reads the responses of cache servers.
func TestResponsesMatchGoldenFile(t *testing.T) {
	var lines golden.Lines
	for _, text := range []string{"+PONG\r\n", "-BUSY qps=1,eps=2\r\n", "-BUSY\r\n", "-ERR failed q=3\r\n", "-bad\r\n", "$2\r\nab\r\n",
		"*3\r\n$5\r\nvalue\r\n:1\r\n$7\r\nqueue=4\r\n", "*3\r\n$-1\r\n:1\r\n$0\r\n\r\n", "*3\r\n$5\r\nval", "*4\r\n", "junk", "$-2\r\n"} {
		decoder := Codec{}.NewDecoder()
		decoder.BytesRead(copy(decoder.ReadBuffer(), text))
		response, isComplete, err := decoder.NextResponse(false)
		lines.Text(fmt.Sprintf("%q", text), fmt.Sprintf("whole %v, %s, value %q, load %q, error %v",
			isComplete, response.Outcome, response.Value, response.LoadReport, err != nil))
	}
	golden.Check(t, "answers.golden", lines.Bytes())
}
