package scenario

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pelletier/go-toml/v2"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/tomlfile"
)

// Range is a figure, or two between which the seed draws one: 5 or [4, 6].
type Range struct{ Least, Most float64 }

// UnmarshalTOML reads either form.
func (r *Range) UnmarshalTOML(raw []byte) error {
	var one struct{ V float64 }
	if wrapped(raw, &one) == nil {
		*r = Range{one.V, one.V}
		return nil
	}
	var two struct{ V []float64 }
	if wrapped(raw, &two) == nil && len(two.V) == 2 && two.V[0] <= two.V[1] {
		*r = Range{two.V[0], two.V[1]}
		return nil
	}
	return bad(raw, "%s is neither a number nor a range [least, most]", raw)
}

// Draw draws a figure.
func (r Range) Draw(rnd *rand.Rand) float64 { return model.DrawBetween(rnd, r.Least, r.Most) }

// Int draws a whole number, each with the same chance.
func (r Range) Int(rnd *rand.Rand) int {
	least, most := int(r.Least), int(r.Most)
	return least + rnd.IntN(most-least+1)
}

// in tells whether all of the range is from least to most.
func (r Range) in(least, most float64) bool { return r.Least >= least && r.Most <= most }

// Span is a time, or two between which the seed draws one: "5s" or ["4s", "6s"].
type Span struct{ Least, Most time.Duration }

// UnmarshalTOML reads either form.
func (s *Span) UnmarshalTOML(raw []byte) error {
	var words []string
	var one struct{ V string }
	var two struct{ V []string }
	if wrapped(raw, &one) == nil {
		words = []string{one.V, one.V}
	} else if wrapped(raw, &two) == nil && len(two.V) == 2 {
		words = two.V
	}
	var at [2]time.Duration
	for i, w := range words {
		d, err := time.ParseDuration(w)
		if err != nil {
			return bad(raw, "%q is no duration such as \"250ms\" or \"1.5s\"", w)
		}
		at[i] = d
	}
	if len(words) != 2 || at[0] > at[1] {
		return bad(raw, "%s is neither a duration nor a range [\"least\", \"most\"]", raw)
	}
	*s = Span{at[0], at[1]}
	return nil
}

// Draw draws a time.
func (s Span) Draw(rnd *rand.Rand) time.Duration {
	return s.Least + time.Duration(rnd.Float64()*float64(s.Most-s.Least))
}

func (s Span) in(least, most time.Duration) bool { return s.Least >= least && s.Most <= most }

func bad(raw []byte, format string, args ...any) error {
	return &tomlfile.ValueError{Raw: bytes.Clone(raw), Text: fmt.Sprintf(format, args...)}
}

// wrapped decodes the bytes of one value.
func wrapped(raw []byte, v any) error { return toml.Unmarshal(append([]byte("V = "), raw...), v) }

func flat(d time.Duration) Span   { return Span{d, d} }
func ms(least, most float64) Span { return Span{millis(least), millis(most)} }
func millis(v float64) time.Duration {
	return time.Duration(v * float64(time.Millisecond))
}
