package scenario

import "shelfproxy/internal/tomlfile"

// Class is a class of requests.
type Class struct {
	Name             string            `toml:"name"`
	Share            float64           `toml:"share"` // weight in the load
	Work             Span              `toml:"work"`
	LatencyObjective tomlfile.Duration `toml:"aim"`
	Deadline         tomlfile.Duration `toml:"deadline"`
	PriorityWeight   float64           `toml:"worth"`
	LateFraction     float64           `toml:"late_worth"`
	Write            bool              `toml:"write"`
	Effect           string            `toml:"effect"` // idempotent, deduplicated or at_most_once
	DedupWindow      tomlfile.Duration `toml:"window"`
	Bytes            Range             `toml:"bytes"` // of the value of a write
}

// Keys is the distribution of the keys that requests have.
type Keys struct {
	Count Range `toml:"count"`
	Skew  Range `toml:"skew"` // the exponent of a Zipf distribution; above 1
	// Offset flattens the head of the distribution; 1 or more.
	Offset Range `toml:"offset"`
	// Drift, if above 0, is the interval after which the rank of every key changes by one.
	Drift tomlfile.Duration `toml:"drift"`
}

// Load is what clients send: a steady rate, with arrival processes and popular keys on top of it.
type Load struct {
	Rate        Range            `toml:"rate"`    // requests per second, all the time
	Uniform     bool             `toml:"uniform"` // constant intervals instead of Poisson arrivals
	Processes   []ArrivalProcess `toml:"shape"`
	PopularKeys []PopularKeys    `toml:"heat"`
}

// ArrivalProcess is a part of the rate that changes over time.
type ArrivalProcess struct {
	Kind   string            `toml:"kind"` // steady, ramp, surge, sine or burst
	Rate   Range             `toml:"rate"` // the highest one
	At     Span              `toml:"at"`
	For    Span              `toml:"for"`
	Period tomlfile.Duration `toml:"period"`
	Class  string            `toml:"class"` // of this class only; of all if empty
}

// PopularKeys is a part of the requests that has a few keys.
type PopularKeys struct {
	Share       Range             `toml:"share"`
	Keys        int               `toml:"keys"`
	At          Span              `toml:"at"`
	For         Span              `toml:"for"`
	ChangeEvery tomlfile.Duration `toml:"move"` // interval after which other keys are popular
}
