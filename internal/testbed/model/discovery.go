package model

import (
	"slices"
	"time"
)

// State is the state of a server in the endpoint list.
type State int

// The states of a server.
const (
	Up State = iota
	Draining
	Removed
)

var stateNames = [...]string{"up", "draining", "removed"}

// String returns the state as the endpoint list has it.
func (s State) String() string { return stateNames[s] }

// DiscoverySpec describes the discovery service: how late it learns of changes, and its capacity.
type DiscoverySpec struct {
	MinLag, MaxLag time.Duration // from a change to its entry in the list
	Call           time.Duration // time that a call takes
	PerEntry       time.Duration // and the time that each entry in the answer adds
	Timeout        time.Duration // a call that would have to wait longer fails
	Heartbeat      time.Duration // between the empty lines of a watch; 0 sends none
	Batch          time.Duration // changes are published together at each multiple of this; 0 publishes each at once
}

// Entry is an entry of the endpoint list.
type Entry struct {
	ID, Kind, Zone string
	Cell, Slot     int // Slot stands for the address; a replacement at the same address has the same slot
	State          State
	Started        Time // of the process; 0 is long ago
	Origin         bool
}

// List is what a call or a watch gets: the full list, or the changes after a version.
type List struct {
	Version int64
	IsFull  bool
	Entries []Entry
}

// discoveryService is the discovery service: the endpoint list, its latest changes and the open calls.
type discoveryService struct {
	spec       DiscoverySpec
	version    int64
	entries    []Entry // the full list, in the order in which the servers were added
	changes    []change
	calls      []openCall // in the order in which they began
	freeAt     Time       // when the accepted calls will have been answered
	isBatchDue bool       // watches will be notified of what has changed at this time

	// Active faults.
	extraLag    time.Duration
	outages     int // nothing is answered
	emptyFaults int // the list is empty
}

type change struct {
	version int64
	Entry
}

// openCall is a call that has not ended.
type openCall struct {
	id          uint64
	sentVersion int64 // version of the list that a watch has got, or notAnswered
}

// notAnswered is the version of a call that waits for its answer.
const notAnswered = -1

// maxChanges is the number of changes that are kept at least. A watch that is further behind gets the full list.
const maxChanges = 4096

// set takes an entry into the list, or removes it, and counts the version up.
func (d *discoveryService) set(entry Entry) {
	d.version++
	at := slices.IndexFunc(d.entries, func(listed Entry) bool { return listed.ID == entry.ID })
	switch {
	case at >= 0 && entry.State == Removed:
		d.entries = slices.Delete(d.entries, at, at+1)
	case at >= 0:
		d.entries[at] = entry
	case entry.State != Removed:
		d.entries = append(d.entries, entry)
	}
	d.changes = append(d.changes, change{d.version, entry})
	if len(d.changes) > 2*maxChanges { // not with each change
		d.changes = slices.Clone(d.changes[len(d.changes)-maxChanges:])
	}
}

// changesAfter returns the latest entry of each server that changed after a version, or the full list if the changes
// are no longer known.
func (d *discoveryService) changesAfter(version int64) List {
	if d.emptyFaults > 0 || !d.knowsChangesAfter(version) {
		return d.fullList()
	}
	list := List{Version: d.version}
	indexByID := map[string]int{}
	for _, change := range d.changes {
		if change.version <= version {
			continue
		}
		if i, ok := indexByID[change.ID]; ok {
			list.Entries[i] = change.Entry
			continue
		}
		indexByID[change.ID] = len(list.Entries)
		list.Entries = append(list.Entries, change.Entry)
	}
	return list
}

// publishedAt returns when a change that is known at a time is published.
func (d *discoveryService) publishedAt(known Time) Time {
	batch := d.spec.Batch
	if batch <= 0 {
		return known
	}
	return (known + batch - 1) / batch * batch
}

func (d *discoveryService) knowsChangesAfter(version int64) bool {
	if version >= d.version {
		return version == d.version
	}
	return len(d.changes) > 0 && d.changes[0].version <= version+1
}

// fullList returns the list as it is now; it is empty while a fault empties it.
func (d *discoveryService) fullList() List {
	list := List{Version: d.version, IsFull: true}
	if d.emptyFaults == 0 {
		list.Entries = append(list.Entries, d.entries...)
	}
	return list
}

// admit plans a call whose answer has the given number of entries. Calls are answered one after another; accepted is
// false if the call would have to wait too long, and it then fails at the time that is returned.
func (d *discoveryService) admit(now Time, entries int) (at Time, accepted bool) {
	start := max(now, d.freeAt)
	if start-now > d.spec.Timeout {
		return now + d.spec.Timeout, false
	}
	d.freeAt = start + d.spec.Call + time.Duration(entries)*d.spec.PerEntry
	return d.freeAt, true
}

func (d *discoveryService) indexOfCall(id uint64) int {
	return slices.IndexFunc(d.calls, func(call openCall) bool { return call.id == id })
}
