package agreement

import "time"

// clockDriftLimit is the drift of two clocks against each other from which on a protocol cannot work.
const clockDriftLimit = 0.5

// ErrClockDrift is returned for a clock drift that is not in the range from 0 to 0.5.
var ErrClockDrift = InvalidField("drift", "must be from 0 to 0.5")

// ValidateClockDrift returns ErrClockDrift unless two clocks may differ by a fraction from 0 to, but not including, 0.5.
func ValidateClockDrift(drift float64) error {
	if drift >= 0 && drift < clockDriftLimit {
		return nil
	}
	return ErrClockDrift // also for NaN
}

// HolderTimeout returns for how long, by its own clock, a holder may rely on a grant that ends after timeout by the clocks
// of those who gave it: the holder's clock may be the slower one.
func HolderTimeout(timeout time.Duration, drift float64) time.Duration {
	return time.Duration(float64(timeout) * (1 - drift))
}

// HasExpired reports whether a grant for timeout is over by every clock when elapsed has passed by this node's, which may
// be the faster one.
func HasExpired(elapsed, timeout time.Duration, drift float64) bool {
	return float64(elapsed) >= float64(timeout)*(1+drift)
}
