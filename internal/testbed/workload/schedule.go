package workload

import (
	"math/rand/v2"
	"strconv"
	"time"

	"shelfproxy/internal/testbed/model"
)

// Class is a class of requests in the load.
type Class struct {
	Name                  string
	Weight                float64 // weight of the class in the load, relative to the sum of the weights of all classes
	HasIdempotencyKey     bool    // requests of the class carry an idempotency key
	BytesLeast, BytesMost int     // range of the size of a written value, drawn uniformly; 0 for reads
}

// Spec holds all parameters of a schedule.
type Spec struct {
	Seed        uint64
	Length      time.Duration
	Uniform     bool // evenly spaced arrivals instead of a Poisson process
	Processes   []ArrivalProcess
	Classes     []Class
	Keys        int           // number of distinct keys
	Skew        float64       // exponent of the Zipf distribution of the popularity of keys; above 1
	Offset      float64       // offset of the Zipf distribution, 1 or more: the larger, the flatter its head
	Drift       time.Duration // interval after which the rank of every key changes by one; 0 never changes the ranks
	PopularKeys []PopularKeys
	NodeWeights []float64 // weight of each node in the load, relative to the sum of all nodes' weights
}

// Arrival is one request of a schedule.
type Arrival struct {
	At             time.Duration // time at which the request is due, from the start of the load
	Class          int           // index in Spec.Classes
	Key            string
	Node           int    // index in Spec.NodeWeights
	Size           int    // size of the value of a write, in bytes
	IdempotencyKey string // empty for classes without idempotency keys
}

// Schedule draws arrivals in the order in which the requests are due. It is not safe for concurrent use.
type Schedule struct {
	spec     Spec
	random   randomStreams
	zipf     *rand.Zipf
	now      time.Duration // time of the last arrival
	peakRate float64       // sum of the peak rates of all arrival processes, in requests per second: an upper bound of the current rate
	fraction float64       // integral of the rate minus the number of arrivals; used only for evenly spaced arrivals
}

// randomStreams holds the random number generators of a schedule. Each kind of random value has its own generator. So adding
// popular keys to a specification, for example, changes no arrival time.
type randomStreams struct {
	times, mix, keys, rest, popularKeys *rand.Rand
}

func newRandomStreams(seed uint64) randomStreams {
	stream := func(name string) *rand.Rand { return model.RandomStream(seed, "load/"+name) }
	return randomStreams{times: stream("times"), mix: stream("mix"), keys: stream("keys"), rest: stream("rest"), popularKeys: stream("heat")}
}

const (
	minSkew   = 1.0001 // rand.NewZipf accepts only exponents above 1
	minOffset = 1
)

// New returns the schedule of a specification.
func New(spec Spec) *Schedule {
	s := &Schedule{spec: spec, random: newRandomStreams(spec.Seed)}
	s.zipf = rand.NewZipf(s.random.keys, max(spec.Skew, minSkew), max(spec.Offset, minOffset), uint64(max(0, spec.Keys-1)))
	for _, process := range spec.Processes {
		s.peakRate += process.Rate
	}
	return s
}

// Rate returns the sum of the rates of all arrival processes at the time now, in requests per second.
func (s *Schedule) Rate(now time.Duration) (rate float64) {
	for _, process := range s.spec.Processes {
		rate += process.rate(now, s.spec.Length)
	}
	return rate
}

// Next returns the next arrival. It returns false at the end of the load.
func (s *Schedule) Next() (Arrival, bool) {
	if s.peakRate <= 0 {
		return Arrival{}, false
	}
	advance := s.advancePoisson
	if s.spec.Uniform {
		advance = s.advanceEvenly
	}
	if !advance() {
		return Arrival{}, false
	}
	return s.draw(), true
}

// uniformStep is the step in which advanceEvenly integrates a rate that changes.
const uniformStep = time.Millisecond

// advanceEvenly advances to the time at which the integral of the rate reaches the next whole number. It returns false at
// the end of the load.
func (s *Schedule) advanceEvenly() bool {
	for s.fraction < 1 && s.now <= s.spec.Length {
		s.fraction += s.Rate(s.now) * uniformStep.Seconds()
		s.now += uniformStep
	}
	if s.fraction >= 1 {
		s.fraction--
	}
	return s.now <= s.spec.Length
}

// advancePoisson advances to the next arrival of a Poisson process by thinning (Lewis and Shedler, 1979): candidates arrive
// at the peak rate, and each is kept with a probability of the current rate divided by the peak rate. It returns false at
// the end of the load.
func (s *Schedule) advancePoisson() bool {
	for {
		s.now += time.Duration(s.random.times.ExpFloat64() / s.peakRate * float64(time.Second))
		if s.now > s.spec.Length {
			return false
		}
		if s.random.times.Float64()*s.peakRate < s.Rate(s.now) {
			return true
		}
	}
}

// draw draws the request that arrives at the time now. The order in which its random values are drawn must not change, because
// this would change the schedules of all seeds.
func (s *Schedule) draw() Arrival {
	arrival := Arrival{At: s.now, Class: s.drawClass(), Key: s.drawKey(), Node: s.drawNode()}
	class := s.spec.Classes[arrival.Class]
	idempotencyKey := s.random.rest.Uint64()
	if class.BytesMost > 0 {
		arrival.Size = class.BytesLeast + s.random.rest.IntN(class.BytesMost-class.BytesLeast+1)
	}
	if class.HasIdempotencyKey {
		arrival.IdempotencyKey = strconv.FormatUint(idempotencyKey, 16)
	}
	return arrival
}

// drawClass draws an arrival process, in proportion to the current rates of the processes, and returns the class of this process.
// If the process has no class, drawClass draws a class in proportion to the classes' weights.
func (s *Schedule) drawClass() int {
	position := s.random.mix.Float64() * s.Rate(s.now)
	for _, process := range s.spec.Processes {
		if position -= process.rate(s.now, s.spec.Length); position < 0 {
			for i, class := range s.spec.Classes {
				if class.Name == process.Class {
					return i
				}
			}
			break
		}
	}
	return drawWeighted(s.random.mix, len(s.spec.Classes), func(i int) float64 { return s.spec.Classes[i].Weight })
}

func (s *Schedule) drawNode() int {
	return drawWeighted(s.random.rest, len(s.spec.NodeWeights), func(i int) float64 { return s.spec.NodeWeights[i] })
}

// drawWeighted draws an index below n. The probability of an index is its weight divided by the sum of all weights.
func drawWeighted(random *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	position := random.Float64() * total
	for i := range n {
		if position -= weight(i); position < 0 {
			return i
		}
	}
	return max(0, n-1)
}

// drawKey draws a hot key, or a key by its popularity rank. It draws the same random numbers in both cases, so that hot keys do
// not change which other keys are drawn.
func (s *Schedule) drawKey() string {
	rank := s.zipf.Uint64()
	position, member := s.random.popularKeys.Float64(), s.random.popularKeys.Uint64()
	for i, popular := range s.spec.PopularKeys {
		set, ok := popular.keySet(s.now)
		if !ok {
			continue
		}
		if position -= popular.Fraction; position < 0 {
			return "hot-" + strconv.Itoa(i) + "-" + strconv.Itoa(set) + "-" + strconv.FormatUint(member%uint64(max(1, popular.Keys)), 36)
		}
	}
	if s.spec.Drift > 0 {
		rank += uint64(s.now / s.spec.Drift)
	}
	return "k" + strconv.FormatUint(rank%uint64(max(1, s.spec.Keys)), 36)
}
