// Package overhead measures the cost of a node. The same clients send requests to a cache server on three paths, in turn
// within one run: directly, through a program that only copies bytes, and through a node. The cache server, the copying
// program and the node are separate processes, so that their processor time can be read. Ratios to the copying program can
// be compared between builds and machines; absolute figures cannot.
package overhead

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shelfproxy/internal/testbed/nodes"
)

// Options says which programs a measurement starts and how it sends requests.
type Options struct {
	Self      string        // path of the program that implements CacheServerVerb and CopyVerb
	Node      string        // path of the node's program
	Dir       string        // existing directory for configurations and logs
	Clients   int           // number of clients that send requests concurrently
	Rounds    int           // number of measured rounds, after one round to warm up
	Span      time.Duration // duration of the load on each path in a round
	ValueSize int           // size of a value, in bytes
}

// Subcommands with which Options.Self is started, each with two arguments.
const (
	CacheServerVerb = "overhead-box"    // runs ServeCache; arguments: listen address and size of values
	CopyVerb        = "overhead-splice" // runs ServeCopy; arguments: listen address and address of the cache server
)

// Paths that a request can take to the cache server.
const (
	pathDirect = iota
	pathCopy
	pathNode
	numPaths
)

// PathNames are the names of the paths that requests take to the cache server, in the order of the results.
var PathNames = [numPaths]string{pathDirect: "straight", pathCopy: "splice", pathNode: "node"}

const (
	startTimeout = 20 * time.Second // time in which a process must answer after its start
	stopTimeout  = 10 * time.Second // time in which a process must exit after SIGTERM
)

// Result holds the results of a path over all measured rounds.
type Result struct {
	Path     string // name of the path
	Requests int64
	Elapsed  time.Duration
	CPU      time.Duration           // processor time that the copying program or the node used; 0 on the direct path
	Memory   int64                   // highest resident memory of the copying program or the node, in bytes; 0 on the direct path
	Latency  *hdrhistogram.Histogram // latencies in microseconds
}

// Rate returns the number of requests per second.
func (r Result) Rate() float64 { return float64(r.Requests) / max(r.Elapsed.Seconds(), 1e-9) }

// CPUPerRequest returns the processor time that the copying program or the node used per request.
func (r Result) CPUPerRequest() time.Duration { return r.CPU / time.Duration(max(r.Requests, 1)) }

// setup holds, for each path, the process to which clients connect, and its address.
type setup struct {
	addresses [numPaths]string
	processes [numPaths]*nodes.Process
}

// Run starts the processes, measures all paths in turn and stops the processes.
func Run(ctx context.Context, options Options) ([]Result, error) {
	s, err := newSetup(ctx)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	if err := s.start(ctx, options); err != nil {
		return nil, err
	}
	results := make([]Result, numPaths)
	for path := range results {
		results[path] = Result{Path: PathNames[path], Latency: newHistogram()}
	}
	for round := range options.Rounds + 1 {
		for path := range results {
			tag := fmt.Sprintf("%d.%d", round, path)
			measured, err := s.measure(ctx, path, options, tag)
			if err != nil {
				return nil, err
			}
			if isWarmup := round == 0; !isWarmup {
				results[path].add(measured)
			}
		}
	}
	return results, nil
}

func newSetup(ctx context.Context) (*setup, error) {
	s := &setup{}
	for path := range s.addresses {
		address, err := freeAddress(ctx)
		if err != nil {
			return nil, err
		}
		s.addresses[path] = address
	}
	return s, nil
}

// freeAddress returns a loopback address that was free a moment ago. Another process may take it in the meantime.
func freeAddress(ctx context.Context) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free address: %w", err)
	}
	return listener.Addr().String(), listener.Close()
}

// start starts the cache server, the copying program and the node.
func (s *setup) start(ctx context.Context, options Options) error {
	cacheServer := s.addresses[pathDirect]
	nodeConfig := filepath.Join(options.Dir, "node.json")
	if err := writeNodeConfig(nodeConfig, s.addresses[pathNode], cacheServer); err != nil {
		return err
	}
	commands := [numPaths]nodes.Command{
		pathDirect: {Program: options.Self, Name: "box", Config: filepath.Join(options.Dir, "box.json"),
			Args: []string{CacheServerVerb, cacheServer, strconv.Itoa(options.ValueSize)}},
		pathCopy: {Program: options.Self, Name: "splice", Config: filepath.Join(options.Dir, "splice.json"),
			Args: []string{CopyVerb, s.addresses[pathCopy], cacheServer}},
		pathNode: {Program: options.Node, Name: "node", Config: nodeConfig},
	}
	for path, command := range commands {
		command.Listen = s.addresses[path]
		process, err := nodes.StartReady(ctx, command, startTimeout)
		if err != nil {
			return err
		}
		s.processes[path] = process
	}
	return nil
}

func (s *setup) stop() {
	for _, process := range s.processes {
		if process != nil {
			_ = process.Stop(stopTimeout) // the measurement has ended, so an error does not matter
		}
	}
}

// measure sends requests on a path for Options.Span and returns the result.
func (s *setup) measure(ctx context.Context, path int, options Options, tag string) (Result, error) {
	before := s.processes[path].Usage()
	began := time.Now()
	requests, latency, err := sendRequests(ctx, s.addresses[path], options.Clients, options.Span, tag)
	if err != nil {
		return Result{}, fmt.Errorf("%s: %w", PathNames[path], err)
	}
	if ctx.Err() != nil {
		return Result{}, ctx.Err()
	}
	result := Result{Requests: requests, Elapsed: time.Since(began), Latency: latency}
	if path != pathDirect {
		after := s.processes[path].Usage()
		result.CPU, result.Memory = after.CPU-before.CPU, after.Memory
	}
	return result, nil
}

// add adds the result of a round to the total.
func (r *Result) add(round Result) {
	r.Requests += round.Requests
	r.Elapsed += round.Elapsed
	r.CPU += round.CPU
	r.Memory = max(r.Memory, round.Memory)
	r.Latency.Merge(round.Latency)
}
