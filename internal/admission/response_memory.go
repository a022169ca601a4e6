package admission

import "sync"

// ResponsePriority ranks the uses of ResponseMemory. A use of a higher priority may take more of the memory.
type ResponsePriority int

// The priorities, the lowest first.
const (
	// ExpectedResponse is for a response that has not arrived, to a request behind unanswered ones of its connection. Its
	// request is not forwarded before the memory is reserved.
	ExpectedResponse ResponsePriority = iota
	// LaterResponse is for a response that arrives and can't be written yet, as an earlier one of its connection is missing. It
	// keeps its memory until that one has come.
	LaterResponse
	// NextResponse is for a response that arrives and is the next one to be written on its connection. It keeps its memory for
	// as long as its client takes to read it.
	NextResponse
	numResponsePriorities
)

// responseMemoryQuarters is how many quarters of the memory may be in use after a reservation of each priority. What is left
// for NextResponse guarantees progress: responses that wait for others never hold all of the memory, and those that wait for
// nothing but their client give it back.
var responseMemoryQuarters = [numResponsePriorities]int{ExpectedResponse: 2, LaterResponse: 3, NextResponse: 4}

// ResponseMemory bounds the memory of the responses that a node holds: from when their size is known, while they arrive from a
// server, up to when they are written to their client or dropped. It is safe for concurrent use. A nil ResponseMemory has no
// bound.
type ResponseMemory struct {
	limit int // bytes

	mu      sync.Mutex
	used    int // bytes that are reserved
	waits   int // number of calls of Wait so far
	waiting [numResponsePriorities][]*MemoryWait
}

// MemoryWait is a reservation that waits for memory.
type MemoryWait struct {
	memory    *ResponseMemory
	bytes     int
	granted   func()
	isGranted bool
}

// NewResponseMemory returns a budget of the given number of bytes.
func NewResponseMemory(limit int) *ResponseMemory { return &ResponseMemory{limit: limit} }

// Reserve reserves memory and reports whether there was enough. It fails while earlier reservations of the same priority wait.
func (m *ResponseMemory) Reserve(bytes int, priority ResponsePriority) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiting[priority]) > 0 || !m.hasRoom(bytes, priority) {
		return false
	}
	m.used += bytes
	return true
}

// Wait reserves memory as soon as there is enough, in the order of the calls of one priority. It then calls granted, which must
// neither block nor call the ResponseMemory; if there is enough at once, it calls granted before it returns.
func (m *ResponseMemory) Wait(bytes int, priority ResponsePriority, granted func()) *MemoryWait {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait := &MemoryWait{memory: m, bytes: bytes, granted: granted}
	m.waits++
	m.waiting[priority] = append(m.waiting[priority], wait)
	m.grant()
	return wait
}

// Release gives reserved memory back.
func (m *ResponseMemory) Release(bytes int) {
	if m == nil || bytes == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
	m.grant()
}

// Used returns the bytes that are reserved.
func (m *ResponseMemory) Used() int {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Waits returns how many reservations have had to wait so far.
func (m *ResponseMemory) Waits() int {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waits
}

// IsGranted reports whether the memory has been reserved. From then on it belongs to the caller, who gives it back by Release.
func (w *MemoryWait) IsGranted() bool {
	w.memory.mu.Lock()
	defer w.memory.mu.Unlock()
	return w.isGranted
}

// Bytes returns the number of bytes that the reservation is for.
func (w *MemoryWait) Bytes() int { return w.bytes }

// Cancel ends the wait. If the memory has been reserved, it gives the memory back.
func (w *MemoryWait) Cancel() {
	w.memory.mu.Lock()
	defer w.memory.mu.Unlock()
	if w.isGranted {
		w.memory.used -= w.bytes
	}
	for priority, waits := range w.memory.waiting {
		w.memory.waiting[priority] = removeWait(waits, w)
	}
	w.memory.grant()
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

// hasRoom reports whether a reservation leaves the uses within the bound of its priority. The caller holds mu.
func (m *ResponseMemory) hasRoom(bytes int, priority ResponsePriority) bool {
	return m.used+bytes <= m.limit/4*responseMemoryQuarters[priority]
}

// grant reserves memory for the reservations that wait, those of the highest priority first. The caller holds mu.
func (m *ResponseMemory) grant() {
	for priority := NextResponse; priority >= ExpectedResponse; priority-- {
		for len(m.waiting[priority]) > 0 && m.hasRoom(m.waiting[priority][0].bytes, priority) {
			wait := m.waiting[priority][0]
			m.waiting[priority][0] = nil // the array outlives the slice and would keep the wait in memory
			m.waiting[priority] = m.waiting[priority][1:]
			m.used += wait.bytes
			wait.isGranted = true
			wait.granted()
		}
	}
}
