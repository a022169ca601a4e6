package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of trouble.
type FaultKind int

// The kinds of trouble. All of them compose: what a box, a link or the origin suffers is the sum of the faults that
// are on, whatever order they begin and end in.
const (
	Deploy          FaultKind = iota // boxes are replaced, a batch at a time; successors are cold and have new ids
	Shrink                           // boxes drain and go, one after another
	Drain                            // boxes drain, and come back at the end
	Kill                             // the process dies; at the end it starts again, cold
	Freeze                           // the process stands still: connections stay open and silent
	Partition                        // nothing passes between the boxes and the nodes
	Slow                             // the speed is multiplied by Factor
	Stall                            // no work is done, but requests are taken
	Flap                             // killed and started over and over
	CorruptResponse                  // a share of the answers can't be read, or has more behind it
	PacketLoss                       // a share of the messages comes late
	DiscoveryLag                     // the roster learns of everything later
	DiscoveryDown                    // discovery answers nothing
	DiscoveryEmpty                   // the list shrinks to nothing
	OriginSlow                       // the origin's time of service is multiplied by Factor
	OriginStall                      // the origin stands still
	numberOfFaults
)

// FaultKinds names the kinds as scenarios write them.
var FaultKinds = [numberOfFaults]string{"deploy", "shrink", "drain", "kill", "freeze", "cut", "slow", "stall", "flap",
	"spoilt", "lossy", "roster-lag", "roster-down", "roster-empty", "origin-slow", "origin-fall"}

func (k FaultKind) String() string { return FaultKinds[k] }

// AffectsCacheServers tells whether a kind has boxes as its targets.
func (k FaultKind) AffectsCacheServers() bool { return k <= PacketLoss }

// Selector names the boxes that a fault hits: those of a kind, in a zone and named, as far as these are given, and
// of them Count, or Share, drawn by the seed. With neither it hits all.
type Selector struct {
	IDs        []string
	Kind, Zone string
	Count      int
	Share      float64
}

// Fault is one entry of the script of what goes wrong.
type Fault struct {
	Kind   FaultKind
	At     Time
	For    time.Duration // 0: to the end of the run
	Select Selector
	Nodes  []int // Cut: the nodes that are cut off from the boxes; none is all of them

	Factor   float64       // Slow, OriginSlow
	Share    float64       // Spoilt, Lossy: of the answers; Deploy, Shrink: see Select
	Batch    float64       // Deploy: share of the fleet that is replaced at a time
	DrainFor time.Duration // Deploy, Shrink: from the drain to the end of the process
	SameSlot float64       // Deploy: share of the successors that take the address of the one that has gone
	Period   time.Duration // Flap: half of it dead, half of it alive
	Lag      time.Duration // RosterLag
}

// active is a fault while it is on.
type active struct {
	Fault
	rand    *rand.Rand
	targets []*server
}

// begin starts a fault and sets the time of its end.
func (p *System) begin(i int) {
	f := &active{Fault: p.spec.Faults[i], rand: RandomStream(p.spec.Seed, fmt.Sprintf("fault/%d", i))}
	if f.Kind.AffectsCacheServers() {
		f.targets = p.choose(f)
	}
	p.note("fault", f.Kind.String(), fmt.Sprint(len(f.targets)))
	switch f.Kind {
	case Deploy:
		p.deploy(f)
		return
	case Shrink:
		p.shrink(f)
		return
	case Flap:
		p.flap(f)
		return
	}
	p.apply(f, 1)
	if f.For > 0 {
		p.at(p.now+f.For, func() {
			p.note("fault-over", f.Kind.String())
			p.apply(f, -1)
		})
	}
}

// apply puts a fault on (1) or takes it off (-1). Each state that faults change is a count or a product of those that
// are on, so that overlapping ones may end in any order.
func (p *System) apply(f *active, sign int) {
	switch f.Kind {
	case DiscoveryLag:
		p.roster.lag += time.Duration(sign) * f.Lag
	case DiscoveryDown:
		p.rosterDown(sign)
	case DiscoveryEmpty:
		p.rosterEmpty(sign)
	case OriginSlow:
		p.origin.slowBy(math.Pow(f.Factor, float64(sign)))
	case OriginStall:
		p.origin.origin.down += sign
		p.originWake()
	}
	for _, s := range f.targets {
		switch f.Kind {
		case Drain:
			s.draining += sign
			p.publish(s)
		case Kill:
			s.kills += sign
			p.settle(s)
		case Freeze:
			s.frozen += sign
			p.settle(s)
		case Stall:
			s.stalled += sign
			p.settle(s)
		case Slow:
			if sign > 0 {
				s.slow = append(s.slow, f.Factor)
			} else if at := slices.Index(s.slow, f.Factor); at >= 0 {
				s.slow = slices.Delete(s.slow, at, at+1)
			}
			p.settle(s)
		case Partition:
			for n := range s.cuts {
				if len(f.Nodes) == 0 || slices.Contains(f.Nodes, n) {
					s.cuts[n] += sign
				}
			}
			p.settle(s)
		case CorruptResponse:
			s.spoilt = shares(s.spoilt, f.Share, sign)
		case PacketLoss:
			s.lossy = shares(s.lossy, f.Share, sign)
		}
	}
}

