package simulation

import "time"

// end is one end of a byte stream between two parties. What is written at one end comes to the other in order, cut into
// segments anywhere, each a little later; a reset overtakes what is on its way.
type end struct {
	w    *world
	far  *end
	link link // of what is written here

	lastAt Time // when the last segment arrives
	dead   bool // closed or reset here: nothing more comes in or goes out
	silent bool // what is written here goes nowhere, and nobody is told

	data  func(b []byte, sent Time)
	ended func(reset bool)
}

// link is what a stream does to what is written to it.
type link struct {
	least, most time.Duration // one way
	cut         float64       // chance that a write is cut into segments
	slow        float64       // chance that a segment is late by up to slowBy
	slowBy      time.Duration
}

// pipe makes a stream between two parties.
func (w *world) pipe(there, back link) (a, b *end) {
	a, b = &end{w: w, link: there}, &end{w: w, link: back}
	a.far, b.far = b, a
	return a, b
}

// arrival is when what is sent now comes, after all that was sent before.
func (e *end) arrival() Time {
	at := e.w.now + e.w.between(e.link.least, e.link.most)
	if e.w.strikes(e.link.slow) {
		at += e.w.between(0, e.link.slowBy)
	}
	e.lastAt = max(e.lastAt, at)
	return e.lastAt
}

// write sends bytes; they are copied.
func (e *end) write(b []byte) {
	if e.dead || e.silent || len(b) == 0 {
		return
	}
	b = append([]byte(nil), b...)
	sent := e.w.now
	for len(b) > 0 {
		n := len(b)
		if e.w.chance(e.link.cut) {
			n = 1 + e.w.rng.IntN(n)
		}
		piece := b[:n]
		b = b[n:]
		e.w.at(e.arrival(), func() {
			if f := e.far; !f.dead && !e.silent && f.data != nil {
				f.data(piece, sent)
			}
		})
	}
}

// close ends the stream from this end, after what was written: a FIN.
func (e *end) close() {
	if e.dead {
		return
	}
	e.dead = true
	if e.silent {
		return
	}
	e.w.at(e.arrival(), func() { e.far.cut(false) })
}

// reset ends it at once, with what is on its way on it, both ways.
func (e *end) reset() {
	if e.dead {
		return
	}
	e.dead = true
	if e.silent {
		return
	}
	e.w.after(e.w.between(e.link.least, e.link.most), func() { e.far.cut(true) })
}

// cut is how the end of the stream shows here.
func (e *end) cut(reset bool) {
	if e.dead {
		return
	}
	e.dead = true
	if e.ended != nil {
		e.ended(reset)
	}
}

// snap breaks the stream after what was written here: the far end sees a reset behind it, and this one has failed.
func (e *end) snap() {
	e.dead = true
	if !e.silent {
		e.w.at(e.arrival(), func() { e.far.cut(true) })
	}
}
