package listener

import (
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/request"
)

// newTestCore returns a core for the class "read" without tenants.
func newTestCore(now time.Time, limits Limits) *Core {
	return NewCore(now, []string{"read"}, nil, limits, newTestCounters())
}

func newTestCounters() *counters.Counters {
	return counters.New([]string{"read"}, request.ResponseKinds(), nil)
}
