package agreement

import "time"

// clockDriftLimit bounds by which fraction the rates of two nodes' clocks may differ. The protocols do not work if the fraction
// is this or more.
const clockDriftLimit = 0.5

// ErrClockDrift is returned for a configured clock drift that is below 0, at least 0.5, or NaN.
var ErrClockDrift = InvalidField("drift", "must be from 0 to 0.5")

// ValidateClockDrift returns ErrClockDrift unless drift is at least 0 and below 0.5. The drift is the greatest fraction by which
// the rates of two nodes' clocks may differ.
func ValidateClockDrift(drift float64) error {
	if drift >= 0 && drift < clockDriftLimit {
		return nil
	}
	return ErrClockDrift // also if drift is NaN, as each comparison with NaN is false
}

// HolderTimeout returns how long the holder of a lease or a slot may rely on a grant, by the holder's own clock. The nodes that
// gave the grant end it after timeout by their clocks. The result is shorter than timeout, as the holder's clock may be slower
// than theirs.
func HolderTimeout(timeout time.Duration, drift float64) time.Duration {
	return time.Duration(float64(timeout) * (1 - drift))
}

// HasExpired reports whether a grant that lasts for timeout has ended by the clock of every node. elapsed is the time since the
// grant by this node's clock, which may be faster than the others.
func HasExpired(elapsed, timeout time.Duration, drift float64) bool {
	return float64(elapsed) >= float64(timeout)*(1+drift)
}
