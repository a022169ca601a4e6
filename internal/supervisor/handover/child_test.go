package handover

import (
	"fmt"
	"strings"
	"testing"
)

// TestReadNotificationsStopsAtMalformedInput checks which notifications a process may write, and that reading stops with an error at
// the first line that is not a valid notification.
func TestReadNotificationsStopsAtMalformedInput(t *testing.T) {
	malformed := ErrMalformedNotification.Error()
	for written, want := range map[string]string{
		"":                                  "[] <nil>",
		"ready\nserved 10 2\nserved 0 0\n":  "[ready 10/2 0/0] <nil>",
		"ready\nserved 1 2\nready\n":        "[ready] " + malformed,
		"served -1 0\n":                     "[] " + malformed,
		"served 99999999999999999999 0\n":   "[] " + malformed,
		"READY\n":                           "[] " + malformed,
		strings.Repeat("x", 1000):           "[] bufio.Scanner: token too long",
		"ready\n" + strings.Repeat("\n", 2): "[ready] " + malformed,
	} {
		notifications := []string{}
		err := readNotifications(strings.NewReader(written),
			func() { notifications = append(notifications, "ready") },
			func(responses, failed int) {
				notifications = append(notifications, fmt.Sprintf("%d/%d", responses, failed))
			})
		if got := fmt.Sprint(notifications, " ", err); got != want {
			t.Errorf("%q: got %s, want %s", written, got, want)
		}
	}
}
