// Package gossip is what nodes tell each other of the servers they have met: how often of late, how often it went
// badly, whether there was any answer. A node of many meets most servers seldom, and together they meet each of them
// all the time. It holds no clock and no sockets, and what follows for a request is the
// module's affair.
//
// They also tell each other a sample of the keys that they are asked for: a node of many sees a key that draws a tenth
// of all requests about as often as any other, and all of them together send it to one server before one of them knows.
//
// A datagram is one byte of version, one with the number of keys, three bytes for each key, and then the notes, four
// bytes each: three that name the server, one with two counts of three bits and two flags. All are samples, so one that
// is lost, late or read twice does little harm. What they cost is priced by the byte and by the receiver: nothing is
// told of a server of which no ill is known, and the less the more is known already (Talk).
package gossip

import (
	"errors"
	"slices"
)

const (
	version  = 2
	header   = 2
	keySize  = 3
	noteSize = 4
	maxCount = 7  // of one note; three bits
	maxKeys  = 16 // of one datagram
	maxNotes = 50 // of one datagram; the platform takes 256 bytes
	maxBytes = header + maxKeys*keySize + maxNotes*noteSize
	markBits = 1<<24 - 1 // of a server's hash

	flagAnswered, flagSilent = 1, 2
)

// Fingerprint names a server or a key: the lowest bits of a hash that is the same at every node. With 60 servers two share one
// in one fleet of 10,000, and are then judged together.
type Fingerprint uint32

// FingerprintOf takes the mark out of a hash.
func FingerprintOf(hash uint64) Fingerprint { return Fingerprint(hash & markBits) }

// Observation is what one node met at one server since its last note.
type Observation struct {
	Server       Fingerprint
	Attempts     int  // attempts that ended, at most 7
	Failures     int  // of them: slow or failed
	Recovered    bool // it answered after the node had believed it down
	Unresponsive bool // the node believes that it is down
}

// Buffer collects a node's own notes and the keys of its sample until they are taken.
type Buffer struct {
	notes []Observation
	keys  []Fingerprint
}

// KeyRequested notes a key of the sample. Of more than fit a datagram the earliest go.
func (l *Buffer) KeyRequested(key Fingerprint) {
	if len(l.keys) == maxKeys {
		l.keys = slices.Delete(l.keys, 0, 1)
	}
	l.keys = append(l.keys, key)
}

func (l *Buffer) note(m Fingerprint) *Observation {
	for i := range l.notes {
		if l.notes[i].Server == m {
			return &l.notes[i]
		}
	}
	l.notes = append(l.notes, Observation{Server: m})
	return &l.notes[len(l.notes)-1]
}

// AttemptEnded notes an attempt that ended.
func (l *Buffer) AttemptEnded(m Fingerprint, bad bool) {
	n := l.note(m)
	if n.Attempts == maxCount {
		return // a sample is enough
	}
	n.Attempts++
	if bad {
		n.Failures++
	}
}

// Recovered notes a sign of life.
func (l *Buffer) Recovered(m Fingerprint) {
	n := l.note(m)
	n.Recovered, n.Unresponsive = true, false
}

// Unresponsive notes that a server is believed down.
func (l *Buffer) Unresponsive(m Fingerprint) {
	n := l.note(m)
	n.Recovered, n.Unresponsive = false, true
}

// Encode returns a datagram with the keys and the notes collected, the worst notes first where they don't all fit, or nil
// without any. Notes that don't fit stay for the next.
func (l *Buffer) Encode() []byte {
	if len(l.notes)+len(l.keys) == 0 {
		return nil
	}
	if len(l.notes) > maxNotes {
		slices.SortStableFunc(l.notes, func(a, b Observation) int { return b.weight() - a.weight() })
	}
	n := min(len(l.notes), maxNotes)
	b := append(make([]byte, 0, header+len(l.keys)*keySize+n*noteSize), version, byte(len(l.keys)))
	for _, m := range l.keys {
		b = append(b, byte(m>>16), byte(m>>8), byte(m))
	}
	l.keys = l.keys[:0]
	for _, note := range l.notes[:n] {
		flags := byte(0)
		if note.Recovered {
			flags |= flagAnswered
		}
		if note.Unresponsive {
			flags |= flagSilent
		}
		m := note.Server
		b = append(b, byte(m>>16), byte(m>>8), byte(m), byte(note.Attempts<<5|note.Failures<<2)|flags)
	}
	l.notes = slices.Delete(l.notes, 0, n)
	return b
}

func (n Observation) weight() int {
	if n.Unresponsive {
		return 2 * maxCount
	}
	return n.Failures
}

// ErrMalformed is returned for a datagram that no node of this version sent.
var ErrMalformed = errors.New("gossip: malformed datagram")

// Message is what a datagram holds.
type Message struct {
	Observations []Observation
	Keys         []Fingerprint
}

// Decode reads a datagram. A malformed one counts for nothing, not even in part.
func Decode(b []byte) (Message, error) {
	if len(b) <= header || len(b) > maxBytes || b[0] != version || b[1] > maxKeys {
		return Message{}, ErrMalformed
	}
	keys, notes := b[header:], []byte(nil)
	if n := int(b[1]) * keySize; n <= len(keys) {
		keys, notes = keys[:n], keys[n:]
	} else {
		return Message{}, ErrMalformed
	}
	if len(notes)%noteSize != 0 || len(notes) > maxNotes*noteSize {
		return Message{}, ErrMalformed
	}
	var news Message
	for ; len(keys) > 0; keys = keys[keySize:] {
		news.Keys = append(news.Keys, mark(keys))
	}
	for b = notes; len(b) > 0; b = b[noteSize:] {
		n := Observation{Server: mark(b), Attempts: int(b[3] >> 5), Failures: int(b[3] >> 2 & maxCount),
			Recovered: b[3]&flagAnswered != 0, Unresponsive: b[3]&flagSilent != 0}
		if n.Failures > n.Attempts || n.Recovered && n.Unresponsive {
			return Message{}, ErrMalformed
		}
		news.Observations = append(news.Observations, n)
	}
	return news, nil
}

func mark(b []byte) Fingerprint {
	return Fingerprint(b[0])<<16 | Fingerprint(b[1])<<8 | Fingerprint(b[2])
}
