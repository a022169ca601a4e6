package admission

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestEachUseHasItsShareOfMemory(t *testing.T) {
	memory := NewMemoryBudget(400)
	for _, test := range []struct {
		use  MemoryUse
		want int // bytes in use once the use gets no more
	}{{ExpectedResponse, 200}, {LaterResponse, 300}, {NextResponse, 400}} {
		for memory.Reserve(1, test.use) {
			continue
		}
		if got := memory.Used(); got != test.want {
			t.Errorf("use %d: %d bytes are in use when there is no more, want %d", test.use, got, test.want)
		}
	}
	var unbounded *MemoryBudget
	if !unbounded.Reserve(1<<40, ExpectedResponse) {
		t.Error("got no memory without a bound")
	}
}

// The last quarter of the memory for requests is for writes, and no more than five eighths are for long values, so that neither
// reads nor long writes keep short writes out.
func TestLastQuarterOfRequestMemoryIsForWrites(t *testing.T) {
	const requestBytes, longBytes = 10, 100
	memory := NewMemoryBudget(100 * requestBytes)
	longWrites, reads, writes := 0, 0, 0
	for memory.Reserve(longBytes, LongCommand) {
		longWrites++
	}
	for memory.Reserve(requestBytes, ReadRequest) {
		reads++
	}
	for memory.Reserve(requestBytes, WriteRequest) {
		writes++
	}
	if longWrites != 6 || reads != 15 || writes != 25 {
		t.Errorf("got %d long writes, %d reads and %d writes, want 6, 15 and 25", longWrites, reads, writes)
	}
	if memory.Reserve(longBytes, WriteRequest) {
		t.Error("got memory past the bound")
	}
	memory.Release(requestBytes)
	if memory.Reserve(requestBytes, ReadRequest) {
		t.Error("got memory for a read in the part for writes")
	}
	if !memory.Reserve(requestBytes, WriteRequest) {
		t.Error("got no memory for a write after a request ended")
	}
}

// modelReservation is memory that is reserved or waited for.
type modelReservation struct {
	bytes int
	wait  *MemoryWait // nil if the memory was reserved at once
}

func (r modelReservation) isReserved() bool { return r.wait == nil || r.wait.IsGranted() }

// release gives the memory back, or ends the wait for it.
func (r modelReservation) release(memory *MemoryBudget) {
	if r.wait != nil {
		r.wait.Cancel()
	} else {
		memory.Release(r.bytes)
	}
}

// Whatever is reserved, waited for, cancelled and released, what is in use stays within the share of each use. Memory is
// granted in the order of the waits, as soon as there is enough, and nothing is lost.
func TestMemoryIsBoundedFairAndGivenBack(t *testing.T) {
	const limit = 400
	rapid.Check(t, func(t *rapid.T) {
		memory := NewMemoryBudget(limit)
		reservations := [numMemoryUses][]modelReservation{}
		grants := 0
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			use := MemoryUse(rapid.IntRange(0, int(numMemoryUses)-1).Draw(t, "use"))
			ofUse := &reservations[use]
			bytes := rapid.IntRange(1, limit/4).Draw(t, "bytes")
			switch isNew := rapid.IntRange(0, 2).Draw(t, "is new") > 0; {
			case isNew && memory.Reserve(bytes, use):
				*ofUse = append(*ofUse, modelReservation{bytes: bytes})
			case isNew:
				*ofUse = append(*ofUse, modelReservation{bytes, memory.Wait(bytes, use, func() { grants++ })})
			case len(*ofUse) > 0:
				i := rapid.IntRange(0, len(*ofUse)-1).Draw(t, "which")
				(*ofUse)[i].release(memory)
				*ofUse = slices.Delete(*ofUse, i, i+1)
			}
			checkReservations(t, memory, reservations[:])
		}
		for _, ofUse := range reservations {
			for _, reservation := range ofUse {
				reservation.release(memory)
			}
		}
		if memory.Used() != 0 {
			t.Fatalf("%d bytes are in use after all were given back, want 0", memory.Used())
		}
	})
}

// checkReservations checks the state of a memory against the reservations that were made, by use and in their order.
func checkReservations(t *rapid.T, memory *MemoryBudget, reservations [][]modelReservation) {
	used := 0
	for use, ofUse := range reservations {
		isSomeoneWaiting := false
		for _, reservation := range ofUse {
			if reservation.isReserved() {
				used += reservation.bytes
			}
			if reservation.wait == nil {
				continue
			}
			if isSomeoneWaiting && reservation.isReserved() {
				t.Fatalf("use %d: got memory granted ahead of an earlier wait, want the order of the waits", use)
			}
			if !reservation.isReserved() && !isSomeoneWaiting && memory.Used()+reservation.bytes <= memory.limit*memoryEighths[use]/8 {
				t.Fatalf("use %d: got a wait for %d bytes with %d in use, want it granted", use, reservation.bytes, memory.Used())
			}
			isSomeoneWaiting = isSomeoneWaiting || !reservation.isReserved()
		}
	}
	if got := memory.Used(); got != used || got > memory.limit {
		t.Fatalf("%d bytes are in use, want the %d that are reserved, and %d at most", got, used, memory.limit)
	}
}
