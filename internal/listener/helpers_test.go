package listener

import (
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/request"
)

// newTestCore returns a core with the class "read" and without tenants.
func newTestCore(now time.Time, limits Limits) *Core {
	return NewCore(now, []string{"read"}, nil, limits, newTestCounters())
}

func newTestCounters() *counters.Counters {
	return counters.New([]string{"read"}, request.ResponseKinds(), nil)
}

// checkUnread carries out the CheckUnread effects as if no connection had unread bytes, and appends the effects that follow.
func checkUnread(core *Core, now time.Time, effects *Effects) {
	for _, effect := range *effects {
		if effect.Kind == CheckUnread {
			core.UnreadChecked(now, effect.Conn, false, effects)
		}
	}
}
