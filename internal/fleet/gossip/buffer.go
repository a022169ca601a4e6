package gossip

import (
	"cmp"
	"slices"
)

// Buffer collects a node's own observations and its sample of requested keys until they are encoded. The zero value is empty. It
// is not safe for concurrent use.
type Buffer struct {
	observations []Observation // one for each server, by the first event
	keys         []Fingerprint // at most maxKeys, by their requests
}

// KeyRequested adds a key of the sample. If there are more than a datagram can hold the earliest is dropped.
func (b *Buffer) KeyRequested(key Fingerprint) {
	if len(b.keys) == maxKeys {
		b.keys = slices.Delete(b.keys, 0, 1)
	}
	b.keys = append(b.keys, key)
}

// observation returns the observation of a server, a new one if there is none.
func (b *Buffer) observation(server Fingerprint) *Observation {
	for i := range b.observations {
		if b.observations[i].Server == server {
			return &b.observations[i]
		}
	}
	b.observations = append(b.observations, Observation{Server: server})
	return &b.observations[len(b.observations)-1]
}

// AttemptEnded counts an attempt at a server, which failed or was slow if isFailure is set.
func (b *Buffer) AttemptEnded(server Fingerprint, isFailure bool) {
	observation := b.observation(server)
	if observation.Attempts == maxAttempts {
		return // a sample is enough
	}
	observation.Attempts++
	if isFailure {
		observation.Failures++
	}
}

// Recovered notes that a server answered that was taken for unresponsive.
func (b *Buffer) Recovered(server Fingerprint) {
	observation := b.observation(server)
	observation.Recovered, observation.Unresponsive = true, false
}

// Unresponsive notes that a server is taken for unresponsive.
func (b *Buffer) Unresponsive(server Fingerprint) {
	observation := b.observation(server)
	observation.Recovered, observation.Unresponsive = false, true
}

// Encode returns a datagram with all keys and as many observations as fit, the most severe first if they don't all fit. These are
// removed from the buffer. If it is empty the datagram is nil.
func (b *Buffer) Encode() []byte {
	if len(b.observations)+len(b.keys) == 0 {
		return nil
	}
	if len(b.observations) > maxObservations {
		slices.SortStableFunc(b.observations, func(x, y Observation) int { return cmp.Compare(y.severity(), x.severity()) })
	}
	count := min(len(b.observations), maxObservations)
	data := Message{Observations: b.observations[:count], Keys: b.keys}.encode()
	b.observations = slices.Delete(b.observations, 0, count)
	b.keys = b.keys[:0]
	return data
}

// clear drops all that was collected.
func (b *Buffer) clear() { b.observations, b.keys = nil, nil }
