package admission

import (
	"math"
	"time"
)

// Side is one of the purposes that share the file descriptors: clients, cache servers or the origin.
type Side int

// The sides, each with its own limit of descriptors.
const (
	Clients      Side = iota
	CacheServers      // connections to all cache servers together
	Origin
	NumSides
)

// SideUsage describes the descriptors that a side uses at one moment.
type SideUsage struct {
	InUse     int
	Exhausted int64 // number of times since the start that no descriptor was available
}

// DescriptorSplitPolicy configures a DescriptorSplit.
type DescriptorSplitPolicy struct {
	Start, Floor [NumSides]int // for each side: how many descriptors it has at the start, and the minimum that it always keeps
	Step         int           // maximum number of descriptors that move at a time
	Hold         time.Duration // time for which a side that gained descriptors gives none away
	Fade         time.Duration // time in which a peak of use decays to 1/e
}

// DescriptorSplit divides descriptors among the sides (clients, cache servers and the origin) by need. A side gains
// only what another side gives, so the sum never changes. A side gives only descriptors that it has not used recently,
// and never goes below its floor. A side that has just gained descriptors keeps them for a while, so that two sides in
// need do not pass the same ones back and forth.
type DescriptorSplit struct {
	policy    DescriptorSplitPolicy
	limits    [NumSides]int
	peak      [NumSides]float64 // peak number of descriptors in use, which decays with time
	exhausted [NumSides]int64   // SideUsage.Exhausted of each side at the last call of Rebalance
	gainedAt  [NumSides]Time    // when each side last gained descriptors; 0 for never
	updatedAt Time
	isStarted bool
}

const (
	peakHeadroom          = 1.25 // a side keeps this many times its recent peak use
	spareDescriptors      = 2    // descriptors that a side keeps in addition to peakHeadroom times its peak use
	nearlyExhaustedTenths = 9    // tenths of its limit that a side has to use before its use counts as a need for more
)

// NewDescriptorSplit returns a split whose limits are policy.Start.
func NewDescriptorSplit(policy DescriptorSplitPolicy) *DescriptorSplit {
	return &DescriptorSplit{policy: policy, limits: policy.Start}
}

// Limits returns the number of descriptors that each side may use now.
func (s *DescriptorSplit) Limits() [NumSides]int { return s.limits }

// Rebalance takes the current use of all sides and moves some descriptors to the side most in need, if another side can
// spare them. It reports whether it moved any. It is called at even intervals, a few times a second.
func (s *DescriptorSplit) Rebalance(now Time, usage [NumSides]SideUsage) (changed bool) {
	recipient, ok := s.mostInNeed(now, usage)
	if !ok {
		return false
	}
	donor, spare := s.donorFor(recipient, now)
	if spare == 0 {
		return false
	}
	moved := min(s.policy.Step, spare)
	s.limits[donor] -= moved
	s.limits[recipient] += moved
	s.gainedAt[recipient] = max(now, 1)
	return true
}

// mostInNeed updates the peak use of each side and returns the side with the greatest need; ok is false if no side
// needs more descriptors.
func (s *DescriptorSplit) mostInNeed(now Time, usage [NumSides]SideUsage) (recipient Side, ok bool) {
	decay := 1.0
	if s.isStarted && s.policy.Fade > 0 {
		decay = math.Exp(-float64(now-s.updatedAt) / float64(s.policy.Fade))
	}
	greatest := 0.0
	for side := range NumSides {
		s.peak[side] = max(float64(usage[side].InUse), s.peak[side]*decay)
		if need := s.need(side, usage[side]); need > greatest {
			recipient, greatest, ok = side, need, true
		}
		s.exhausted[side] = usage[side].Exhausted
	}
	s.updatedAt, s.isStarted = now, true
	return recipient, ok
}

// need returns how urgently a side needs more descriptors; 0 means not at all. Each time since the last call that no
// descriptor was available counts as much as a limit that is used completely.
func (s *DescriptorSplit) need(side Side, usage SideUsage) float64 {
	need := 0.0
	if s.isStarted {
		need = float64(usage.Exhausted - s.exhausted[side])
	}
	if usage.InUse*10 >= s.limits[side]*nearlyExhaustedTenths {
		need += float64(usage.InUse) / float64(max(1, s.limits[side]))
	}
	return need
}

// donorFor returns the side that can spare the most descriptors for the recipient, and how many; 0 if no side can.
func (s *DescriptorSplit) donorFor(recipient Side, now Time) (donor Side, spare int) {
	for side := range NumSides {
		if side == recipient || s.gainedAt[side] > 0 && now-s.gainedAt[side] < s.policy.Hold {
			continue
		}
		if excess := s.limits[side] - s.reserved(side); excess > spare {
			donor, spare = side, excess
		}
	}
	return donor, spare
}

// reserved returns how many descriptors a side does not give away: 1.25 times its recent peak use plus spareDescriptors,
// or its floor if the floor is more. So a move never takes a descriptor that is in use.
func (s *DescriptorSplit) reserved(side Side) int {
	return max(s.policy.Floor[side], int(math.Ceil(s.peak[side]*peakHeadroom))+spareDescriptors)
}
