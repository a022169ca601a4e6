package tomlfile

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that a file gives as a string such as "1.5s" or "250ms".
type Duration time.Duration

// UnmarshalText reads a duration. A duration without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"250ms\" or \"1.5s\"", text)
	}
	*d = Duration(duration)
	return nil
}

// MarshalText returns the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the form that UnmarshalText reads.
func (d Duration) String() string { return d.D().String() }

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
