package model

import (
	"math/rand/v2"
	"time"
)

// LinkSpec describes the network between a node and a server.
type LinkSpec struct {
	SameLeast, SameMost   time.Duration // range of the one-way delay within a zone
	CrossLeast, CrossMost time.Duration // range of the one-way delay between zones
	Loss                  float64       // fraction of the messages that are lost once and sent again
	Retransmit            time.Duration // delay that a loss adds
}

// link is one direction of a connection. Messages arrive in the order in which they were sent.
type link struct {
	random      *rand.Rand
	lastArrival Time // latest arrival time so far
	delay       time.Duration
}

func newLink(spec *LinkSpec, random *rand.Rand, isSameZone bool) *link {
	least, most := spec.CrossLeast, spec.CrossMost
	if isSameZone {
		least, most = spec.SameLeast, spec.SameMost
	}
	return &link{random: random, delay: drawDuration(random, least, most)}
}

// arrival returns when a message that is sent now arrives. extraLoss is the probability of loss that active faults add.
func (l *link) arrival(now Time, spec *LinkSpec, extraLoss float64) Time {
	at := now + l.delay
	if loss := spec.Loss + extraLoss; loss > 0 && l.random.Float64() < loss {
		at += spec.Retransmit
	}
	l.lastArrival = max(l.lastArrival, at)
	return l.lastArrival
}
