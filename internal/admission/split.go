package admission

import (
	"math"
	"time"
)

// Side is a use of descriptors.
type Side int

// The sides.
const (
	Clients      Side = iota
	CacheServers      // all cache servers together
	Origin
	NumSides
)

// SideUsage is what a side shows at a look.
type SideUsage struct {
	InUse     int
	Exhausted int64 // how often there was none to be had, since the start
}

// DescriptorSplitPolicy says how descriptors are divided.
type DescriptorSplitPolicy struct {
	Start, Floor [NumSides]int
	Step         int           // moved at a time, at most
	Hold         time.Duration // a side that was given some gives none away for so long
	Fade         time.Duration // a peak of use counts 1/e after this long
}

// DescriptorSplit divides descriptors among the sides by the need that they show. What one side gets another gives, so the sum
// never changes; a side gives only what it has not used of late, and never below its floor. A side that has just been
// given some keeps it for a while, so that two sides in need do not pass the same ones back and forth.
type DescriptorSplit struct {
	policy  DescriptorSplitPolicy
	limits  [NumSides]int
	peak    [NumSides]float64
	refused [NumSides]int64
	fed     [NumSides]Time
	at      Time
	begun   bool
}

// NewDescriptorSplit makes a split as the policy starts it.
func NewDescriptorSplit(p DescriptorSplitPolicy) *DescriptorSplit {
	return &DescriptorSplit{policy: p, limits: p.Start}
}

// Limits is what each side may have now.
func (s *DescriptorSplit) Limits() [NumSides]int { return s.limits }

// need is how much a side wants at the least: what it has used of late and a quarter, so that a move never takes
// anything from under it.
func (s *DescriptorSplit) need(i Side) int {
	return max(s.policy.Floor[i], int(math.Ceil(s.peak[i]*1.25))+2)
}

// Rebalance takes what the sides show and moves some descriptors to the one most in need, if another can spare them. It is
// called at even intervals, a few times a second.
func (s *DescriptorSplit) Rebalance(now Time, uses [NumSides]SideUsage) (changed bool) {
	fade := 1.0
	if s.begun && s.policy.Fade > 0 {
		fade = math.Exp(-float64(now-s.at) / float64(s.policy.Fade))
	}
	hungry, most := Side(-1), 0.0
	for i := range NumSides {
		u := uses[i]
		s.peak[i] = max(float64(u.InUse), s.peak[i]*fade)
		short := float64(u.Exhausted - s.refused[i])
		if !s.begun {
			short = 0
		}
		s.refused[i] = u.Exhausted
		// One that was turned away weighs as much as a whole side in use.
		want := short
		if u.InUse*10 >= s.limits[i]*9 {
			want += float64(u.InUse) / float64(max(1, s.limits[i]))
		}
		if want > most {
			hungry, most = i, want
		}
	}
	s.at, s.begun = now, true
	if hungry < 0 {
		return false
	}
	donor, slack := Side(-1), 0
	for i := range NumSides {
		if i == hungry || s.fed[i] > 0 && now-s.fed[i] < s.policy.Hold {
			continue
		}
		if spare := s.limits[i] - s.need(i); spare > slack {
			donor, slack = i, spare
		}
	}
	if donor < 0 {
		return false
	}
	n := min(s.policy.Step, slack)
	s.limits[donor] -= n
	s.limits[hungry] += n
	s.fed[hungry] = max(now, 1)
	return true
}