// shares adds a share to those that are on, or takes it away.
func shares(on []float64, share float64, sign int) []float64 {
	if sign > 0 {
		return append(on, share)
	}
	if at := slices.Index(on, share); at >= 0 {
		return slices.Delete(on, at, at+1)
	}
	return on
}

// together is the chance that one of independent shares hits.
func together(on []float64) float64 {
	miss := 1.0
	for _, s := range on {
		miss *= 1 - s
	}
	return 1 - miss
}

// slowBy multiplies the origin's time of service.
func (s *server) slowBy(factor float64) { s.origin.factor *= factor }

// choose draws the targets of a fault among the boxes that are there, in the order of the list.
func (p *System) choose(f *active) []*server {
	var may []*server
	for _, s := range p.servers {
		if s.box == nil || s.gone || s.leaving || f.Select.Kind != "" && s.kind.Name != f.Select.Kind ||
			f.Select.Zone != "" && s.zone != f.Select.Zone ||
			len(f.Select.IDs) > 0 && !slices.Contains(f.Select.IDs, s.id) {
			continue
		}
		may = append(may, s)
	}
	n := len(may)
	switch {
	case f.Select.Count > 0:
		n = min(n, f.Select.Count)
	case f.Select.Share > 0:
		n = min(n, int(math.Round(f.Select.Share*float64(n))))
	default:
		return may
	}
	f.rand.Shuffle(len(may), func(i, j int) { may[i], may[j] = may[j], may[i] })
	return may[:n]
}

// deploy replaces its targets, a batch at a time, evenly over its time.
func (p *System) deploy(f *active) {
	fleet := 0
	for _, s := range p.servers {
		if s.box != nil && !s.gone {
			fleet++
		}
	}
	size := max(1, int(math.Floor(f.Batch*float64(fleet))))
	batches := (len(f.targets) + size - 1) / size
	for i := range batches {
		batch := f.targets[i*size : min(len(f.targets), (i+1)*size)]
		p.at(p.now+f.For*time.Duration(i)/time.Duration(max(1, batches)), func() {
			for _, s := range batch {
				p.retire(s, f.DrainFor, func() { p.succeed(s, f.rand.Float64() < f.SameSlot) })
			}
		})
	}
}

// shrink retires its targets one after another.
func (p *System) shrink(f *active) {
	for i, s := range f.targets {
		p.at(p.now+f.For*time.Duration(i)/time.Duration(len(f.targets)), func() { p.retire(s, f.DrainFor, func() {}) })
	}
}

func (p *System) flap(f *active) {
	end := Never
	if f.For > 0 {
		end = p.now + f.For
	}
	var turn func(dead bool)
	turn = func(dead bool) {
		kill := &active{Fault: Fault{Kind: Kill}, targets: f.targets}
		if dead {
			p.apply(kill, -1)
			if p.now+f.Period/2 >= end {
				return
			}
		} else {
			p.apply(kill, 1)
		}
		p.at(p.now+f.Period/2, func() { turn(!dead) })
	}
	turn(false)
}

// CorruptionKind is a way in which an answer can be spoilt. The driver words it.
type CorruptionKind int

// The ways. Of the last three the answer itself is good.
const (
	NotCorrupt           CorruptionKind = iota
	CorruptNoise                        // bytes that are no answer
	CorruptEndlessLine                  // a line that never ends
	CorruptLength                       // a length that does not fit
	CorruptHugeValue                    // a value of 3 GB that keeps coming
	CorruptDuplicate                    // a second copy behind the answer
	CorruptTrailingNoise                // noise behind the answer
	CorruptLoadReport                   // a load report that can't be read
	numberOfSpoilt
)
