package admission

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestEachPriorityHasItsShareOfResponseMemory(t *testing.T) {
	memory := NewResponseMemory(400)
	for _, test := range []struct {
		priority ResponsePriority
		want     int // bytes in use once the priority gets no more
	}{{ExpectedResponse, 200}, {LaterResponse, 300}, {NextResponse, 400}} {
		for memory.Reserve(1, test.priority) {
			continue
		}
		if got := memory.Used(); got != test.want {
			t.Errorf("priority %d: %d bytes are in use when there is no more, want %d", test.priority, got, test.want)
		}
	}
	var unbounded *ResponseMemory
	if !unbounded.Reserve(1<<40, ExpectedResponse) {
		t.Error("got no memory without a bound")
	}
}

// modelReservation is memory that is reserved or waited for.
type modelReservation struct {
	bytes int
	wait  *MemoryWait // nil if the memory was reserved at once
}

func (r modelReservation) isHeld() bool { return r.wait == nil || r.wait.IsGranted() }

// release gives the memory back, or ends the wait for it.
func (r modelReservation) release(memory *ResponseMemory) {
	if r.wait != nil {
		r.wait.Cancel()
	} else {
		memory.Release(r.bytes)
	}
}

// Whatever is reserved, waited for, cancelled and released, what is in use stays within the share of each priority. Memory is
// granted in the order of the waits, as soon as there is enough, and nothing is lost.
func TestResponseMemoryIsBoundedFairAndGivenBack(t *testing.T) {
	const limit = 400
	rapid.Check(t, func(t *rapid.T) {
		memory := NewResponseMemory(limit)
		reservations := [numResponsePriorities][]modelReservation{}
		grants := 0
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			priority := ResponsePriority(rapid.IntRange(0, int(numResponsePriorities)-1).Draw(t, "priority"))
			held := &reservations[priority]
			bytes := rapid.IntRange(1, limit/4).Draw(t, "bytes")
			switch isNew := rapid.IntRange(0, 2).Draw(t, "is new") > 0; {
			case isNew && memory.Reserve(bytes, priority):
				*held = append(*held, modelReservation{bytes: bytes})
			case isNew:
				*held = append(*held, modelReservation{bytes, memory.Wait(bytes, priority, func() { grants++ })})
			case len(*held) > 0:
				i := rapid.IntRange(0, len(*held)-1).Draw(t, "which")
				(*held)[i].release(memory)
				*held = slices.Delete(*held, i, i+1)
			}
			checkReservations(t, memory, reservations[:])
		}
		for _, held := range reservations {
			for _, reservation := range held {
				reservation.release(memory)
			}
		}
		if memory.Used() != 0 {
			t.Fatalf("%d bytes are in use after all were given back, want 0", memory.Used())
		}
	})
}

// checkReservations checks the state of a memory against the reservations that were made, by priority and in their order.
func checkReservations(t *rapid.T, memory *ResponseMemory, reservations [][]modelReservation) {
	used := 0
	for priority, held := range reservations {
		isSomeoneWaiting := false
		for _, reservation := range held {
			if reservation.isHeld() {
				used += reservation.bytes
			}
			if reservation.wait == nil {
				continue
			}
			if isSomeoneWaiting && reservation.isHeld() {
				t.Fatalf("priority %d: got memory granted ahead of an earlier wait, want the order of the waits", priority)
			}
			if !reservation.isHeld() && !isSomeoneWaiting && memory.Used()+reservation.bytes <= memory.limit/4*responseMemoryQuarters[priority] {
				t.Fatalf("priority %d: got a wait for %d bytes with %d in use, want it granted", priority, reservation.bytes, memory.Used())
			}
			isSomeoneWaiting = isSomeoneWaiting || !reservation.isHeld()
		}
	}
	if got := memory.Used(); got != used || got > memory.limit {
		t.Fatalf("%d bytes are in use, want the %d that are held, and %d at most", got, used, memory.limit)
	}
}
