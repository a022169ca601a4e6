package workload

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

// testSpec returns the specification of a load of 20 s with two classes and two nodes.
func testSpec(processes ...ArrivalProcess) Spec {
	return Spec{Seed: 3, Length: 20 * time.Second, Processes: processes, Keys: 1000, Skew: 1.2, NodeWeights: []float64{3, 1},
		Classes: []Class{{Name: "read", Weight: 9}, {Name: "sign", Weight: 1, HasIdempotencyKey: true, BytesLeast: 10, BytesMost: 20}}}
}

// drawAll returns all arrivals of a schedule.
func drawAll(spec Spec) (arrivals []Arrival) {
	for schedule := New(spec); ; {
		arrival, ok := schedule.Next()
		if !ok {
			return arrivals
		}
		arrivals = append(arrivals, arrival)
	}
}

// countBetween counts the arrivals that are due at from or later, and before until.
func countBetween(arrivals []Arrival, from, until time.Duration) (count float64) {
	for _, arrival := range arrivals {
		if arrival.At >= from && arrival.At < until {
			count++
		}
	}
	return count
}

func TestArrivalsFollowTheSumOfTheRates(t *testing.T) {
	const sec = time.Second
	for name, test := range map[string]struct {
		processes   []ArrivalProcess
		from, until time.Duration
		want        float64
	}{
		"steady":        {[]ArrivalProcess{{Kind: Steady, Rate: 200}}, 0, 20 * sec, 4000},
		"ramp, early":   {[]ArrivalProcess{{Kind: Ramp, Rate: 400}}, 0, 10 * sec, 1000},
		"ramp, late":    {[]ArrivalProcess{{Kind: Ramp, Rate: 400}}, 10 * sec, 20 * sec, 3000},
		"surge":         {[]ArrivalProcess{{Kind: Surge, Rate: 500, At: 5 * sec, For: 10 * sec}}, 0, 20 * sec, 4500},
		"before it":     {[]ArrivalProcess{{Kind: Surge, Rate: 500, At: 5 * sec, For: 10 * sec}}, 0, 5 * sec, 0},
		"sine":          {[]ArrivalProcess{{Kind: Sine, Rate: 400, Period: 5 * sec}}, 0, 20 * sec, 4000},
		"burst":         {[]ArrivalProcess{{Kind: Burst, Rate: 2000, Period: 2 * sec}}, 0, 20 * sec, 4000},
		"between two":   {[]ArrivalProcess{{Kind: Burst, Rate: 2000, Period: 2 * sec}}, 300 * time.Millisecond, 2 * sec, 0},
		"steady and on": {[]ArrivalProcess{{Kind: Steady, Rate: 100}, {Kind: Steady, Rate: 300, At: 10 * sec}}, 10 * sec, 20 * sec, 4000},
	} {
		for _, uniform := range []bool{false, true} {
			spec := testSpec(test.processes...)
			spec.Uniform = uniform
			got := countBetween(drawAll(spec), test.from, test.until)
			slack := 5*math.Sqrt(test.want) + 1 // five standard deviations of a Poisson-distributed number
			if uniform {
				slack = test.want*0.01 + 2
			}
			if math.Abs(got-test.want) > slack {
				t.Errorf("%s, uniform %v: %.0f arrivals, want %.0f", name, uniform, got, test.want)
			}
		}
	}
}

func TestSeedDeterminesTheSchedule(t *testing.T) {
	spec := testSpec(ArrivalProcess{Kind: Steady, Rate: 500})
	first := drawAll(spec)
	if !reflect.DeepEqual(first, drawAll(spec)) {
		t.Fatal("one seed gives two schedules")
	}
	spec.Seed++
	if reflect.DeepEqual(first, drawAll(spec)) {
		t.Error("two seeds give one schedule")
	}
}

func TestPopularKeysTakeTheirPartAndMoveNoArrival(t *testing.T) {
	spec := testSpec(ArrivalProcess{Kind: Steady, Rate: 500})
	plain := drawAll(spec)
	const start, end = 5 * time.Second, 15 * time.Second
	spec.PopularKeys = []PopularKeys{{Fraction: 0.2, Keys: 1, At: start, For: end - start, RotateEvery: time.Second}}
	popular := drawAll(spec)
	hotKeys, hotRequests := map[string]bool{}, 0.0
	for i, arrival := range popular {
		isHot := strings.HasPrefix(arrival.Key, "hot-")
		if isHot {
			hotRequests++
			hotKeys[arrival.Key] = true
			arrival.Key = plain[i].Key
		}
		if arrival != plain[i] {
			t.Fatalf("arrival %d changes from %+v to %+v", i, plain[i], arrival)
		}
		if isHot && (arrival.At < start || arrival.At >= end) {
			t.Errorf("a hot key at %s", arrival.At)
		}
	}
	if len(hotKeys) != 10 || hotRequests < 850 || hotRequests > 1150 {
		t.Errorf("%d hot keys drew %.0f requests, want 10 and about 1000", len(hotKeys), hotRequests)
	}
	spec.Seed++
	if reflect.DeepEqual(drawAll(spec), popular) {
		t.Error("two seeds give one schedule")
	}
}

func TestClassesNodesAndSizesFollowTheMix(t *testing.T) {
	arrivals := drawAll(testSpec(ArrivalProcess{Kind: Steady, Rate: 500}))
	writes, toFirstNode := 0.0, 0.0
	for _, arrival := range arrivals {
		if arrival.Class == 1 {
			writes++
			if arrival.IdempotencyKey == "" || arrival.Size < 10 || arrival.Size > 20 {
				t.Fatalf("a write: %+v, want an idempotency key and 10 to 20 bytes", arrival)
			}
		}
		if arrival.Node == 0 {
			toFirstNode++
		}
	}
	total := float64(len(arrivals))
	if writes/total < 0.08 || writes/total > 0.12 || toFirstNode/total < 0.72 || toFirstNode/total > 0.78 {
		t.Errorf("%.3f are writes, want 0.1; %.3f go to the first node, want 0.75", writes/total, toFirstNode/total)
	}
}

func TestProcessOfOneClassBringsThatClassAlone(t *testing.T) {
	const start = 10 * time.Second
	arrivals := drawAll(testSpec(ArrivalProcess{Kind: Steady, Rate: 100}, ArrivalProcess{Kind: Steady, Rate: 100, Class: "sign", At: start}))
	writes := 0
	for _, arrival := range arrivals {
		if arrival.Class == 1 && arrival.At >= start {
			writes++
		}
	}
	if writes < 900 || writes > 1300 {
		t.Errorf("1000 writes and a tenth of 1000 others are %d writes, want about 1100", writes)
	}
}

func TestDriftChangesTheMostPopularKey(t *testing.T) {
	spec := testSpec(ArrivalProcess{Kind: Steady, Rate: 500})
	spec.Drift = 100 * time.Millisecond
	mostPopular := func(from, until time.Duration) (best string) {
		requests := map[string]int{}
		for _, arrival := range drawAll(spec) {
			if arrival.At >= from && arrival.At < until {
				if requests[arrival.Key]++; requests[arrival.Key] > requests[best] {
					best = arrival.Key
				}
			}
		}
		return best
	}
	if first, last := mostPopular(0, time.Second), mostPopular(19*time.Second, 20*time.Second); first == last {
		t.Errorf("%s is the most popular key at both ends", first)
	}
}
