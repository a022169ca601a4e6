package upstream

import "sync/atomic"

// defaultMaxResponse is the largest value, in bytes, without a ResponseMemory: the bound that the protocol's page gives.
const defaultMaxResponse = 64 << 10

// ResponseMemory bounds the memory of long responses while they arrive, over all servers: a value may be far longer than usual, but
// only a few such values may arrive at once. A nil ResponseMemory has no bound in total. It is safe for concurrent use.
type ResponseMemory struct {
	maxResponse int // bytes
	available   atomic.Int64
}

// NewResponseMemory returns a budget of the given bytes, of which one response takes at most maxResponse.
func NewResponseMemory(bytes, maxResponse int) *ResponseMemory {
	m := &ResponseMemory{maxResponse: maxResponse}
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

// Reserve takes bytes from the budget and reports whether they were available.
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
