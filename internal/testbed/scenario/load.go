package scenario

import "shelfproxy/internal/tomlfile"

// Class describes a class of requests.
type Class struct {
	Name             string            `toml:"name"`
	Share            float64           `toml:"share"` // weight of the class in the load, relative to the sum of the weights of all classes
	Work             Span              `toml:"work"`
	LatencyObjective tomlfile.Duration `toml:"aim"`
	Deadline         tomlfile.Duration `toml:"deadline"`
	PriorityWeight   float64           `toml:"worth"`
	LateFraction     float64           `toml:"late_worth"`
	Write            bool              `toml:"write"`
	Effect           string            `toml:"effect"` // "idempotent", "deduplicated" or "at_most_once"
	DedupWindow      tomlfile.Duration `toml:"window"`
	Bytes            Range             `toml:"bytes"` // size of the value of a write, in bytes
}

// Keys describes the distribution of the keys of requests.
type Keys struct {
	Count Range `toml:"count"`
	Skew  Range `toml:"skew"` // exponent of the Zipf distribution; above 1
	// Offset, 1 or more, flattens the head of the Zipf distribution: the larger, the flatter.
	Offset Range `toml:"offset"`
	// Drift, if above 0, is the interval after which the rank of every key changes by one.
	Drift tomlfile.Duration `toml:"drift"`
}

// Load describes the requests that clients send: a steady rate, further arrival processes on top of it, and popular keys.
type Load struct {
	Rate        Range            `toml:"rate"`    // requests per second during the whole load
	Uniform     bool             `toml:"uniform"` // constant intervals instead of Poisson arrivals
	Processes   []ArrivalProcess `toml:"shape"`
	PopularKeys []PopularKeys    `toml:"heat"`
}

// ArrivalProcess is a part of the load whose rate changes over time.
type ArrivalProcess struct {
	Kind   string            `toml:"kind"` // "steady", "ramp", "surge", "sine" or "burst"
	Rate   Range             `toml:"rate"` // highest rate, in requests per second
	At     Span              `toml:"at"`
	For    Span              `toml:"for"`
	Period tomlfile.Duration `toml:"period"`
	Class  string            `toml:"class"` // class of all requests of the process; if empty, drawn for each by Class.Share
}

// PopularKeys directs a part of the requests to a few keys.
type PopularKeys struct {
	Share       Range             `toml:"share"`
	Keys        int               `toml:"keys"`
	At          Span              `toml:"at"`
	For         Span              `toml:"for"`
	ChangeEvery tomlfile.Duration `toml:"move"` // interval after which the popular keys are replaced by other keys; 0 never replaces them
}
