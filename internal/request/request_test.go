package request

import (
	"testing"
	"time"
)

// TestParametersCarryRemainingTime checks that the parameter d is replaced by the remaining time in milliseconds, at least one,
// and that the other parameters stay as they are.
func TestParametersCarryRemainingTime(t *testing.T) {
	for _, test := range []struct {
		name       string
		parameters string
		remaining  time.Duration
		want       string
	}{
		{"first", "d=3000,c=view", 1234567 * time.Microsecond, "d=1234,c=view"},
		{"in the middle", "c=view,d=3,t=x", 2 * time.Second, "c=view,d=2000,t=x"},
		{"time is over", "c=view,d=3000", -time.Second, "c=view,d=1"},
		{"no timeout", "c=view,id=d", time.Second, "c=view,id=d"},
		{"an empty pair", "c=view,,d=1,", time.Second, "c=view,,d=1000,"},
		{"none", "", time.Second, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &Request{Parameters: []byte(test.parameters)}
			if got := string(r.ParametersWithTimeout(test.remaining)); got != test.want {
				t.Errorf("got parameters %q, want %q", got, test.want)
			}
			if got := string(r.Parameters); got != test.parameters {
				t.Errorf("the request's own parameters are %q, want them unchanged as %q", got, test.parameters)
			}
		})
	}
}
