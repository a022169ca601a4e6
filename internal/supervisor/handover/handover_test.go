package handover

import (
	"fmt"
	"strings"
	"testing"
)

// TestWords: what a process may say, and what ends the listening.
func TestWords(t *testing.T) {
	for text, want := range map[string]string{
		"":                                  "[] <nil>",
		"ready\nserved 10 2\nserved 0 0\n":  "[ready 10/2 0/0] <nil>",
		"ready\nserved 1 2\nready\n":        "[ready] handover: no word of a process",
		"served -1 0\n":                     "[] handover: no word of a process",
		"served 99999999999999999999 0\n":   "[] handover: no word of a process",
		"READY\n":                           "[] handover: no word of a process",
		strings.Repeat("x", 1000):           "[] bufio.Scanner: token too long",
		"ready\n" + strings.Repeat("\n", 2): "[ready] handover: no word of a process",
	} {
		seen := []string{}
		err := listen(strings.NewReader(text), func() { seen = append(seen, "ready") },
			func(a, f int) { seen = append(seen, fmt.Sprintf("%d/%d", a, f)) })
		if got := fmt.Sprint(seen, " ", err); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}
