package demo

import (
	"time"

	"shelfproxy/internal/testbed/emulator"
	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/wireformat"
)

// observer reports what clients see to the emulator, which checks the invariants. It implements clients.Observer.
type observer struct{ emulator *emulator.Emulator }

// RequestSent implements clients.Observer.
func (o observer) RequestSent(id, class string, node int, timeout time.Duration) {
	deadline := o.emulator.Now() + timeout
	o.emulator.Report(func(now time.Duration, check *invariants.Checker) { check.RequestSent(now, id, class, node, deadline) })
}

// RequestAnswered implements clients.Observer.
func (o observer) RequestAnswered(id string, kind invariants.Final, value []byte) {
	answeredID := wireformat.RequestOfValue(value)
	o.emulator.Report(func(now time.Duration, check *invariants.Checker) { check.RequestAnswered(now, id, kind, answeredID) })
}

// ConnectionEnded implements clients.Observer.
func (o observer) ConnectionEnded(id string, maybeUnread bool) {
	o.emulator.Report(func(now time.Duration, check *invariants.Checker) { check.ConnectionEnded(now, id, maybeUnread) })
}
