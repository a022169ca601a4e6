package nodes

import (
	"os"
	"testing"
	"time"
)

func TestUsageIsReadFromProcStat(t *testing.T) {
	const stat = "7 (two words) S 1 7 7 0 -1 4194560 1 0 0 0 200 50 0 0 20 0 5 0 100 1000000 300 18446744073709551615"
	for content, want := range map[string]Usage{
		stat:                      {CPU: 2500 * time.Millisecond, Memory: 300 * int64(os.Getpagesize())},
		"7 (shelfproxy) S 1 7 7":  {},
		"no parenthesis anywhere": {},
	} {
		var got Usage
		got.parseStat(content)
		if got != want {
			t.Errorf("%q: %+v, want %+v", content, got, want)
		}
	}
}
