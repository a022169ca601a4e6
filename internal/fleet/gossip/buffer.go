package gossip

import (
	"cmp"
	"slices"
)

// Buffer collects a node's own observations of servers and its sample of requested keys until Encode puts them into a datagram.
// The zero value is empty. A Buffer is not safe for concurrent use.
type Buffer struct {
	observations []Observation // one for each server with an event since the last report about that server
	keys         []Fingerprint // at most maxKeys requested keys, oldest first
}

// KeyRequested adds a requested key to the keys to be sent. If a datagram cannot hold that many keys, the oldest one is dropped.
func (b *Buffer) KeyRequested(key Fingerprint) {
	if len(b.keys) == maxKeys {
		b.keys = slices.Delete(b.keys, 0, 1)
	}
	b.keys = append(b.keys, key)
}

// observation returns the buffer's observation about a server. If the buffer has none, it adds an empty one and returns that.
func (b *Buffer) observation(server Fingerprint) *Observation {
	for i := range b.observations {
		if b.observations[i].Server == server {
			return &b.observations[i]
		}
	}
	b.observations = append(b.observations, Observation{Server: server})
	return &b.observations[len(b.observations)-1]
}

// AttemptEnded counts an attempt at a server. isFailure says that the attempt failed or was slow.
func (b *Buffer) AttemptEnded(server Fingerprint, isFailure bool) {
	observation := b.observation(server)
	if observation.Attempts == maxAttempts {
		return // more attempts are not needed as a sample, and would not fit into the three bits of the datagram
	}
	observation.Attempts++
	if isFailure {
		observation.Failures++
	}
}

// Recovered records that a server answered after this node had considered the server unresponsive.
func (b *Buffer) Recovered(server Fingerprint) {
	observation := b.observation(server)
	observation.Recovered, observation.Unresponsive = true, false
}

// Unresponsive records that this node now considers a server unresponsive.
func (b *Buffer) Unresponsive(server Fingerprint) {
	observation := b.observation(server)
	observation.Recovered, observation.Unresponsive = false, true
}

// Encode returns a datagram with all keys and as many observations as fit, and removes from the buffer what the datagram holds.
// If not all observations fit, those of unresponsive servers are taken first, then those with the most failures. If the buffer is
// empty, Encode returns nil.
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

// clear removes all observations and keys from the buffer.
func (b *Buffer) clear() { b.observations, b.keys = nil, nil }
