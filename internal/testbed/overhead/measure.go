// Package overhead measures what a node costs: the same clients send requests to a cache server straight, through a program
// that only copies bytes both ways, and through a node, in turns within one run. Each of the three is a process of its own,
// so that its processor time can be read. Ratios to the copying program compare builds and machines; the figures alone do
// not.
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

// Options say how to measure.
type Options struct {
	Self      string        // path of the program that runs CacheServerVerb and CopyVerb
	Node      string        // path of the node's program
	Dir       string        // directory for configurations and logs, which must exist
	Clients   int           // that send requests at a time
	Rounds    int           // after one to warm up
	Span      time.Duration // length of a path in a round
	ValueSize int           // bytes of a value
}

// Verbs with which Options.Self is started, each with two arguments.
const (
	CacheServerVerb = "overhead-box"    // arguments of ServeCache: its address and the size of values
	CopyVerb        = "overhead-splice" // arguments of ServeCopy: its address and that of the cache server
)

// Paths of a request to the cache server, by their numbers.
const (
	pathStraight = iota
	pathCopy
	pathNode
	numPaths
)

// Ways are the names of the paths that requests take to the cache server, in the order of the results.
var Ways = [numPaths]string{pathStraight: "straight", pathCopy: "splice", pathNode: "node"}

const (
	startTimeout = 20 * time.Second // for a process to answer after its start
	stopTimeout  = 10 * time.Second // for a process to end after SIGTERM
)

// Result is the result of a path, over all rounds.
type Result struct {
	Way      string // name of the path
	Requests int64
	Elapsed  time.Duration
	CPU      time.Duration           // processor time of the process on the path; 0 for the straight one
	Memory   int64                   // highest resident bytes of that process
	Latency  *hdrhistogram.Histogram // microseconds
}

// Rate returns the requests a second.
func (r Result) Rate() float64 { return float64(r.Requests) / max(r.Elapsed.Seconds(), 1e-9) }

// CPUPerRequest returns the processor time that a request took on the path.
func (r Result) CPUPerRequest() time.Duration { return r.CPU / time.Duration(max(r.Requests, 1)) }

// setup is the processes of a measurement, by path: at each path's address one process answers.
type setup struct {
	addresses [numPaths]string
	processes [numPaths]*nodes.Process
}

// Run measures all paths, in turns, and stops the processes that it started.
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
		results[path] = Result{Way: Ways[path], Latency: newHistogram()}
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

// freeAddress returns an address on loopback that was free a moment ago.
func freeAddress(ctx context.Context) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free address: %w", err)
	}
	return listener.Addr().String(), listener.Close()
}

// start starts the cache server, the copying program and the node.
func (s *setup) start(ctx context.Context, options Options) error {
	cacheServer := s.addresses[pathStraight]
	nodeConfig := filepath.Join(options.Dir, "node.json")
	if err := writeNodeConfig(nodeConfig, s.addresses[pathNode], cacheServer); err != nil {
		return err
	}
	commands := [numPaths]nodes.Command{
		pathStraight: {Program: options.Self, Name: "box", Config: filepath.Join(options.Dir, "box.json"),
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
			_ = process.Stop(stopTimeout) // the measurement has its result
		}
	}
}

// measure sends requests on a path for the span of the options.
func (s *setup) measure(ctx context.Context, path int, options Options, tag string) (Result, error) {
	before := s.processes[path].Usage()
	began := time.Now()
	requests, latency, err := sendRequests(ctx, s.addresses[path], options.Clients, options.Span, tag)
	if err != nil {
		return Result{}, fmt.Errorf("%s: %w", Ways[path], err)
	}
	if ctx.Err() != nil {
		return Result{}, ctx.Err()
	}
	result := Result{Requests: requests, Elapsed: time.Since(began), Latency: latency}
	if path != pathStraight {
		after := s.processes[path].Usage()
		result.CPU, result.Memory = after.CPU-before.CPU, after.Memory
	}
	return result, nil
}

// add adds the result of a round.
func (r *Result) add(round Result) {
	r.Requests += round.Requests
	r.Elapsed += round.Elapsed
	r.CPU += round.CPU
	r.Memory = max(r.Memory, round.Memory)
	r.Latency.Merge(round.Latency)
}
