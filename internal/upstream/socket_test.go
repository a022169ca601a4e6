package upstream

import (
	"net"
	"os"
	"testing"
	"time"
)

// TestConnectAcrossAPauseIsRepeated checks that a connect is repeated once if its timeout expired while the process was paused:
// such a timeout says nothing about the server.
func TestConnectAcrossAPauseIsRepeated(t *testing.T) {
	const timeout = 250 * time.Millisecond
	for name, test := range map[string]struct {
		took  [2]time.Duration // time after which each connect fails
		calls int
	}{
		"refused":      {[2]time.Duration{time.Millisecond}, 1},
		"timed out":    {[2]time.Duration{timeout + 10*time.Millisecond}, 1},
		"paused":       {[2]time.Duration{2 * time.Second, timeout}, 2},
		"paused twice": {[2]time.Duration{2 * time.Second, 2 * time.Second}, 2},
	} {
		now, calls := time.Unix(1000, 0), 0
		conn, err := connectAcrossPauses(timeout, func() time.Time { return now }, func() (net.Conn, error) {
			now = now.Add(test.took[calls])
			calls++
			return nil, os.ErrDeadlineExceeded
		})
		if conn != nil || err == nil || calls != test.calls {
			t.Errorf("%s: got connection %v and error %v after %d connects, want an error after %d", name, conn, err, calls, test.calls)
		}
	}
}
