// Package processor asks the kernel how much processor time this process has used.
package processor

import (
	"time"

	"golang.org/x/sys/unix"
)

// Used returns the processor time that the process has used since its start, in all threads. ok is false if the kernel does not say.
func Used() (used time.Duration, ok bool) {
	var spec unix.Timespec
	if unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &spec) != nil {
		return 0, false
	}
	return time.Duration(spec.Nano()), true
}
