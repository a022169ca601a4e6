package admission

import "sync"

// MemoryUse is what memory of a MemoryBudget is reserved for. Each use may take a share of the budget, which leaves the rest to
// uses that are more important, or that give their memory back sooner.
type MemoryUse int

// The uses of the memory for responses.
const (
	// ExpectedResponse is a response that has not arrived, to a request behind unanswered ones of its connection. Its request is
	// not forwarded before the memory is reserved.
	ExpectedResponse MemoryUse = iota
	// LaterResponse is a response that arrives and can't be written yet, as an earlier one of its connection is missing. It keeps
	// its memory until that one has come.
	LaterResponse
	// NextResponse is a response that arrives and is the next one to be written on its connection. It keeps its memory for as
	// long as its client takes to read it.
	NextResponse
)

// The uses of the memory for requests.
const (
	// ReadRequest is a read that is not answered.
	ReadRequest MemoryUse = iota + NextResponse + 1
	// LongCommand is a command whose arguments are long, from when its length is known.
	LongCommand
	// WriteRequest is a write that is not answered, without its value if that is reserved as a LongCommand.
	WriteRequest
	numMemoryUses
)

// memoryEighths is how many eighths of a budget may be in use after a reservation for each use.
//
// What is left for NextResponse guarantees progress: responses that wait for others never hold all of the memory, and those that
// wait for nothing but their client give it back. What is left for WriteRequest is for short writes beside long ones, and for
// writes beside reads, as writes are never shed.
var memoryEighths = [numMemoryUses]int{
	ExpectedResponse: 4, LaterResponse: 6, NextResponse: 8,
	ReadRequest: 6, LongCommand: 5, WriteRequest: 8,
}

// MemoryBudget bounds the memory that a node uses for its requests or for its responses. It is safe for concurrent use. A nil
// MemoryBudget has no bound.
type MemoryBudget struct {
	limit int // bytes

	mu      sync.Mutex
	used    int // bytes that are reserved
	waits   int // number of calls of Wait so far
	waiting [numMemoryUses][]*MemoryWait
}

// MemoryWait is a reservation that waits for memory.
type MemoryWait struct {
	budget    *MemoryBudget
	bytes     int
	granted   func()
	isGranted bool
}

// NewMemoryBudget returns a budget of the given number of bytes.
func NewMemoryBudget(limit int) *MemoryBudget { return &MemoryBudget{limit: limit} }

// Reserve reserves memory and reports whether there was enough. It fails while earlier reservations for the same use wait.
func (b *MemoryBudget) Reserve(bytes int, use MemoryUse) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting[use]) > 0 || !b.isAvailable(bytes, use) {
		return false
	}
	b.used += bytes
	return true
}

// Wait reserves memory as soon as there is enough, in the order of the calls for one use. It then calls granted, which must neither
// block nor call the MemoryBudget; if there is enough at once, it calls granted before it returns.
func (b *MemoryBudget) Wait(bytes int, use MemoryUse, granted func()) *MemoryWait {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait := &MemoryWait{budget: b, bytes: bytes, granted: granted}
	b.waits++
	b.waiting[use] = append(b.waiting[use], wait)
	b.grant()
	return wait
}

// Release gives reserved memory back.
func (b *MemoryBudget) Release(bytes int) {
	if b == nil || bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	b.grant()
}

// Used returns the bytes that are reserved.
func (b *MemoryBudget) Used() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// IsShort reports whether reservations for a use wait for memory.
func (b *MemoryBudget) IsShort(use MemoryUse) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting[use]) > 0
}

// Waits returns how many reservations have had to wait so far.
func (b *MemoryBudget) Waits() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waits
}

// IsGranted reports whether the memory has been reserved. From then on it belongs to the caller, who gives it back by Release.
func (w *MemoryWait) IsGranted() bool {
	w.budget.mu.Lock()
	defer w.budget.mu.Unlock()
	return w.isGranted
}

// Bytes returns the number of bytes that the reservation is for.
func (w *MemoryWait) Bytes() int { return w.bytes }

// Cancel ends the wait. If the memory has been reserved, it gives the memory back.
func (w *MemoryWait) Cancel() {
	w.budget.mu.Lock()
	defer w.budget.mu.Unlock()
	if w.isGranted {
		w.budget.used -= w.bytes
	}
	for use, waits := range w.budget.waiting {
		w.budget.waiting[use] = removeWait(waits, w)
	}
	w.budget.grant()
}

// removeWait removes a wait from a list that holds it at most once.
func removeWait(waits []*MemoryWait, removed *MemoryWait) []*MemoryWait {
	for i, wait := range waits {
		if wait == removed {
			return append(waits[:i:i], waits[i+1:]...)
		}
	}
	return waits
}

// isAvailable reports whether a reservation leaves the budget within the share of its use. The caller holds mu.
func (b *MemoryBudget) isAvailable(bytes int, use MemoryUse) bool {
	return b.used+bytes <= b.limit*memoryEighths[use]/8
}

// grant reserves memory for the reservations that wait. The uses with the larger shares come first. The caller holds mu.
func (b *MemoryBudget) grant() {
	for use := numMemoryUses - 1; use >= 0; use-- {
		for len(b.waiting[use]) > 0 && b.isAvailable(b.waiting[use][0].bytes, use) {
			wait := b.waiting[use][0]
			b.waiting[use][0] = nil // the array outlives the slice and would keep the wait in memory
			b.waiting[use] = b.waiting[use][1:]
			b.used += wait.bytes
			wait.isGranted = true
			wait.granted()
		}
	}
}
