package discovery

import (
	"fmt"
	"testing"
	"time"

	"shelfproxy/internal/golden"
)

// TestGoldenLists: the JSON of endpoint lists is read, and the request path of a watch is built, as the golden file says. The
// test guards the protocol of the discovery service against unintended changes.
func TestGoldenLists(t *testing.T) {
	var lines golden.Lines
	lines.Text("path", WatchPath(42))
	for _, text := range []string{
		`{"generation":7,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","machineType":"cache","cell":3,"weight":1.5,"startedAtMs":1700000000000,"lifecycle":"up"},` +
			`{"instanceId":"s-2","hostPort":"127.0.0.1:2","lifecycle":"draining"},{"instanceId":"s-3","lifecycle":"removed"}]}`,
		`{"generation":8,"instances":[]}`,
		"{\n  \"generation\": 9,\n  \"later\": {\"x\": \"}\"},\n  \"instances\": [\n    {\"instanceId\": \"s-1\", \"hostPort\": \"127.0.0.1:1\", \"lifecycle\": \"up\"}\n  ]\n}",
		`{"generation":8}`, `{"instances":[]}`, `[]`,
		`{"generation":8,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"sleeping"}]}`,
		`{"generation":8,"instances":[{"instanceId":"s-1","hostPort":"nowhere","lifecycle":"up"}]}`,
	} {
		now := time.Unix(1000, 0)
		watch := openWatch(t, now)
		lists, err := watch.BytesReceived(now, []byte(text+"\n\n"))
		lines.Text("sent", fmt.Sprintf("%q", text))
		for _, list := range lists {
			lines.Text("list", fmt.Sprintf("version %d, whole %v", list.Version, list.IsFull))
			for _, server := range list.Servers {
				lines.Text("server", fmt.Sprintf("%s at %s, zone %q, kind %q, cell %d, state %d, weight %v, started %d",
					server.ID, server.Addr, server.Zone, server.Kind, server.Cell, server.State, server.Weight, server.StartedMs))
			}
		}
		lines.Text("refused", fmt.Sprint(err != nil))
	}
	golden.Check(t, "lists.golden", lines.Bytes())
}
