package node

import "time"

// executedIDs holds the ids of requests that must not run twice and may have run, for as long as the longest client waits: a client
// that left, or was cut off, may come again with the same id. It is not safe for concurrent use.
type executedIDs struct {
	capacity int // number of ids, beyond which the oldest is dropped
	until    map[string]time.Time
	order    []string // the ids in the order in which they were added
}

// add adds an id until a time. Times must not decrease by more than clients' timeouts differ.
func (e *executedIDs) add(now time.Time, id string, until time.Time) {
	e.dropExpired(now)
	if _, isKnown := e.until[id]; isKnown {
		return
	}
	if e.until == nil {
		e.until = map[string]time.Time{}
	}
	if len(e.order) >= max(1, e.capacity) {
		e.dropOldest()
	}
	e.until[id] = until
	e.order = append(e.order, id)
}

// has reports whether an id was added and is still held.
func (e *executedIDs) has(now time.Time, id string) bool {
	until, isKnown := e.until[id]
	return isKnown && now.Before(until)
}

func (e *executedIDs) dropExpired(now time.Time) {
	for len(e.order) > 0 && !now.Before(e.until[e.order[0]]) {
		e.dropOldest()
	}
}

func (e *executedIDs) dropOldest() {
	delete(e.until, e.order[0])
	e.order[0] = ""
	e.order = e.order[1:]
}
