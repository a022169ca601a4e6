package model

import (
	"math/rand/v2"
	"time"
)

// State is what the roster says of a server.
type State int

// The states of the roster.
const (
	Up State = iota
	Draining
	Removed
)

var states = [...]string{"up", "draining", "removed"}

func (s State) String() string { return states[s] }

// DiscoverySpec is discovery: how late it learns, and how much it can tell.
type DiscoverySpec struct {
	MinLag, MaxLag time.Duration // from a change to its entry in the list
	Call           time.Duration // a call takes so long
	PerEntry       time.Duration // and so much more for each entry that it tells
	Timeout        time.Duration // a call that would have to wait for longer fails
	Heartbeat      time.Duration // between empty lines of a watch
}

// Entry is a line of the list.
type Entry struct {
	ID, Kind, Zone string
	Cell, Slot     int // Slot stands for the address: one that follows at the same address has the same
	State          State
	Started        Time // of its process; 0 is long ago
	Origin         bool
}

// roster is the list as discovery knows it.
type roster struct {
	spec    DiscoverySpec
	rand    *rand.Rand
	version int64
	entries []Entry // the whole list, in the order in which they came
	changes []change
	lag     time.Duration // added by faults
	down    int           // faults under which nothing is answered
	hidden  int           // faults under which the list is empty
	free    Time          // when the calls before are done
	watches []watch       // in the order in which they came
}

type change struct {
	version int64
	Entry
}

type watch struct {
	call  uint64
	after int64
}

// remembered bounds the changes that are kept; whoever is further behind gets the whole list.
const remembered = 256

// set takes an entry into the list and tells its version.
func (r *roster) set(e Entry) {
	r.version++
	at := -1
	for i := range r.entries {
		if r.entries[i].ID == e.ID {
			at = i
		}
	}
	switch {
	case at >= 0 && e.State == Removed:
		r.entries = append(r.entries[:at], r.entries[at+1:]...)
	case at >= 0:
		r.entries[at] = e
	case e.State != Removed:
		r.entries = append(r.entries, e)
	}
	r.changes = append(r.changes, change{r.version, e})
	if len(r.changes) > remembered {
		r.changes = append(r.changes[:0:0], r.changes[len(r.changes)-remembered:]...)
	}
}

// List is what a call or a watch gets: the whole list or what changed.
type List struct {
	Version int64
	IsFull  bool
	Entries []Entry
}

// since is what came after a version.
func (r *roster) since(after int64) List {
	l := List{Version: r.version}
	if r.hidden > 0 {
		l.IsFull = true
		return l
	}
	if after > r.version || after < r.version && (len(r.changes) == 0 || r.changes[0].version > after+1) {
		return r.whole()
	}
	latest := map[string]int{}
	for _, c := range r.changes {
		if c.version <= after {
			continue
		}
		if i, ok := latest[c.ID]; ok {
			l.Entries[i] = c.Entry
			continue
		}
		latest[c.ID] = len(l.Entries)
		l.Entries = append(l.Entries, c.Entry)
	}
	return l
}

func (r *roster) whole() List {
	l := List{Version: r.version, IsFull: true}
	if r.hidden == 0 {
		l.Entries = append(l.Entries, r.entries...)
	}
	return l
}

// admit books a call that tells so many lines: calls are handled one after another. ok is false where it would wait
// too long.
func (r *roster) admit(now Time, lines int) (at Time, ok bool) {
	start := max(now, r.free)
	if start-now > r.spec.Timeout {
		return now + r.spec.Timeout, false
	}
	r.free = start + r.spec.Call + time.Duration(lines)*r.spec.PerEntry
	return r.free, true
}
