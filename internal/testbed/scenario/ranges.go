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

// Range is a number, such as 5, or a range from which a seed draws a number, such as [4, 6].
type Range struct{ Least, Most float64 }

// UnmarshalTOML decodes a number or a range of numbers. Errors are of type *tomlfile.ValueError.
func (r *Range) UnmarshalTOML(raw []byte) error {
	var single struct{ V float64 }
	if unmarshalValue(raw, &single) == nil {
		*r = Range{single.V, single.V}
		return nil
	}
	var pair struct{ V []float64 }
	if unmarshalValue(raw, &pair) == nil && len(pair.V) == 2 && pair.V[0] <= pair.V[1] {
		*r = Range{pair.V[0], pair.V[1]}
		return nil
	}
	return valueError(raw, "%s is neither a number nor a range [least, most]", raw)
}

// Draw draws a number from the range.
func (r Range) Draw(random *rand.Rand) float64 { return model.DrawBetween(random, r.Least, r.Most) }

// Int draws an integer from the range, bounds included. All integers are equally likely.
func (r Range) Int(random *rand.Rand) int {
	least, most := int(r.Least), int(r.Most)
	return least + random.IntN(most-least+1)
}

// in reports whether the whole range is within least and most, bounds included.
func (r Range) in(least, most float64) bool { return r.Least >= least && r.Most <= most }

// Span is a duration, such as "5s", or a range from which a seed draws a duration, such as ["4s", "6s"].
type Span struct{ Least, Most time.Duration }

// UnmarshalTOML decodes a duration or a range of durations. Errors are of type *tomlfile.ValueError.
func (s *Span) UnmarshalTOML(raw []byte) error {
	var texts []string
	var single struct{ V string }
	var pair struct{ V []string }
	if unmarshalValue(raw, &single) == nil {
		texts = []string{single.V, single.V}
	} else if unmarshalValue(raw, &pair) == nil && len(pair.V) == 2 {
		texts = pair.V
	}
	var limits [2]time.Duration
	for i, text := range texts {
		limit, err := time.ParseDuration(text)
		if err != nil {
			return valueError(raw, "%q is no duration such as \"250ms\" or \"1.5s\"", text)
		}
		limits[i] = limit
	}
	if len(texts) != 2 || limits[0] > limits[1] {
		return valueError(raw, "%s is neither a duration nor a range [\"least\", \"most\"]", raw)
	}
	*s = Span{limits[0], limits[1]}
	return nil
}

// Draw draws a duration from the range.
func (s Span) Draw(random *rand.Rand) time.Duration {
	return s.Least + time.Duration(random.Float64()*float64(s.Most-s.Least))
}

// in reports whether the whole range is within least and most, bounds included.
func (s Span) in(least, most time.Duration) bool { return s.Least >= least && s.Most <= most }

// valueError returns an error about a TOML value. The decoder reuses the bytes in raw, so valueError copies them.
func valueError(raw []byte, format string, args ...any) error {
	return &tomlfile.ValueError{Raw: bytes.Clone(raw), Text: fmt.Sprintf(format, args...)}
}

// unmarshalValue decodes the bytes of one TOML value into the field V of the struct that target points to.
func unmarshalValue(raw []byte, target any) error {
	return toml.Unmarshal(append([]byte("V = "), raw...), target)
}
