package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// FuzzWatchState: whatever bytes discovery sends, splitting them into pieces changes neither the lists that a watch reads nor the
// error that ends it. A watch that has ended stays ended.
func FuzzWatchState(f *testing.F) {
	list := `{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:6379","zone":"a","machineType":"m2","cell":3,"lifecycle":"up","weight":1.0,"startedAtMs":0}]}`
	for _, text := range []string{
		list + "\n\n\r\n" + list + "\n", list, "{}\n", `{"generation":1}` + "\n", "\n\n", strings.ReplaceAll(list, ",", ",\n\t"),
		`{"a":"}\""}`, "{}}", list[:60] + "\n\n" + list + "\n", "null\n", `{"generation":1,"instances":[{"lifecycle":"gone"}]}` + "\n",
	} {
		f.Add([]byte(text), uint8(5), true)
		f.Add([]byte(text), uint8(0), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, piece uint8, connectionEnds bool) {
		inOnePiece := playWatch(t, text, len(text)+1, connectionEnds)
		pieceBytes := int(piece) + 1
		if inPieces := playWatch(t, text, pieceBytes, connectionEnds); inOnePiece != inPieces {
			t.Fatalf("in one piece %s, in pieces of %d %s", inOnePiece, pieceBytes, inPieces)
		}
	})
}

// playWatch passes text to a watch in pieces of pieceBytes. It returns the lists and the error that ended the watch.
func playWatch(t *testing.T, text []byte, pieceBytes int, connectionEnds bool) string {
	t.Helper()
	start := time.Unix(1000, 0)
	watch := openWatch(t, start)
	var all []List
	var ended error
	for rest := text; len(rest) > 0 && ended == nil; {
		n := min(pieceBytes, len(rest))
		lists, err := watch.BytesReceived(start, rest[:n])
		all, ended, rest = append(all, lists...), err, rest[n:]
	}
	if ended == nil && connectionEnds {
		if ended = watch.ConnectionEnded(nil); ended == nil {
			t.Fatal("the connection ended without an error")
		}
	}
	if ended == nil {
		ended = watch.CheckTimeout(watch.Deadline())
	}
	if ended == nil {
		t.Fatal("got no error at the deadline")
	}
	if err := watch.CheckTimeout(watch.Deadline().Add(time.Hour)); err != nil {
		t.Fatalf("got %v after the watch had ended with %v", err, ended)
	}
	return fmt.Sprintf("%+v %v", all, ended)
}
