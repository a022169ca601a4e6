package model

import (
	"math/rand/v2"
	"time"
)

// LinkSpec is the network between a node and a server.
type LinkSpec struct {
	SameLeast, SameMost   time.Duration // one way inside a zone
	CrossLeast, CrossMost time.Duration // and between two
	Loss                  float64       // share of messages that come a retransmission later
	Retransmit            time.Duration
}

// link is one direction of one connection. It keeps the order of what is sent.
type link struct {
	rand  *rand.Rand
	last  Time // the latest arrival so far
	delay time.Duration
}

func newLink(spec *LinkSpec, r *rand.Rand, same bool) *link {
	l := &link{rand: r}
	if same {
		l.delay = span(r, spec.SameLeast, spec.SameMost)
	} else {
		l.delay = span(r, spec.CrossLeast, spec.CrossMost)
	}
	return l
}

// arrival is when what is sent now arrives. extra and loss are what faults add.
func (l *link) arrival(now Time, spec *LinkSpec, extra time.Duration, loss float64) Time {
	at := now + l.delay + extra
	if p := spec.Loss + loss; p > 0 && l.rand.Float64() < p {
		at += spec.Retransmit
	}
	l.last = max(l.last, at)
	return l.last
}
