package model

import (
	"slices"
	"time"
)

// State is the state of a server in the endpoint list.
type State int

// States of a server in the endpoint list.
const (
	Up State = iota
	Draining
	Removed
)

var stateNames = [...]string{"up", "draining", "removed"}

// String returns the state as it appears in the endpoint list.
func (s State) String() string { return stateNames[s] }

// DiscoverySpec describes the discovery service: how late it learns of changes, and its capacity.
type DiscoverySpec struct {
	MinLag, MaxLag time.Duration // range of the delay from a change until it is in the list
	Call           time.Duration // time that the service needs for a call
	PerEntry       time.Duration // additional time for each entry in the answer
	Timeout        time.Duration // longest wait of a call; a call that would have to wait longer fails
	Heartbeat      time.Duration // interval of the empty lines on a watch; 0 means none
	Batch          time.Duration // changes are published together at each multiple of this interval; 0 publishes each change at once
}

// Entry is an entry of the endpoint list.
type Entry struct {
	ID, Kind, Zone string
	Cell, Slot     int // Slot stands for the address: a replacement at the same address has the same slot
	State          State
	Started        Time // start of the process; 0 means long ago
	Origin         bool
}

// List is what the discovery service sends to a call or a watch: the full list, or the changes after a version.
type List struct {
	Version int64
	IsFull  bool
	Entries []Entry
}

// discoveryService models the discovery service: the endpoint list, its latest changes and the open calls.
type discoveryService struct {
	spec       DiscoverySpec
	version    int64
	entries    []Entry // the full list, in the order in which the servers were added
	changes    []change
	calls      []openCall // open calls, in the order in which they began
	freeAt     Time       // when all accepted calls will have been answered
	isBatchDue bool       // a notification of the watches is scheduled after the other changes of this time

	// Active faults of the discovery service.
	extraLag    time.Duration
	outages     int // number of active faults that make the service answer nothing
	emptyFaults int // number of active faults that empty the list
}

type change struct {
	version int64
	Entry
}

// openCall is a call that has not ended.
type openCall struct {
	id          uint64
	sentVersion int64 // version of the list that was last sent to a watch, or notAnswered
}

// notAnswered is the sentVersion of a call that still waits for its answer.
const notAnswered = -1

// minChanges is the minimum number of changes that are kept. A watch that is further behind gets the full list.
const minChanges = 4096

// set adds, replaces or removes the entry of a server in the list, and increments the version.
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
	if len(d.changes) > 2*minChanges { // trimming at twice the number avoids copying with each change
		d.changes = slices.Clone(d.changes[len(d.changes)-minChanges:])
	}
}

// changesAfter returns the latest entry of each server that changed after a version. It returns the full list if the
// changes are no longer known or a fault empties the list.
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

// publishedAt returns when the service publishes a change that it learns of at the given time.
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

// fullList returns the current list. The list has no entries while a fault empties it.
func (d *discoveryService) fullList() List {
	list := List{Version: d.version, IsFull: true}
	if d.emptyFaults == 0 {
		list.Entries = append(list.Entries, d.entries...)
	}
	return list
}

// admit schedules a call whose answer has the given number of entries. Calls are answered one after another. accepted is
// false if the call would have to wait longer than Timeout. at is the time of the answer, or that of the failure.
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
