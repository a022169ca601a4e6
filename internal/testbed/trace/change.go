package trace

import (
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"shelfproxy/internal/testbed/workload"
)

// ErrInvalidSpeed is returned for a speed that is not above 0.
var ErrInvalidSpeed = errors.New("the speed must be above 0")

// Change returns the request to write instead of its argument. If it returns false, the request is dropped.
type Change func(workload.Arrival) (workload.Arrival, bool)

// Copy applies a change to the requests of a trace, writes them to a new file and returns how many requests it wrote.
func Copy(from, to string, change Change) (written int, err error) {
	reader, err := Open(from)
	if err != nil {
		return 0, err
	}
	defer func() { _ = reader.Close() }() // the file was only read, so an error of Close does not matter
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

// Cut keeps the requests that are due in the interval [from, until). The new trace starts at the start of this interval. If until
// is 0, Cut keeps all requests up to the end of the trace.
func Cut(from, until time.Duration) Change {
	return func(arrival workload.Arrival) (workload.Arrival, bool) {
		keep := arrival.At >= from && (until <= 0 || arrival.At < until)
		arrival.At -= from
		return arrival, keep
	}
}

// CheckSpeed returns ErrInvalidSpeed for a speed that is not above 0, and for NaN.
func CheckSpeed(speed float64) error {
	if speed > 0 { // false for NaN as well, which is no valid speed
		return nil
	}
	return ErrInvalidSpeed
}

// Scale divides the due times of requests by speed, which must be above 0. With a speed of 2, the load is sent twice as fast.
func Scale(speed float64) Change {
	return func(arrival workload.Arrival) (workload.Arrival, bool) {
		arrival.At = time.Duration(float64(arrival.At) / speed)
		return arrival, true
	}
}

// Anonymise replaces every key by a salted hash, so that nobody without the salt can look a key up. Equal keys stay equal.
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
