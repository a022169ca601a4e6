package trace

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"shelfproxy/internal/testbed/workload"
)

// Replay gives out the requests of a trace for the classes and nodes of another plan.
type Replay struct {
	// OnError, if set, is called with the error that ends a replay before the end of its trace.
	OnError func(error)

	reader  *Reader
	classes []int // numbers of the plan's classes, by the numbers of the trace's
	nodes   int
	scale   Change
}

// NewReplay prepares a replay at a speed, 2 being twice as fast. The plan must have every class of the trace; its nodes
// take the requests of the trace's nodes in turn.
func NewReplay(reader *Reader, classes []string, nodes int, speed float64) (*Replay, error) {
	numbers := make([]int, len(reader.Meta.Classes))
	for i, name := range reader.Meta.Classes {
		if numbers[i] = slices.Index(classes, name); numbers[i] < 0 {
			return nil, fmt.Errorf("the trace has a class %q, which the scenario lacks", name)
		}
	}
	if err := CheckSpeed(speed); err != nil {
		return nil, err
	}
	return &Replay{reader: reader, classes: numbers, nodes: nodes, scale: Scale(speed)}, nil
}

// Next returns the next request; false at the end or after an error.
func (r *Replay) Next() (workload.Arrival, bool) {
	arrival, err := r.reader.Next()
	if err != nil {
		if !errors.Is(err, io.EOF) && r.OnError != nil {
			r.OnError(err)
		}
		return arrival, false
	}
	arrival, _ = r.scale(arrival)
	arrival.Class, arrival.Node = r.classes[arrival.Class], arrival.Node%r.nodes
	return arrival, true
}
