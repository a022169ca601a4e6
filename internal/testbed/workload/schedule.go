package workload

import (
	"math/rand/v2"
	"strconv"
	"time"

	"shelfproxy/internal/testbed/model"
)

// Class is a class of requests in the mix.
type Class struct {
	Name                  string
	Share                 float64
	HasIdempotencyKey     bool // carries an idempotency key
	BytesLeast, BytesMost int  // of the value of a write
}

// Spec is all that a schedule is drawn from.
type Spec struct {
	Seed        uint64
	Length      time.Duration
	Uniform     bool // even gaps in place of Poisson arrivals
	Processes   []ArrivalProcess
	Classes     []Class
	Keys        int           // that are asked for
	Skew        float64       // exponent of the Zipf law of their popularity; above 1
	Offset      float64       // of that law: the larger, the flatter its head; 1 or more
	Drift       time.Duration // the ranks of all keys move on by one each time this has passed; 0: never
	PopularKeys []PopularKeys
	NodeWeights []float64 // of the load by node
}

// Arrival is one request that is due.
type Arrival struct {
	At             time.Duration
	Class          int // in Spec.Classes
	Key            string
	Node           int // in Spec.Shares
	Size           int
	IdempotencyKey string // idempotency key; empty for classes without
}

// Schedule gives out arrivals in the order in which they are due.
type Schedule struct {
	spec                         Spec
	times, mix, keys, rest, head *rand.Rand
	zipf                         *rand.Zipf
	at                           time.Duration
	peak                         float64
	owed                         float64 // part of the next arrival, where gaps are even
}

// New makes a schedule. Each kind of draw has a stream of its own: a heat that is added moves no arrival.
func New(spec Spec) *Schedule {
	stream := func(part string) *rand.Rand { return model.RandomStream(spec.Seed, "load/"+part) }
	s := &Schedule{spec: spec, times: stream("times"), mix: stream("mix"), keys: stream("keys"), rest: stream("rest"), head: stream("heat")}
	s.zipf = rand.NewZipf(s.keys, max(spec.Skew, 1.0001), max(spec.Offset, 1), uint64(max(0, spec.Keys-1)))
	for _, sh := range spec.Processes {
		s.peak += sh.Rate
	}
	return s
}

// Rate is the rate at a time.
func (s *Schedule) Rate(t time.Duration) (r float64) {
	for _, sh := range s.spec.Processes {
		r += sh.at(t, s.spec.Length)
	}
	return r
}

// evenStep is how finely an even schedule follows a rate that changes.
const evenStep = time.Millisecond

// Next is the next arrival; false at the end.
func (s *Schedule) Next() (Arrival, bool) {
	if s.peak <= 0 {
		return Arrival{}, false
	}
	for {
		if s.spec.Uniform {
			// Follow the sum of the rate to the next whole number.
			for s.owed < 1 && s.at <= s.spec.Length {
				s.owed += s.Rate(s.at) * evenStep.Seconds()
				s.at += evenStep
			}
			if s.owed >= 1 {
				s.owed--
			}
		} else {
			// Thinning: arrivals at the highest rate there may be, each kept with the chance of the present one
			// (Lewis and Shedler, 1979).
			s.at += time.Duration(s.times.ExpFloat64() / s.peak * float64(time.Second))
		}
		if s.at > s.spec.Length {
			return Arrival{}, false
		}
		if s.spec.Uniform || s.times.Float64()*s.peak < s.Rate(s.at) {
			return s.draw(), true
		}
	}
}

// draw draws what the arrival at the present time asks for.
func (s *Schedule) draw() Arrival {
	a := Arrival{At: s.at, Class: s.class(), Key: s.key(), Node: s.node()}
	c := s.spec.Classes[a.Class]
	once := s.rest.Uint64()
	if c.BytesMost > 0 {
		a.Size = c.BytesLeast + s.rest.IntN(c.BytesMost-c.BytesLeast+1)
	}
	if c.HasIdempotencyKey {
		a.IdempotencyKey = strconv.FormatUint(once, 16)
	}
	return a
}

// class draws a shape by its part of the rate, and its class, or one of the mix.
func (s *Schedule) class() int {
	at := s.mix.Float64() * s.Rate(s.at)
	for _, sh := range s.spec.Processes {
		if at -= sh.at(s.at, s.spec.Length); at < 0 {
			for i, c := range s.spec.Classes {
				if c.Name == sh.Class {
					return i
				}
			}
			break
		}
	}
	return choose(s.mix, len(s.spec.Classes), func(i int) float64 { return s.spec.Classes[i].Share })
}

func (s *Schedule) node() int {
	return choose(s.rest, len(s.spec.NodeWeights), func(i int) float64 { return s.spec.NodeWeights[i] })
}

// choose draws one of n by their shares.
func choose(r *rand.Rand, n int, share func(int) float64) int {
	total := 0.0
	for i := range n {
		total += share(i)
	}
	at := r.Float64() * total
	for i := range n {
		if at -= share(i); at < 0 {
			return i
		}
	}
	return max(0, n-1)
}

func (s *Schedule) key() string {
	rank := s.zipf.Uint64()
	hot, which := s.head.Float64(), s.head.Uint64()
	for i, h := range s.spec.PopularKeys {
		set, on := h.on(s.at)
		if !on {
			continue
		}
		if hot -= h.Share; hot < 0 {
			return "hot-" + strconv.Itoa(i) + "-" + strconv.Itoa(set) + "-" + strconv.FormatUint(which%uint64(max(1, h.Keys)), 36)
		}
	}
	if s.spec.Drift > 0 {
		rank += uint64(s.at / s.spec.Drift)
	}
	return "k" + strconv.FormatUint(rank%uint64(max(1, s.spec.Keys)), 36)
}
