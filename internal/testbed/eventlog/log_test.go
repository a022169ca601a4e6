package eventlog

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

func TestHashIsThatOfTheLines(t *testing.T) {
	log := New()
	text := ""
	for _, event := range []struct {
		at     time.Duration
		name   string
		fields []string
		want   string
	}{
		{0, "server", []string{"origin", "a", "0"}, "0 server origin a 0\n"},
		{1500 * time.Nanosecond, "origin-fell", nil, "1500 origin-fell\n"},
		{time.Second, "answer", []string{"box-0", "", "pong"}, "1000000000 answer box-0  pong\n"},
	} {
		if got := string(log.Append(event.at, event.name, event.fields...)); got != event.want {
			t.Errorf("line %q, want %q", got, event.want)
		}
		text += event.want
		if got, want := log.Hash(), xxhash.Sum64String(text); got != want {
			t.Errorf("hash %x after %q, want %x", got, text, want)
		}
	}
}
