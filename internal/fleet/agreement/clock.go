package agreement

import "time"

// clockDriftLimit bounds the drift of two clocks against each other. The protocols do not work with a drift of this or more.
const clockDriftLimit = 0.5

// ErrClockDrift is returned for a clock drift that is below 0, at least 0.5, or NaN.
var ErrClockDrift = InvalidField("drift", "must be from 0 to 0.5")

// ValidateClockDrift returns ErrClockDrift unless two clocks may differ by a fraction from 0 to, but not including, 0.5.
func ValidateClockDrift(drift float64) error {
	if drift >= 0 && drift < clockDriftLimit {
		return nil
	}
	return ErrClockDrift // also if drift is NaN
}

// HolderTimeout returns how long, by its own clock, a holder may rely on a grant that ends after timeout by the clocks of the
// nodes that gave it. The result is shorter than timeout, as the holder's clock may be the slower one.
func HolderTimeout(timeout time.Duration, drift float64) time.Duration {
	return time.Duration(float64(timeout) * (1 - drift))
}

// HasExpired reports whether a grant for timeout has ended by every node's clock when elapsed has passed by this node's clock,
// which may be the faster one.
func HasExpired(elapsed, timeout time.Duration, drift float64) bool {
	return float64(elapsed) >= float64(timeout)*(1+drift)
}
