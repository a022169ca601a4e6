package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"shelfproxy/internal/testbed/workload"
)

// jsonRequest is the JSON form of a request; each line of an exported trace is one jsonRequest.
type jsonRequest struct {
	ScheduledMicroseconds int64  `json:"due_us"`
	Class                 string `json:"class"`
	Key                   string `json:"key"`
	Node                  int    `json:"node,omitempty"`
	Size                  int    `json:"size,omitempty"`
	IdempotencyKey        string `json:"once,omitempty"`
}

func (j jsonRequest) scheduledAt() time.Duration {
	return time.Duration(j.ScheduledMicroseconds) * time.Microsecond
}

// Export writes the requests of a trace as lines of JSON.
func Export(path string, out io.Writer) error {
	reader, err := Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close() }() // the file was only read, so an error of Close does not matter
	encoder := json.NewEncoder(out)
	for {
		arrival, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := encoder.Encode(jsonRequest{arrival.At.Microseconds(), reader.Meta.Classes[arrival.Class], arrival.Key,
			arrival.Node, arrival.Size, arrival.IdempotencyKey}); err != nil {
			return err
		}
	}
}

// Import makes a trace from lines of JSON, which must be in the order in which the requests are due, and returns the number
// of requests. The file is created only if all lines are valid.
func Import(in io.Reader, path string) (requests int, err error) {
	meta, arrivals, err := parseRequests(in)
	if err != nil {
		return 0, err
	}
	writer, err := Create(path, meta)
	if err != nil {
		return 0, err
	}
	for _, arrival := range arrivals {
		err = errors.Join(err, writer.Add(arrival))
	}
	return len(arrivals), errors.Join(err, writer.Close())
}

// parseRequests reads lines of JSON. Classes are numbered in the order in which they first occur.
func parseRequests(in io.Reader) (Meta, []workload.Arrival, error) {
	decoder := json.NewDecoder(in)
	decoder.DisallowUnknownFields()
	meta := Meta{From: "import"}
	var arrivals []workload.Arrival
	last := time.Duration(0)
	for {
		var request jsonRequest
		err := decoder.Decode(&request)
		if errors.Is(err, io.EOF) {
			return meta, arrivals, nil
		}
		if err == nil {
			err = request.validate(last)
		}
		if err != nil {
			return meta, nil, fmt.Errorf("trace: line %d: %w", len(arrivals)+1, err)
		}
		last = request.scheduledAt()
		arrivals = append(arrivals, workload.Arrival{At: last, Class: meta.classNumber(request.Class), Key: request.Key,
			Node: request.Node, Size: request.Size, IdempotencyKey: request.IdempotencyKey})
		meta.Nodes = max(meta.Nodes, request.Node+1)
	}
}

// validate checks a request. last is the time at which the previous request was due.
func (j jsonRequest) validate(last time.Duration) error {
	switch {
	case j.Class == "" || j.Key == "" || j.ScheduledMicroseconds < 0 || j.Size < 0 || j.Node < 0:
		return errors.New("class, key, due_us, size or node is missing or out of range")
	case j.scheduledAt() < last:
		return errors.New("due before the previous request")
	}
	return nil
}

// classNumber returns the number of a class. It adds the class to the metadata if the class is new.
func (m *Meta) classNumber(name string) int {
	number := slices.Index(m.Classes, name)
	if number < 0 {
		number = len(m.Classes)
		m.Classes = append(m.Classes, name)
	}
	return number
}
