package upstream

import "sync/atomic"

// defaultMaxResponse is the largest value, in bytes, that is accepted without a ResponseMemory. It is the limit in the protocol's
// documentation.
const defaultMaxResponse = 64 << 10

// ResponseMemory bounds the memory that long responses of all servers use while they arrive. One value may be far longer than
// usual, but only a few such values may arrive at once. A nil ResponseMemory does not bound the total. It is safe for concurrent
// use.
type ResponseMemory struct {
	total       int // size of the budget, in bytes
	maxResponse int // largest value that is accepted, in bytes
	available   atomic.Int64
}

// NewResponseMemory returns a budget of the given number of bytes. One response takes at most maxResponse of them.
func NewResponseMemory(bytes, maxResponse int) *ResponseMemory {
	m := &ResponseMemory{total: bytes, maxResponse: maxResponse}
	m.available.Store(int64(bytes))
	return m
}

// MaxResponse returns the largest value that is accepted, in bytes.
func (m *ResponseMemory) MaxResponse() int {
	if m == nil {
		return defaultMaxResponse
	}
	return m.maxResponse
}

// Reserve takes a number of bytes from the budget and reports whether they were available.
func (m *ResponseMemory) Reserve(bytes int) bool {
	if m == nil || m.available.Add(int64(-bytes)) >= 0 {
		return true
	}
	m.available.Add(int64(bytes))
	return false
}

// Release returns reserved bytes to the budget.
func (m *ResponseMemory) Release(bytes int) {
	if m != nil {
		m.available.Add(int64(bytes))
	}
}

// Available returns the bytes that may still be reserved. It must not be called on nil.
func (m *ResponseMemory) Available() int { return int(m.available.Load()) }

// Reserved returns the bytes that are reserved. It must not be called on nil.
func (m *ResponseMemory) Reserved() int { return m.total - m.Available() }
