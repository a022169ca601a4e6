package admission

// RequestMemory bounds the bytes of the requests in progress: the value of each request, and the memory that the node
// keeps for it. Only writes carry values. Writes have the greatest weight and are never shed, so the last part of the
// memory is reserved for them. Past the bound a request is rejected before any of it is executed.
type RequestMemory struct {
	Limit int // maximum bytes of all requests in progress together; 0 means no bound

	used int // bytes that are reserved
}

const (
	// bytesPerRequest is the memory that the node keeps for a request in addition to its value: the request, its attempts,
	// timers and map entries, and its part of the buffers that it was read from and is written to.
	bytesPerRequest = 2 << 10
	// writeReserve is the divisor of Limit that gives the bytes reserved for writes: a quarter of the limit.
	writeReserve = 4
)

// Reserve reserves memory for a request with a value of valueSize bytes, and reports whether there was enough.
func (m *RequestMemory) Reserve(valueSize int, isWrite bool) bool {
	limit := m.Limit
	if !isWrite {
		limit -= limit / writeReserve
	}
	if m.Limit > 0 && m.used+bytesPerRequest+valueSize > limit {
		return false
	}
	m.used += bytesPerRequest + valueSize
	return true
}

// Release frees the memory that Reserve reserved for a request.
func (m *RequestMemory) Release(valueSize int) { m.used -= bytesPerRequest + valueSize }
