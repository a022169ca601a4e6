package origin

import (
	"fmt"
	"testing"
	"time"

	"shelfproxy/internal/golden"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// TestRequestsMatchGoldenFile checks the HTTP/1.1 requests that the origin receives.
func TestRequestsMatchGoldenFile(t *testing.T) {
	now := time.Unix(1000, 0)
	read := &request.Request{Key: []byte("anna b/c"), ID: []byte("id-1"), Parameters: []byte("c=view,d=3000,t=x")}
	write := &request.Request{Key: []byte("anna"), ID: []byte("id-2"), Parameters: []byte("d=3000,k=77,c=sign"), IsWrite: true, Value: []byte("a\r\nb")}
	var lines golden.Lines
	for _, test := range []struct {
		name    string
		attempt upstream.Attempt
	}{
		{"get", upstream.Attempt{Request: read, Deadline: now.Add(1234567 * time.Microsecond)}},
		{"put", upstream.Attempt{Request: write, Deadline: now.Add(2 * time.Second)}},
		{"probe", upstream.Attempt{Deadline: now}},
	} {
		lines.Text(test.name, fmt.Sprintf("%q", Codec{Host: "127.0.0.1:9000"}.AppendRequest(nil, &test.attempt, now)))
	}
	golden.Check(t, "requests.golden", lines.Bytes())
}

// TestResponsesMatchGoldenFile checks how the decoder reads the responses of the origin, while the connection is open and when it
// has ended.
func TestResponsesMatchGoldenFile(t *testing.T) {
	var lines golden.Lines
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Load: queue=4\r\n\r\nvalue",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nval",
		"HTTP/1.1 200 OK\r\n\r\nvalue",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nv",
		"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n\r\n",
		"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", "SSH-2.0", "HTTP/1.1 101 Switch\r\n\r\n"} {
		for _, ended := range []bool{false, true} {
			decoder := Codec{}.NewDecoder()
			decoder.BytesRead(copy(decoder.ReadBuffer(), text))
			response, isComplete, err := decoder.NextResponse(ended)
			lines.Text(fmt.Sprintf("%q, connection ended %v", text, ended), fmt.Sprintf("whole %v, %s, value %q, load %q, close %v, error %v",
				isComplete, response.Outcome, response.Value, response.LoadReport, response.ConnectionClose, err != nil))
		}
	}
	golden.Check(t, "answers.golden", lines.Bytes())
}
