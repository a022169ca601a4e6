package admission

// RequestMemory bounds the bytes of the requests in progress: what each came with, and what is kept for it. Values come
// with writes, which have the greatest weight and are never shed; so the last part is for them alone, and past the bound
// a request is rejected before anything of it has run.
type RequestMemory struct {
	Limit int // bytes; 0 is no bound

	used int // bytes
}

const (
	// bytesPerRequest is what the node keeps for a request beside its value: the request, its attempts, timers and map
	// entries, and its part of the buffers that it was read from and is written to.
	bytesPerRequest = 2 << 10
	// writeReserve is the part of the bound that reads leave to writes: one in so many.
	writeReserve = 4
)

// Reserve counts a request with a value of valueSize bytes, and reports whether there was memory for it.
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

// Release gives back what Reserve counted for a request.
func (m *RequestMemory) Release(valueSize int) { m.used -= bytesPerRequest + valueSize }
