package trace

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"shelfproxy/internal/testbed/workload"
)

// Replay returns the requests of a trace, mapped to the classes and nodes of a plan.
type Replay struct {
	// OnError, if set, is called with the error that ends the replay before the end of the trace.
	OnError func(error)

	reader  *Reader
	classes []int // class numbers in the plan, by class number in the trace
	nodes   int
	scale   Change
}

// NewReplay prepares a replay at a speed; 2 is twice as fast as recorded. classes and nodes are the classes and the number of
// nodes of the plan, which must have every class of the trace. Node i of the trace becomes node i modulo nodes.
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

// Next returns the next request. It returns false at the end of the trace or after an error.
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
