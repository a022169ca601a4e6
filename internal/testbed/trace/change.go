package trace

import (
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"shelfproxy/internal/testbed/workload"
)

// ErrInvalidSpeed is the error of a speed that is not above 0.
var ErrInvalidSpeed = errors.New("the speed must be above 0")

// Change returns the request to write in place of another; false drops it.
type Change func(workload.Arrival) (workload.Arrival, bool)

// Copy writes the requests of a trace, changed, to a new file and returns how many it wrote.
func Copy(from, to string, change Change) (written int, err error) {
	reader, err := Open(from)
	if err != nil {
		return 0, err
	}
	defer func() { _ = reader.Close() }() // it was only read
	writer, err := Create(to, reader.Meta)
	if err != nil {
		return 0, err
	}
	for {
		arrival, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return written, writer.Close()
		}
		if err == nil {
			if changed, keep := change(arrival); keep {
				written++
				err = writer.Add(changed)
			}
		}
		if err != nil {
			return written, errors.Join(err, writer.Close())
		}
	}
}

// Cut keeps the requests due from one time, which becomes the start, until another; 0 is the end of the trace.
func Cut(from, until time.Duration) Change {
	return func(arrival workload.Arrival) (workload.Arrival, bool) {
		keep := arrival.At >= from && (until <= 0 || arrival.At < until)
		arrival.At -= from
		return arrival, keep
	}
}

// CheckSpeed returns ErrInvalidSpeed for a speed that Scale cannot take.
func CheckSpeed(speed float64) error {
	if speed > 0 { // false for NaN
		return nil
	}
	return ErrInvalidSpeed
}

// Scale divides the times at which requests are due by speed, which must be above 0: 2 is twice as fast.
func Scale(speed float64) Change {
	return func(arrival workload.Arrival) (workload.Arrival, bool) {
		arrival.At = time.Duration(float64(arrival.At) / speed)
		return arrival, true
	}
}

// Anonymise replaces every key by a hash, salted so that nobody can look a key up. Equal keys stay equal.
func Anonymise(salt string) Change {
	hash := func(key string) string {
		if key == "" {
			return ""
		}
		return strconv.FormatUint(xxhash.Sum64String(salt+"\x00"+key), 36)
	}
	return func(arrival workload.Arrival) (workload.Arrival, bool) {
		arrival.Key, arrival.IdempotencyKey = hash(arrival.Key), hash(arrival.IdempotencyKey)
		return arrival, true
	}
}
