// Package loadrunner sends the load of a plan, or the requests of a trace instead, to nodes that are already running. It can
// record the requests that it sends as a trace.
package loadrunner

import (
	"context"
	"errors"
	"time"

	"shelfproxy/internal/testbed/clients"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/internal/testbed/trace"
	"shelfproxy/internal/testbed/workload"
)

// Options says which requests are sent, and to which nodes.
type Options struct {
	Plan        *scenario.Plan // plan of the load; Run changes it so that the nodes share the load evenly
	Addresses   []string       // addresses of the nodes
	Rate        float64        // if above 0, the steady rate in requests per second, instead of the plan's steady rate
	ClosedLoop  int            // if above 0, the number of clients of a closed loop, which replaces the open loop
	RecordPath  string         // if set, path of a new file to which the requests are recorded as a trace
	RecordFrom  string         // text in the recorded trace that says where the trace comes from
	ReplayPath  string         // if set, path of a trace whose requests are sent instead of the plan's requests
	ReplaySpeed float64        // speed of the replay; 2 is twice as fast
	// OnReplayError, if set, is called with the error that ends a replay before the end of the trace.
	OnReplayError func(error)
}

// Result holds the results of a load.
type Result struct {
	Classes   []clients.Class
	Generator clients.Generator
}

// Run sends the load until the load or the context ends. It returns an error if a trace cannot be opened or recorded.
func Run(ctx context.Context, options Options) (*Result, error) {
	plan := options.Plan
	if options.Rate > 0 {
		plan.Workload.Processes[0].Rate = options.Rate
	}
	clientOptions := clients.Options{ClosedLoop: options.ClosedLoop}
	plan.Workload.NodeWeights = nil
	for _, address := range options.Addresses {
		clientOptions.Nodes = append(clientOptions.Nodes, clients.Node{Address: address})
		plan.Workload.NodeWeights = append(plan.Workload.NodeWeights, 1)
	}
	if options.ReplayPath != "" {
		reader, replay, err := openReplay(options)
		if err != nil {
			return nil, err
		}
		defer func() { _ = reader.Close() }() // the file was only read, so an error of Close does not matter
		clientOptions.Source = replay.Next
	}
	var recordErr error
	if options.RecordPath != "" {
		writer, err := trace.Create(options.RecordPath, trace.Meta{Classes: classNames(plan), Nodes: len(options.Addresses),
			From: options.RecordFrom, StartedAt: time.Now().UTC()})
		if err != nil {
			return nil, err
		}
		defer func() { _ = writer.Close() }()
		clientOptions.Record = func(arrival workload.Arrival) { recordErr = errors.Join(recordErr, writer.Add(arrival)) }
	}
	load := clients.New(plan, clientOptions)
	load.Run(ctx)
	return &Result{Classes: load.Classes(), Generator: load.Generator()}, recordErr
}

func openReplay(options Options) (*trace.Reader, *trace.Replay, error) {
	reader, err := trace.Open(options.ReplayPath)
	if err != nil {
		return nil, nil, err
	}
	replay, err := trace.NewReplay(reader, classNames(options.Plan), len(options.Addresses), options.ReplaySpeed)
	if err != nil {
		_ = reader.Close() // the file was only read, so an error of Close does not matter
		return nil, nil, err
	}
	replay.OnError = options.OnReplayError
	return reader, replay, nil
}

func classNames(plan *scenario.Plan) (names []string) {
	for _, class := range plan.Classes {
		names = append(names, class.Name)
	}
	return names
}
