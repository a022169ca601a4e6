package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// FuzzFollower: whatever discovery sends, and wherever it is cut, the lists are those of the same bytes in one piece, and an end
// stays an end.
func FuzzFollower(f *testing.F) {
	list := `{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:6379","zone":"a","machineType":"m2","cell":3,"lifecycle":"up","weight":1.0,"startedAtMs":0}]}`
	for _, s := range []string{list + "\n\n\r\n" + list + "\n", list, "{}\n", `{"generation":1}` + "\n", "\n\n", strings.ReplaceAll(list, ",", ",\n\t"), `{"a":"}\""}`, "{}}", list[:60] + "\n\n" + list + "\n", "null\n", `{"generation":1,"instances":[{"lifecycle":"gone"}]}` + "\n"} {
		f.Add([]byte(s), uint8(5), true)
		f.Add([]byte(s), uint8(0), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, piece uint8, ends bool) {
		start := time.Unix(1000, 0)
		play := func(piece int) string {
			w := NewWatchState(start, time.Second)
			w.ResponseReceived(start, 200)
			var all []List
			var over error
			for rest := text; len(rest) > 0 && over == nil; {
				n := min(piece, len(rest))
				lists, err := w.BytesReceived(start, rest[:n])
				all, over, rest = append(all, lists...), err, rest[n:]
			}
			if over == nil && ends {
				if over = w.ConnectionEnded(nil); over == nil {
					t.Fatal("it has ended, and does not say so")
				}
			}
			if over == nil {
				over = w.CheckTimeout(w.Deadline())
			}
			if over == nil || w.CheckTimeout(w.Deadline().Add(time.Hour)) != nil {
				t.Fatalf("silent: %v", over)
			}
			return fmt.Sprintf("%+v %v", all, over)
		}
		if whole, cut := play(len(text)+1), play(int(piece)+1); whole != cut {
			t.Fatalf("in one piece %s, in pieces of %d %s", whole, int(piece)+1, cut)
		}
	})
}
