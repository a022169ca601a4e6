package workload

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

func spec(shapes ...ArrivalProcess) Spec {
	return Spec{Seed: 3, Length: 20 * time.Second, Processes: shapes, Keys: 1000, Skew: 1.2, NodeWeights: []float64{3, 1},
		Classes: []Class{{Name: "read", Share: 9}, {Name: "sign", Share: 1, HasIdempotencyKey: true, BytesLeast: 10, BytesMost: 20}}}
}

func all(s Spec) (out []Arrival) {
	for sch := New(s); ; {
		a, ok := sch.Next()
		if !ok {
			return out
		}
		out = append(out, a)
	}
}

// between counts arrivals.
func between(as []Arrival, from, to time.Duration) (n float64) {
	for _, a := range as {
		if a.At >= from && a.At < to {
			n++
		}
	}
	return n
}

// Each shape brings as many requests as the area under it, where it lies; shapes add up.
func TestShapes(t *testing.T) {
	const sec = time.Second
	for name, test := range map[string]struct {
		shapes   []ArrivalProcess
		from, to time.Duration
		want     float64
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
			s := spec(test.shapes...)
			s.Uniform = uniform
			got := between(all(s), test.from, test.to)
			slack := 5*math.Sqrt(test.want) + 1 // five standard deviations
			if uniform {
				slack = test.want*0.01 + 2
			}
			if math.Abs(got-test.want) > slack {
				t.Errorf("%s, even %v: %.0f arrivals, want %.0f", name, uniform, got, test.want)
			}
		}
	}
}

// The same seed gives the same arrivals; a heat that is added moves none of them, and takes its share of the keys.
func TestDrawsStandApart(t *testing.T) {
	s := spec(ArrivalProcess{Kind: Steady, Rate: 500})
	a, b := all(s), all(s)
	if !reflect.DeepEqual(a, b) {
		t.Fatal("one seed gives two schedules")
	}
	s.PopularKeys = []PopularKeys{{Share: 0.2, Keys: 1, At: 5 * time.Second, For: 10 * time.Second, Move: time.Second}}
	hot := all(s)
	seen, n := map[string]bool{}, 0.0
	for i, h := range hot {
		isHot := strings.HasPrefix(h.Key, "hot-")
		if isHot {
			n++
			seen[h.Key] = true
			h.Key = a[i].Key
		}
		if h != a[i] {
			t.Fatalf("arrival %d changes from %+v to %+v", i, a[i], h)
		}
		if isHot && (h.At < 5*time.Second || h.At >= 15*time.Second) {
			t.Errorf("a hot key at %s", h.At)
		}
	}
	if len(seen) != 10 || n < 850 || n > 1150 {
		t.Errorf("%d hot keys drew %.0f requests, want 10 and about 1000", len(seen), n)
	}
	s.Seed++
	if reflect.DeepEqual(all(s), hot) {
		t.Error("two seeds give one schedule")
	}
}

// Classes, nodes and sizes follow their shares; a shape of one class brings that alone.
func TestMix(t *testing.T) {
	as := all(spec(ArrivalProcess{Kind: Steady, Rate: 500}))
	sign, first := 0.0, 0.0
	for _, a := range as {
		if a.Class == 1 {
			sign++
			if a.IdempotencyKey == "" || a.Size < 10 || a.Size > 20 {
				t.Fatalf("a write: %+v", a)
			}
		}
		if a.Node == 0 {
			first++
		}
	}
	n := float64(len(as))
	if sign/n < 0.08 || sign/n > 0.12 || first/n < 0.72 || first/n > 0.78 {
		t.Errorf("%.3f are writes, %.3f go to the first node", sign/n, first/n)
	}
	rush := all(spec(ArrivalProcess{Kind: Steady, Rate: 100}, ArrivalProcess{Kind: Steady, Rate: 100, Class: "sign", At: 10 * time.Second}))
	sign = 0
	for _, a := range rush {
		if a.Class == 1 && a.At >= 10*time.Second {
			sign++
		}
	}
	if sign < 900 || sign > 1300 {
		t.Errorf("a rush of 1000 writes and a tenth of the others brings %.0f", sign)
	}
}

// Keys that drift are other ones later on.
func TestDrift(t *testing.T) {
	s := spec(ArrivalProcess{Kind: Steady, Rate: 500})
	s.Drift = 100 * time.Millisecond
	most := func(from, to time.Duration) (best string) {
		count := map[string]int{}
		for _, a := range all(s) {
			if a.At >= from && a.At < to {
				if count[a.Key]++; count[a.Key] > count[best] {
					best = a.Key
				}
			}
		}
		return best
	}
	if a, b := most(0, time.Second), most(19*time.Second, 20*time.Second); a == b {
		t.Errorf("%s is the most popular key at both ends", a)
	}
}
