package admission

import (
	"math"
	"time"
)

// Side is a use of file descriptors.
type Side int

// The sides.
const (
	Clients      Side = iota
	CacheServers      // all cache servers together
	Origin
	NumSides
)

// SideUsage is the use of a side at one moment.
type SideUsage struct {
	InUse     int
	Exhausted int64 // how often there was no descriptor, since the start
}

// DescriptorSplitPolicy configures a DescriptorSplit.
type DescriptorSplitPolicy struct {
	Start, Floor [NumSides]int // descriptors at the start, and at least
	Step         int           // descriptors that move at a time, at most
	Hold         time.Duration // for which a side that gained some gives none away
	Fade         time.Duration // after which a peak of use counts 1/e
}

// DescriptorSplit divides descriptors among the sides by need. What one side gains another gives, so the sum never
// changes; a side gives only what it has not used of late, and never below its floor. A side that has just gained some
// keeps it for a while, so that two sides in need do not pass the same ones back and forth.
type DescriptorSplit struct {
	policy    DescriptorSplitPolicy
	limits    [NumSides]int
	peak      [NumSides]float64 // of the descriptors in use, fading
	exhausted [NumSides]int64   // as of the last look
	gainedAt  [NumSides]Time    // 0: never
	updatedAt Time
	isStarted bool
}

const (
	peakHeadroom      = 1.25 // times the peak that a side keeps
	spareDescriptors  = 2    // that it keeps beside
	nearlyUsedUpTenth = 9    // tenths of a limit in use from which on a side may need more
)

// NewDescriptorSplit returns a split with the policy's limits at the start.
func NewDescriptorSplit(policy DescriptorSplitPolicy) *DescriptorSplit {
	return &DescriptorSplit{policy: policy, limits: policy.Start}
}

// Limits returns how many descriptors each side may use now.
func (s *DescriptorSplit) Limits() [NumSides]int { return s.limits }

// Rebalance takes the use of all sides, moves some descriptors to the side most in need, if another can spare them, and
// reports whether it did. It is called at even intervals, a few times a second.
func (s *DescriptorSplit) Rebalance(now Time, usage [NumSides]SideUsage) (changed bool) {
	needy, ok := s.mostInNeed(now, usage)
	if !ok {
		return false
	}
	donor, spare := s.donorFor(needy, now)
	if spare == 0 {
		return false
	}
	moved := min(s.policy.Step, spare)
	s.limits[donor] -= moved
	s.limits[needy] += moved
	s.gainedAt[needy] = max(now, 1)
	return true
}

// mostInNeed updates the peaks and returns the side with the greatest need, if any has one.
func (s *DescriptorSplit) mostInNeed(now Time, usage [NumSides]SideUsage) (needy Side, ok bool) {
	fade := 1.0
	if s.isStarted && s.policy.Fade > 0 {
		fade = math.Exp(-float64(now-s.updatedAt) / float64(s.policy.Fade))
	}
	greatest := 0.0
	for side := range NumSides {
		s.peak[side] = max(float64(usage[side].InUse), s.peak[side]*fade)
		if need := s.need(side, usage[side]); need > greatest {
			needy, greatest, ok = side, need, true
		}
		s.exhausted[side] = usage[side].Exhausted
	}
	s.updatedAt, s.isStarted = now, true
	return needy, ok
}

// need returns how much a side needs more descriptors; 0 is not at all. One time that there was none counts as much as
// a whole side in use.
func (s *DescriptorSplit) need(side Side, usage SideUsage) float64 {
	need := 0.0
	if s.isStarted {
		need = float64(usage.Exhausted - s.exhausted[side])
	}
	if usage.InUse*10 >= s.limits[side]*nearlyUsedUpTenth {
		need += float64(usage.InUse) / float64(max(1, s.limits[side]))
	}
	return need
}

// donorFor returns the side that can spare the most descriptors for another, and how many; 0 where none can.
func (s *DescriptorSplit) donorFor(needy Side, now Time) (donor Side, spare int) {
	for side := range NumSides {
		if side == needy || s.gainedAt[side] > 0 && now-s.gainedAt[side] < s.policy.Hold {
			continue
		}
		if excess := s.limits[side] - s.reserved(side); excess > spare {
			donor, spare = side, excess
		}
	}
	return donor, spare
}

// reserved returns how many descriptors a side does not give away: what it has used of late and a quarter, so that a move
// never takes one that is in use.
func (s *DescriptorSplit) reserved(side Side) int {
	return max(s.policy.Floor[side], int(math.Ceil(s.peak[side]*peakHeadroom))+spareDescriptors)
}
